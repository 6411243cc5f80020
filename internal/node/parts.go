package node

import (
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

// warnOfDeprecations logs each deprecated key of the operator file with its replacement.
func (n *Node) warnOfDeprecations() {
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

// openPeerSocket opens the UDP socket for messages between nodes, where the platform gives an address for it.
func (n *Node) openPeerSocket() error {
	if !n.config.Peer.IsValid() {
		return nil
	}
	return retryOpen(&n.log, func() (err error) {
		table := protocol.NewPeerTable(n.config.Peers, n.config.PeersAll)
		n.peers, err = peersocket.Open(n.config.Peer, table, &n.counters.Peers)
		return err
	})
}

// openQuotaStore begins to lease quotas from the shared store, where the operator file names one. It does not wait for the
// store.
func (n *Node) openQuotaStore() error {
	if n.config.operator.Quota.Store == "" {
		return nil
	}
	n.quotas = quotastore.Open(n.config.operator.Quota.Store, n.config.Name, n.config.quotaConfig(), &n.log)
	go n.quotas.Run() // ends on its Close
	n.onClose(n.quotas.Close)
	return nil
}

// buildRouter makes the decision engine behind its facade, and the pool of connections to app servers.
func (n *Node) buildRouter() error {
	cfg := routing.Config{
		Seed:              n.config.randomSeed,
		Settings:          n.config.settings,
		Shadow:            n.config.shadowSettings,
		SetTimer:          n.timer.Set,
		SendToPeer:        n.sendToPeer,
		PollEndpoints:     n.requestPoll,
		OnRepeatViolation: n.countRepeatViolation,
		LogSummary:        func(line []byte) { n.log.Info().Msg(string(line)) },
	}
	if n.quotas != nil { // an interface that holds a nil pointer is not nil
		cfg.Quota = n.quotas
	}
	n.router = routing.New(cfg)
	n.pool = upstream.NewPool(n.limits, &n.log, &n.counters.Upstream)
	return nil
}

// sendToPeer sends a message to the peer with that node number, or to all peers if peer is below 0. Without a peer socket it
// counts the message as unsent.
func (n *Node) sendToPeer(peer int, payload []byte) {
	if n.peers == nil {
		n.counters.Peers.Unsent.Add(1)
		return
	}
	n.peers.Send(peer, payload)
}

// receivePeerMessage passes a message to the health checks or the router, and reports whether its format was valid. The
// payload is never empty and is not kept.
func (n *Node) receivePeerMessage(peer int, payload []byte) bool {
	if n.healthChecks != nil && payload[0] == healthcheck.MessageMark {
		return n.healthChecks.ReceivePeerMessage(peer, payload)
	}
	return n.router.ReceivePeerMessage(peer, payload)
}

// countRepeatViolation counts and logs an attempt or a rejection that the router withheld, because it violated
// invariant.Repeating. The router calls it under its lock, so it must not block: the log is buffered.
func (n *Node) countRepeatViolation(violation routing.RepeatViolation, class routing.ClassID, attempt int) {
	invariant.Violated(&n.counters.RepeatViolations, &n.log, invariant.Repeating).Str("fault", string(violation)).Int("class", int(class)).
		Int("attempt", attempt).Msg("attempt held back")
}

// requestPoll makes the discovery client poll for the endpoint list. The router calls it under its lock, so it never blocks.
func (n *Node) requestPoll() {
	select {
	case n.pollRequests <- struct{}{}:
	default:
	}
}

// loadKnownEndpoints gives the decision engine the configuration's endpoint list, if there is one.
func (n *Node) loadKnownEndpoints() error {
	if n.hasEndpoints = len(n.config.known.Endpoints) > 0; n.hasEndpoints {
		n.router.UpdateEndpoints(&n.config.known, routing.FromCache)
	} else {
		n.warnOfKnownList()
	}
	n.config.releaseKnownList()
	return nil
}

// warnOfKnownList logs the error of a configuration whose endpoint list is malformed.
func (n *Node) warnOfKnownList() {
	if err := n.config.knownErr; err != nil {
		n.log.Warn().Err(err).Msg("known endpoint list rejected")
	}
}

// buildHealthChecks makes the checker for this node's part of the fleet's health checks, where the configuration enables them.
func (n *Node) buildHealthChecks() error {
	if n.config.sharesHealthChecks() {
		n.healthChecks = upstream.NewHealthChecker(n.config.healthCheckConfig(), n.router, n.pool, n.sendToPeer)
	}
	return nil
}

// buildDiscovery makes the client of the discovery service. It asks for the changes since the known endpoint list, or for
// the full list where none is known.
func (n *Node) buildDiscovery() error {
	n.discovery = &discovery.Client{
		Addr:          n.config.Discovery,
		Revision:      n.config.known.Revision,
		NeedsFullList: !n.hasEndpoints,
		Limits:        n.limits,
		Log:           &n.log,
		Counters:      &n.counters.Discovery,
		OnFailure:     n.router.PollFailed,
		OnList:        n.updateEndpoints,
	}
	if n.config.pollsDiscovery() {
		n.discovery.PollRequests = n.pollRequests
	}
	return nil
}

// updateEndpoints applies an endpoint list, or a change of it, from the discovery service. It runs on the
// discovery client's goroutine.
func (n *Node) updateEndpoints(list *protocol.EndpointList) {
	n.logEndpoints(list)
	n.router.UpdateEndpoints(list, routing.FromDiscovery)
	n.pool.KeepOnly(n.router.InService)
	if n.healthChecks != nil {
		n.healthChecks.EndpointsChanged()
	}
}

// logEndpoints logs a list, and each endpoint of a change, at the level debug.
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

// dialAuthorizer makes the client of the external authorizer, where the operator file names one. It does not wait for a
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

// listenHTTP begins to serve clients over HTTP.
func (n *Node) listenHTTP() error {
	return retryOpen(&n.log, func() (err error) {
		n.frontEnd, err = frontend.Listen(frontend.Config{
			Addr: n.config.Listen, Router: n.router, Pool: n.pool, Limits: n.limits, Authorizer: n.authorizer,
			Log: &n.log, Counters: &n.counters.FrontEnd,
		})
		return err
	})
}

// listenGRPC begins to serve clients over gRPC, where the operator file gives an address for it.
func (n *Node) listenGRPC() error {
	if n.config.operator.GRPC.Listen == "" {
		return nil
	}
	drain, err := listenGRPC(n.config, n.frontEnd)
	n.drainGRPC = drain
	return err
}
