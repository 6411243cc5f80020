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

// defaultRetryAfter is the delay of a client's retry after a rejection without a Retry-After.
const defaultRetryAfter = 100 * time.Millisecond

// request is a client's request at a node. A client's retry is a new request.
type request struct {
	node             *node
	engineRequest    *routing.Request // nil with a baseline policy, and after releaseRequest
	class            int              // index into Traffic.Classes
	tenant           tenant           // customer of the request
	arrivedAt        time.Duration    // virtual time of the arrival
	deadline         time.Duration    // virtual time at which the client's timeout passes
	clientRetry      bool             // whether the request is a client's retry
	retrySafe        bool             // whether more than one execution is harmless
	attempt          *attempt         // attempt in flight; nil for none
	decisionDeferred bool             // whether a decision waits for the result of the attempt in flight
	attempts         int              // number of attempts so far; counted only with a baseline policy
	executions       int              // number of executions that have begun at servers
	ended            bool             // whether the client has a response, or its timeout has passed
}

// handleArrival adds the request of the scheduled arrival, and schedules the next arrival.
func (s *Simulation) handleArrival() {
	s.addRequest(s.nextArrival)
	s.scheduleArrival()
}

// addRequest adds a request, which arrives now, at a random node of its tenant's set.
func (s *Simulation) addRequest(arrival load.Arrival) {
	classConfig := s.cfg.Traffic.Classes[arrival.Class]
	spread := s.spread()
	firstNode := int(arrival.Customer % uint64(s.cfg.Nodes))
	n := s.nodes[(firstNode+s.random.IntN(spread))%s.cfg.Nodes]
	timeout := time.Duration(classConfig.BudgetMs) * time.Millisecond
	req := &request{
		node: n, class: arrival.Class, tenant: tenant(arrival.Customer), clientRetry: arrival.ClientRetry,
		retrySafe: classConfig.RetrySafety == settings.RetrySafe, arrivedAt: s.now, deadline: s.now + timeout,
	}
	s.recorder.recordArrival()
	s.schedule(&event{at: req.deadline, kind: eventClientTimeout, request: req})
	if n.router == nil {
		s.decideByBaseline(req)
		return
	}
	req.engineRequest = n.router.NewRequest(canceller{s, req})
	n.requests[req.engineRequest] = req
	req.engineRequest.Start(&protocol.Request{
		Class: classConfig.Name, Plan: s.cfg.Traffic.Plan, Customer: arrival.Customer, Units: classConfig.Units,
		Spread: spread, FirstNode: firstNode, Timeout: timeout,
	}, timeout)
	s.executeDecisions(n)
}

// spread returns the number of nodes in each tenant's set, which are the nodes that receive the tenant's requests.
func (s *Simulation) spread() int { return min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes) }

// canceller lets the engine cancel a request's attempts.
type canceller struct {
	sim     *Simulation
	request *request
}

// Cancel ends the attempt with the given number at once, as closing its connection does. It does nothing if that attempt is
// not in flight.
func (c canceller) Cancel(number int) {
	if a := c.request.attempt; a != nil && a.number == number && !a.ended {
		c.sim.deliverResult(a, protocol.Cancelled, 0)
		a.ended = true // set after deliverResult, which ignores an ended attempt
	}
}

// handleClientTimeout ends a request at its client's timeout, and notifies the engine. It does nothing if the request has ended.
func (s *Simulation) handleClientTimeout(req *request) {
	if req.ended {
		return
	}
	s.endRequest(req, outcomeTimedOut)
	if req.engineRequest != nil {
		req.engineRequest.ClientGone()
		s.executeDecisions(req.node)
	}
}

// scheduleRetry schedules the client's retry of a rejected request, with the configured probability. The retry follows
// after retryAfter, or after defaultRetryAfter if retryAfter is 0 or less. A client retries once.
func (s *Simulation) scheduleRetry(req *request, retryAfter time.Duration) {
	if req.clientRetry || s.random.Float64() >= s.cfg.Traffic.RetryProbability {
		return
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	s.schedule(&event{at: s.now + retryAfter, kind: eventRetry, request: req})
}

// endRequest ends a request for its client. It does nothing if the request has ended.
func (s *Simulation) endRequest(req *request, outcome requestOutcome) {
	if req.ended {
		return
	}
	req.ended = true
	s.recorder.recordEnd(req, outcome, s.now)
}

// releaseRequest releases a request's resources at its node's engine. It does nothing if they are released already.
func (s *Simulation) releaseRequest(req *request) {
	if req.engineRequest != nil {
		delete(req.node.requests, req.engineRequest)
		req.engineRequest.Release()
		req.engineRequest = nil
	}
}
