package node

import (
	"cherrygap/internal/decision"
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

// warnOfDeprecations logs the keys that the operator file gives under an earlier name.
func (s *server) warnOfDeprecations() {
	for _, key := range s.config.deprecations {
		s.log.Warn().Str("key", key.Key).Int("line", key.Line).Str("write", key.Standard).Msg("deprecated key in the operator file")
	}
}

// openTimer opens the one timer of the decision engine.
func (s *server) openTimer() error {
	err := retryOpen(&s.log, func() (err error) {
		s.timer, err = netio.NewTimer()
		return err
	})
	if err != nil {
		return err
	}
	s.onClose(s.timer.Close)
	return nil
}

// openPeerSocket opens the socket for datagrams from and to other nodes, where the platform gives an address for it.
func (s *server) openPeerSocket() error {
	if !s.config.Peer.IsValid() {
		return nil
	}
	return retryOpen(&s.log, func() (err error) {
		table := protocol.NewPeerTable(s.config.Peers, s.config.PeersAll)
		s.peers, err = peersocket.Open(s.config.Peer, table, &s.counters.Peers)
		return err
	})
}

// openQuotaStore begins to lease quotas from the shared store that the operators name. It does not wait for the store.
func (s *server) openQuotaStore() error {
	if s.config.quota.Store == "" {
		return nil
	}
	s.quotas = quotastore.Open(s.config.quota.Store, s.config.Name, s.config.quotaConfig(), &s.log)
	go s.quotas.Run() // ends on its Close
	s.onClose(s.quotas.Close)
	return nil
}

// buildRouter makes the facade of the decision engine, and the pool of connections to app servers.
func (s *server) buildRouter() error {
	cfg := routing.Config{
		Seed:              s.config.randomSeed,
		Settings:          s.config.settings,
		Shadow:            s.config.shadowSettings,
		SetTimer:          s.timer.Set,
		SendToPeer:        s.sendToPeer,
		PollEndpoints:     s.requestPoll,
		OnRepeatViolation: s.countRepeatViolation,
		LogSummary:        func(line []byte) { s.log.Info().Msg(string(line)) },
	}
	if s.quotas != nil { // a nil pointer in the interface would not be nil
		cfg.Quota = s.quotas
	}
	s.router = routing.New(cfg)
	s.pool = upstream.NewPool(s.limits, &s.log, &s.counters.Upstream)
	return nil
}

// sendToPeer sends a message to one node, or to all below 0. Without a socket it counts as failed.
func (s *server) sendToPeer(peer int, payload []byte) {
	if s.peers == nil {
		s.counters.Peers.Unsent.Add(1)
		return
	}
	s.peers.Send(peer, payload)
}

// receivePeerMessage passes a message to the part that it is for, and reports whether it could be read.
func (s *server) receivePeerMessage(peer int, payload []byte) bool {
	if s.healthChecks != nil && payload[0] == healthcheck.MessageMark {
		return s.healthChecks.ReceivePeerMessage(peer, payload)
	}
	return s.router.ReceivePeerMessage(peer, payload)
}

// countRepeatViolation counts an attempt or a rejection that the repeat check withheld. It is called under the router's
// lock; the log is written in the background.
func (s *server) countRepeatViolation(violation routing.RepeatViolation, class decision.ClassID, attempt int) {
	invariant.Violated(&s.counters.RepeatViolations, &s.log, invariant.Repeating).Str("fault", string(violation)).Int("class", int(class)).
		Int("attempt", attempt).Msg("attempt held back")
}

// requestPoll notes that the decision engine wants the endpoint list. It is called under the router's lock and never waits.
func (s *server) requestPoll() {
	select {
	case s.pollRequests <- struct{}{}:
	default:
	}
}

// loadKnownEndpoints gives the decision engine the endpoint list of the configuration, if it holds one.
func (s *server) loadKnownEndpoints() error {
	if s.hasEndpoints = len(s.config.known.Endpoints) > 0; s.hasEndpoints {
		s.router.UpdateEndpoints(&s.config.known, routing.FromCache)
	} else {
		s.warnOfKnownList()
	}
	s.config.releaseKnownList()
	return nil
}

// warnOfKnownList logs why the configuration's endpoint list could not be read, if that is so.
func (s *server) warnOfKnownList() {
	if err := s.config.knownErr; err != nil {
		s.log.Warn().Err(err).Msg("known endpoint list rejected")
	}
}

// buildHealthChecks makes this node's part of the fleet's shared health checks, where it takes part in them.
func (s *server) buildHealthChecks() error {
	if s.config.sharesHealthChecks() {
		s.healthChecks = upstream.NewHealthChecker(s.config.healthCheckConfig(), s.router, s.pool, s.sendToPeer)
	}
	return nil
}

// buildDiscovery makes the client that follows the discovery service from the known endpoint list on.
func (s *server) buildDiscovery() error {
	s.discovery = &discovery.Client{
		Addr:      s.config.Discovery,
		Revision:  s.config.known.Revision,
		Full:      !s.hasEndpoints,
		Limits:    s.limits,
		Log:       &s.log,
		Counters:  &s.counters.Discovery,
		OnFailure: s.router.PollFailed,
		OnList:    s.updateEndpoints,
	}
	if s.config.pollsDiscovery() {
		s.discovery.PollRequests = s.pollRequests
	}
	return nil
}

// updateEndpoints takes over a list or change that the discovery service sent.
func (s *server) updateEndpoints(list *protocol.EndpointList) {
	s.logEndpoints(list)
	s.router.UpdateEndpoints(list, routing.FromDiscovery)
	s.pool.KeepOnly(s.router.InService)
	if s.healthChecks != nil {
		s.healthChecks.EndpointsChanged()
	}
}

// logEndpoints writes a line for a list and one for each server that a change names, where the log's level has them.
func (s *server) logEndpoints(list *protocol.EndpointList) {
	event := s.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Uint64("revision", list.Revision).Bool("full", list.Full).Int("endpoints", len(list.Endpoints)).Msg("endpoint list")
	if list.Full {
		return
	}
	for _, e := range list.Endpoints {
		s.log.Debug().Str("uid", e.UID).Stringer("addr", e.Addr).Stringer("state", e.State).Int64("boot_ms", e.BootMs).
			Uint64("revision", list.Revision).Msg("endpoint changed")
	}
}

// dialAuthorizer readies the client of the external authorizer that the operators name. It does not wait for it.
func (s *server) dialAuthorizer() error {
	if s.config.authz.Service == "" {
		return nil
	}
	client, err := dialAuthorizer(s.config)
	if err != nil {
		return err
	}
	s.authorizer = client
	s.onClose(client.Close)
	return nil
}

// listenHTTP begins to accept clients.
func (s *server) listenHTTP() error {
	return retryOpen(&s.log, func() (err error) {
		s.frontEnd, err = frontend.Listen(s.config.Listen, s.router, s.pool, s.limits, s.authorizer, &s.log, &s.counters.FrontEnd)
		return err
	})
}

// listenGRPC begins to accept clients over gRPC, where the operators give an address for it.
func (s *server) listenGRPC() error {
	if s.config.grpc.Listen == "" {
		return nil
	}
	drain, err := listenGRPC(s.config, s.frontEnd)
	s.drainGRPC = drain
	return err
}
