package model

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// tenant is the number of a customer, by which its quota and its set of nodes are found.
type tenant uint64

// defaultRetryAfter is when a client comes again that has no advice.
const defaultRetryAfter = 100 * time.Millisecond

// request is a client's request at one node. A retry by the client is another request.
type request struct {
	node          *node
	routed        *routing.Request // with the Module policy, until it is released
	class         int              // index in Traffic.Bands
	tenant        tenant
	arrivedAt     time.Duration
	deadline      time.Duration // when its client stops waiting
	retry         bool          // its client comes again
	retrySafe     bool          // it may run more than once
	attempt       *attempt      // in flight
	decisionWaits bool          // a decision was made while an attempt is in flight: taken once its result is reported
	attempts      int           // with a baseline: made so far
	begun         int           // attempts that servers began to work on
	ended         bool          // it has its final answer
}

// arrive plays an arrival and schedules the next.
func (s *Sim) arrive() {
	a := s.nextArrival
	s.addRequest(a.Class, tenant(a.Customer), false)
	s.scheduleArrival()
}

// addRequest brings a request to a node of its tenant's set.
func (s *Sim) addRequest(class int, from tenant, retry bool) {
	cfg := s.cfg.Traffic.Classes[class]
	spread := s.spread()
	first := int(uint64(from) % uint64(s.cfg.Nodes))
	n := s.nodes[(first+s.random.IntN(spread))%s.cfg.Nodes]
	timeout := time.Duration(cfg.BudgetMs) * time.Millisecond
	req := &request{
		node: n, class: class, tenant: from, retry: retry, retrySafe: cfg.RetrySafety == settings.RetrySafe,
		arrivedAt: s.now, deadline: s.now + timeout,
	}
	s.recorder.arrived()
	s.schedule(&event{at: req.deadline, kind: eventClientTimeout, request: req})
	if n.router == nil {
		s.decideByBaseline(req)
		return
	}
	req.routed = n.router.NewRequest(canceller{s, req})
	n.requests[req.routed] = req
	req.routed.Start(&protocol.Request{
		Class: cfg.Name, Plan: s.cfg.Traffic.Plan, Customer: uint64(from), Units: cfg.Units,
		Spread: spread, FirstNode: first, Timeout: timeout,
	}, timeout)
	s.takeDecisions(n)
}

// spread is how many nodes take in each tenant.
func (s *Sim) spread() int { return min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes) }

// canceller cancels a request's attempt for its node's engine: it ends at once, as a closed connection does.
type canceller struct {
	sim     *Sim
	request *request
}

func (c canceller) Cancel(number int) {
	if a := c.request.attempt; a != nil && a.number == number && !a.ended {
		c.sim.answer(a, protocol.Cancelled, 0)
		a.ended = true
	}
}

// clientTimeout has a client stop waiting.
func (s *Sim) clientTimeout(req *request) {
	if req.ended {
		return
	}
	s.end(req, outcomeGaveUp)
	if req.routed != nil {
		req.routed.ClientGone()
		s.takeDecisions(req.node)
	}
}

// scheduleRetry brings the client of a rejected request back once, with the chance that the traffic sets, after the time
// that it was advised.
func (s *Sim) scheduleRetry(req *request, retryAfter time.Duration) {
	if req.retry || s.random.Float64() >= s.cfg.Traffic.RetryProbability {
		return
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	s.schedule(&event{at: s.now + retryAfter, kind: eventRetry, request: req})
}

// end gives a request its one final answer; later ones are not counted.
func (s *Sim) end(req *request, outcome requestOutcome) {
	if req.ended {
		return
	}
	req.ended = true
	s.recorder.ended(req, outcome, s.now)
}

// release gives the request's room at its node back.
func (s *Sim) release(req *request) {
	if req.routed != nil {
		delete(req.node.requests, req.routed)
		req.routed.Release()
		req.routed = nil
	}
}
