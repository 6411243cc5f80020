package model

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// tenant is the number of a customer. It determines the customer's quota and node set.
type tenant uint64

// defaultRetryAfter is the delay of a client's retry without a Retry-After.
const defaultRetryAfter = 100 * time.Millisecond

// request is a client's request at a node. A client's retry is another request.
type request struct {
	node          *node
	routed        *routing.Request // policy Module: nil once it is released
	class         int              // index into Traffic.Classes
	tenant        tenant
	arrivedAt     time.Duration
	deadline      time.Duration // time at which the client stops waiting
	retry         bool          // whether the request is a client's retry
	retrySafe     bool          // whether the request may be executed more than once
	attempt       *attempt      // in flight; nil for none
	decisionWaits bool          // whether a decision waits for the result of the attempt in flight
	attempts      int           // baseline policies: number of attempts made
	begun         int           // number of attempts that servers began to execute
	ended         bool          // whether the client has the final response or stopped waiting
}

// arrive handles an arrival and schedules the next one.
func (s *Sim) arrive() {
	a := s.nextArrival
	s.addRequest(a.Class, tenant(a.Customer), false)
	s.scheduleArrival()
}

// addRequest sends a client's request to a random node of its tenant's node set.
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

// spread returns the number of nodes in each tenant's node set.
func (s *Sim) spread() int { return min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes) }

// canceller implements the cancellation of a request's attempts for its node's engine.
type canceller struct {
	sim     *Sim
	request *request
}

// Cancel ends the attempt with a number if it is in flight.
func (c canceller) Cancel(number int) {
	if a := c.request.attempt; a != nil && a.number == number && !a.ended {
		c.sim.respond(a, protocol.Cancelled, 0)
		a.ended = true
	}
}

// clientTimeout ends a request whose client stops waiting, unless it has ended.
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

// scheduleRetry schedules the client's retry of a rejected request, with Traffic.RetryProbability and after retryAfter. A
// client retries once.
func (s *Sim) scheduleRetry(req *request, retryAfter time.Duration) {
	if req.retry || s.random.Float64() >= s.cfg.Traffic.RetryProbability {
		return
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	s.schedule(&event{at: s.now + retryAfter, kind: eventRetry, request: req})
}

// end ends a request with its final outcome, unless it has ended.
func (s *Sim) end(req *request, outcome requestOutcome) {
	if req.ended {
		return
	}
	req.ended = true
	s.recorder.ended(req, outcome, s.now)
}

// release removes a request from its node.
func (s *Sim) release(req *request) {
	if req.routed != nil {
		delete(req.node.requests, req.routed)
		req.routed.Release()
		req.routed = nil
	}
}
