package node

import (
	"time"

	"cherrygap/internal/discovery"
	"cherrygap/internal/frontend"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/invariant"
	"cherrygap/internal/netio"
	"cherrygap/internal/peersocket"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quotastore"
	"cherrygap/internal/routing"
	"cherrygap/internal/upstream"
)

// logDeprecatedKeys logs a warning for each deprecated key of the operator file, with the key that replaces it.
func (n *Node) logDeprecatedKeys() {
	for _, key := range n.config.operator.Deprecations {
		n.log.Warn().Str("key", key.Key).Int("line", key.Line).Str("write", key.Standard).Msg("deprecated key in the operator file")
	}
}

// openTimer opens the decision engine's timer.
func (n *Node) openTimer() error {
	err := retryOpen(&n.log, func() (err error) {
		n.timer, err = netio.NewTimer()
		return err
	})
	if err != nil {
		return err
	}
	n.onClose(n.timer.Close)
	return nil
}

// setTimer sets the decision engine's timer.
func (n *Node) setTimer(after time.Duration) {
	now := time.Now()
	n.pauses.Expect(now, now.Add(after))
	n.timer.Set(after)
}

// timerFired runs the decision engine's tasks that are due.
func (n *Node) timerFired() {
	n.pauses.Ran(time.Now())
	n.router.TimerFired()
}

// openPeerSocket opens the UDP socket for messages between nodes, if the platform's configuration has an address for it.
func (n *Node) openPeerSocket() error {
	if !n.config.PeerListen.IsValid() {
		return nil
	}
	return retryOpen(&n.log, func() (err error) {
		table := protocol.NewPeerTable(n.config.Peers, n.config.PeerBroadcast)
		n.peers, err = peersocket.Open(n.config.PeerListen, table, &n.counters.Peers)
		return err
	})
}

// openQuotaStore starts the client that leases quotas from the shared store, if the operator file names a store. It does not
// wait for a connection.
func (n *Node) openQuotaStore() error {
	if n.config.operator.Quota.Store == "" {
		return nil
	}
	n.quotas = quotastore.Open(n.config.operator.Quota.Store, n.config.Name, n.config.quotaConfig(), &n.log)
	go n.quotas.Run() // ends on Close of the quotas
	n.onClose(n.quotas.Close)
	return nil
}

// buildRouter builds the router, which contains the decision engine, and the pool of connections to app servers.
func (n *Node) buildRouter() error {
	cfg := routing.Config{
		Seed:              n.config.randomSeed,
		Settings:          n.config.settings,
		Shadow:            n.config.shadowSettings,
		MaxCustomers:      maxCustomers(n.limits),
		SetTimer:          n.setTimer,
		SendToPeer:        n.sendToPeer,
		PollEndpoints:     n.requestPoll,
		OnRepeatViolation: n.countRepeatViolation,
		LogSummary:        func(line []byte) { n.log.Info().Msg(string(line)) },
	}
	if n.quotas != nil { // an interface value that holds a nil pointer is not nil
		cfg.Quota = n.quotas
	}
	n.router = routing.New(cfg)
	n.pool = upstream.NewPool(n.limits, n.memory, &n.log, &n.counters.Upstream)
	return nil
}

// sendToPeer sends a message to the node with the number peer, or to all peers if peer is negative. Without a peer socket it
// counts the message as unsent.
func (n *Node) sendToPeer(peer int, payload []byte) {
	if n.peers == nil {
		n.counters.Peers.Unsent.Add(1)
		return
	}
	n.peers.Send(peer, payload)
}

// receivePeerMessage passes a message to the health checks or to the router, and reports whether the message is well-formed.
// The payload must not be empty. No part keeps it.
func (n *Node) receivePeerMessage(peer int, payload []byte) bool {
	if n.healthChecks != nil && payload[0] == healthcheck.MagicByte {
		return n.healthChecks.ReceivePeerMessage(peer, payload)
	}
	return n.router.ReceivePeerMessage(peer, payload)
}

// countRepeatViolation counts and logs an attempt or a rejection that the router withheld because it would violate
// invariant.Repeating. The router calls it under its lock, so it must not block; writing to the buffered log never does.
func (n *Node) countRepeatViolation(violation routing.RepeatViolation, class routing.ClassID, attempt int) {
	invariant.Violated(&n.counters.RepeatViolations, &n.log, invariant.Repeating).Str("fault", string(violation)).Int("class", int(class)).
		Int("attempt", attempt).Msg("attempt held back")
}

// requestPoll requests that the discovery client poll for the endpoint list. The router calls it under its lock, so it must not
// block; if a request is already pending it does nothing.
func (n *Node) requestPoll() {
	select {
	case n.pollRequests <- struct{}{}:
	default:
	}
}

// loadKnownEndpoints passes the configuration's endpoint list to the decision engine, if the list is valid and not empty. It
// then frees the list.
func (n *Node) loadKnownEndpoints() error {
	if n.hasKnownEndpoints = len(n.config.knownList.Endpoints) > 0; n.hasKnownEndpoints {
		n.router.UpdateEndpoints(&n.config.knownList, routing.FromCache)
	} else {
		n.logKnownListError()
	}
	n.config.releaseKnownList()
	return nil
}

// logKnownListError logs a warning if the configuration's endpoint list is malformed.
func (n *Node) logKnownListError() {
	if err := n.config.knownListErr; err != nil {
		n.log.Warn().Err(err).Msg("known endpoint list rejected")
	}
}

// buildHealthChecks builds the checker for this node's share of the fleet's health checks, if sharesHealthChecks is true.
func (n *Node) buildHealthChecks() error {
	if n.config.sharesHealthChecks() {
		n.healthChecks = upstream.NewHealthChecker(n.config.healthCheckConfig(), n.router, n.pool, n.sendToPeer)
	}
	return nil
}

// buildDiscovery builds the client of the discovery service. The client asks for the changes since the known endpoint list, or
// for the full list if none is known.
func (n *Node) buildDiscovery() error {
	n.discovery = &discovery.Client{
		Addr:          n.config.Discovery,
		Revision:      n.config.knownList.Revision,
		NeedsFullList: !n.hasKnownEndpoints,
		Limits:        n.limits,
		Log:           &n.log,
		Counters:      &n.counters.Discovery,
		OnFailure:     n.router.PollFailed,
		OnList:        n.updateEndpoints,
	}
	n.pool.OnSend(n.awaitNews)
	if n.config.pollsDiscovery() {
		n.discovery.PollRequests = n.pollRequests
	}
	return nil
}

// Times of awaitNews.
const (
	maxNewsWait      = 100 * time.Millisecond // longest wait, for a list that takes long to parse
	newsPollInterval = time.Millisecond
)

// awaitNews waits until what discovery sent while the process stood still is applied, at most until the given time. Requests that came
// meanwhile would otherwise go to servers that drain since.
func (n *Node) awaitNews(until time.Time) {
	now := time.Now()
	if !n.pauses.PausedRecently(now) {
		return
	}
	until = netio.Earlier(until, now.Add(maxNewsWait))
	for n.discovery.HasNews() && time.Now().Before(until) {
		time.Sleep(newsPollInterval)
	}
}

// updateEndpoints applies an endpoint list, or a change of the list, from the discovery service. It runs on the discovery
// client's goroutine.
func (n *Node) updateEndpoints(list *protocol.EndpointList) {
	n.logEndpoints(list)
	n.router.UpdateEndpoints(list, routing.FromDiscovery)
	n.pool.KeepOnly(n.router.InService)
	if n.healthChecks != nil {
		n.healthChecks.EndpointsChanged()
	}
}

// logEndpoints logs the revision and length of a list at level debug. If the list is a change, it also logs each endpoint.
func (n *Node) logEndpoints(list *protocol.EndpointList) {
	event := n.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Uint64("revision", list.Revision).Bool("full", list.Full).Int("endpoints", len(list.Endpoints)).Msg("endpoint list")
	if list.Full {
		return
	}
	for _, e := range list.Endpoints {
		n.log.Debug().Str("uid", e.UID).Stringer("addr", e.Addr).Stringer("state", e.State).Int64("boot_ms", e.BootMs).
			Uint64("revision", list.Revision).Msg("endpoint changed")
	}
}

// dialAuthorizer builds the client of the external authorizer, if the operator file names a service. It does not wait for a
// connection.
func (n *Node) dialAuthorizer() error {
	if n.config.operator.Authz.Service == "" {
		return nil
	}
	client, err := dialAuthorizer(n.config)
	if err != nil {
		return err
	}
	n.authorizer = client
	n.onClose(client.Close)
	return nil
}

// listenHTTP starts to serve clients over HTTP.
func (n *Node) listenHTTP() error {
	return retryOpen(&n.log, func() (err error) {
		n.frontEnd, err = frontend.Listen(frontend.Config{
			Addr: n.config.Listen, Router: n.router, Pool: n.pool, Limits: n.limits, Memory: n.memory, Authorizer: n.authorizer,
			DrainLimit: n.config.drainLimit(), EarliestSignal: n.pauses.EarliestSignal, Processors: n.config.Limits.Cores,
			Log: &n.log, Counters: &n.counters.FrontEnd,
		})
		return err
	})
}

// listenGRPC starts to serve clients over gRPC, if the operator file has an address for it.
func (n *Node) listenGRPC() error {
	if n.config.operator.GRPC.Listen == "" {
		return nil
	}
	drain, err := listenGRPC(n.config, n.frontEnd)
	n.drainGRPC = drain
	return err
}
