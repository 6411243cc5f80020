package model

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// node is an edge node.
type node struct {
	id int

	// With the Module policy.
	router        *routing.Router // nil with a baseline
	requests      map[*routing.Request]*request
	decided       []*routing.Request // with a decision that was not executed yet
	timerSettings uint64             // number of times that the timer was set; only the last one is valid

	// With a baseline policy.
	rotation int         // number of the last chosen server
	inFlight map[int]int // attempts, by server
	buckets  map[tenant]*bucket
}

// seedStep is the multiplier that separates the nodes' seeds (2^64 divided by the golden ratio).
const seedStep = 0x9e3779b97f4a7c15

// newNode returns a node that has the endpoint list.
func (s *Sim) newNode(id int, list *protocol.EndpointList) *node {
	n := &node{id: id, requests: map[*routing.Request]*request{}, inFlight: map[int]int{}, buckets: map[tenant]*bucket{}}
	if s.cfg.Policy != Module {
		return n
	}
	shared := s.cfg.Settings
	if shared == nil {
		shared = DefaultSettings(s.cfg.Nodes, s.cfg.Traffic)
	}
	set := *shared
	set.Node = settings.IntNumber(id)
	n.router = routing.New(routing.Config{
		Seed:          s.cfg.Seed ^ uint64(id)*seedStep,
		Settings:      &set,
		Clock:         s.clock,
		OnDecision:    func(req *routing.Request) { n.decided = append(n.decided, req) },
		SetTimer:      func(after time.Duration) { s.setTimer(n, after) },
		PollEndpoints: func() {},
		SendToPeer:    func(int, []byte) {},
		LogSummary:    func([]byte) {},
	})
	n.router.UpdateEndpoints(list, routing.FromDiscovery)
	return n
}

// setTimer sets a node's only timer. An earlier setting does not fire any more.
func (s *Sim) setTimer(n *node, after time.Duration) {
	n.timerSettings++
	s.schedule(&event{at: s.now + max(after, 0), kind: eventTimer, node: n, timerSetting: n.timerSettings})
}

// takeDecisions executes the decisions that the node's engine has made.
func (s *Sim) takeDecisions(n *node) {
	for len(n.decided) > 0 {
		next := n.decided[0]
		n.decided = n.decided[1:]
		req := n.requests[next]
		if req == nil {
			continue
		}
		if req.attempt != nil { // as with sockets, the attempt's result is reported before the next decision is executed
			req.decisionWaits = true
			continue
		}
		d, ok := next.TryNext()
		if !ok {
			continue
		}
		switch d.Action {
		case routing.Forward:
			s.send(req, d.Attempt, s.byAddr[d.Server.Addr], d.Timeout)
		case routing.Reject:
			s.end(req, outcomeRejected)
			s.scheduleRetry(req, d.RetryAfter)
			s.release(req)
		case routing.Fail:
			s.end(req, outcomeFailed)
			s.release(req)
		case routing.Abandon:
			s.release(req)
		}
	}
}

// attemptTimeout ends an attempt whose timeout has passed.
func (s *Sim) attemptTimeout(a *attempt) {
	if !a.ended {
		a.ended, a.outcome = true, protocol.TimedOut
		s.report(a)
	}
}

// report reports an attempt's result to its node, unless the request is no longer waiting for it.
func (s *Sim) report(a *attempt) {
	req := a.request
	if req.attempt != a {
		return
	}
	req.attempt = nil
	a.ended = true
	if s.cfg.Policy != Module {
		s.baselineResult(a)
		return
	}
	if req.routed == nil {
		return
	}
	req.routed.Report(routing.AttemptResult{
		Outcome:  a.outcome,
		Duration: s.now - a.sentAt,
		Units:    s.cfg.Traffic.Classes[req.class].Units,
	})
	if a.outcome == protocol.Completed { // the engine makes no further decision
		s.end(req, outcomeCompleted)
		s.release(req)
		return
	}
	if req.decisionWaits {
		req.decisionWaits = false
		req.node.decided = append(req.node.decided, req.routed)
	}
	s.takeDecisions(req.node)
}
