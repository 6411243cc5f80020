package model

import (
	"time"

	"cherrygap/internal/lab/load"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// tenant is the number of a customer.
type tenant uint64

// defaultRetryAfter is the delay of a client's retry after a rejection without Retry-After.
const defaultRetryAfter = 100 * time.Millisecond

// request is a client's request at a node. A client's retry is a new request.
type request struct {
	node          *node
	routed        *routing.Request // nil with a baseline, and after release
	class         int              // index in Traffic.Classes
	tenant        tenant
	arrivedAt     time.Duration
	deadline      time.Duration // when the client's timeout passes
	clientRetry   bool
	retrySafe     bool     // more than one execution is harmless
	attempt       *attempt // in flight; nil for none
	decisionWaits bool     // a decision was made while the attempt is in flight, and follows its result
	attempts      int      // made so far, with a baseline
	begun         int      // executions begun
	ended         bool     // for the client
}

// arrive executes an arrival and schedules the next one.
func (s *Sim) arrive() {
	s.addRequest(s.nextArrival)
	s.scheduleArrival()
}

// addRequest adds a request, which arrives now, to a random node of its tenant's set.
func (s *Sim) addRequest(a load.Arrival) {
	cfg := s.cfg.Traffic.Classes[a.Class]
	spread := s.spread()
	first := int(a.Customer % uint64(s.cfg.Nodes))
	n := s.nodes[(first+s.random.IntN(spread))%s.cfg.Nodes]
	timeout := time.Duration(cfg.BudgetMs) * time.Millisecond
	req := &request{
		node: n, class: a.Class, tenant: tenant(a.Customer), clientRetry: a.ClientRetry,
		retrySafe: cfg.RetrySafety == settings.RetrySafe, arrivedAt: s.now, deadline: s.now + timeout,
	}
	s.recorder.recordArrival()
	s.schedule(&event{at: req.deadline, kind: eventClientTimeout, request: req})
	if n.router == nil {
		s.decideByBaseline(req)
		return
	}
	req.routed = n.router.NewRequest(canceller{s, req})
	n.requests[req.routed] = req
	req.routed.Start(&protocol.Request{
		Class: cfg.Name, Plan: s.cfg.Traffic.Plan, Customer: a.Customer, Units: cfg.Units,
		Spread: spread, FirstNode: first, Timeout: timeout,
	}, timeout)
	s.takeDecisions(n)
}

// spread returns the number of nodes in each tenant's set.
func (s *Sim) spread() int { return min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes) }

// canceller lets the engine cancel a request's attempts.
type canceller struct {
	sim     *Sim
	request *request
}

// Cancel ends the attempt with a number at once, as closing its connection does. It does nothing if the attempt is not in
// flight.
func (c canceller) Cancel(number int) {
	if a := c.request.attempt; a != nil && a.number == number && !a.ended {
		c.sim.answer(a, protocol.Cancelled, 0)
		a.ended = true // after answer, which ignores an ended attempt
	}
}

// clientTimeout ends a request at its client's timeout, and notifies the engine.
func (s *Sim) clientTimeout(req *request) {
	if req.ended {
		return
	}
	s.end(req, outcomeTimedOut)
	if req.routed != nil {
		req.routed.ClientGone()
		s.takeDecisions(req.node)
	}
}

// scheduleRetry schedules the client's retry of a rejected request, with the configured probability. retryAfter is the
// rejection's Retry-After; 0 for the default. A client retries once.
func (s *Sim) scheduleRetry(req *request, retryAfter time.Duration) {
	if req.clientRetry || s.random.Float64() >= s.cfg.Traffic.RetryProbability {
		return
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	s.schedule(&event{at: s.now + retryAfter, kind: eventRetry, request: req})
}

// end ends a request for its client. It does nothing if the request has ended.
func (s *Sim) end(req *request, outcome requestOutcome) {
	if req.ended {
		return
	}
	req.ended = true
	s.recorder.recordEnd(req, outcome, s.now)
}

// release releases a request's resources at its node's engine. It does nothing if they are released.
func (s *Sim) release(req *request) {
	if req.routed != nil {
		delete(req.node.requests, req.routed)
		req.routed.Release()
		req.routed = nil
	}
}
