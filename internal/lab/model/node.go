package model

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// node is a simulated node.
type node struct {
	id int

	// Fields of the policy Module.
	router        *routing.Router // nil with a baseline policy
	requests      map[*routing.Request]*request
	decided       []*routing.Request // requests with a decision that is not carried out
	timerSettings uint64             // number of times that the timer was set; identifies the last setting

	// Fields of the baseline policies.
	rotation int         // number of the last server chosen
	inFlight map[int]int // attempts in flight by server
	buckets  map[tenant]*bucket
}

// nodeSeedStep is the difference between the seeds of consecutive nodes.
const nodeSeedStep = 0x9e3779b97f4a7c15

// newNode returns a node with the full endpoint list.
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
		Seed:          s.cfg.Seed ^ uint64(id)*nodeSeedStep,
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

// setTimer sets the timer of a node. It replaces an earlier setting.
func (s *Sim) setTimer(n *node, after time.Duration) {
	n.timerSettings++
	s.schedule(&event{at: s.now + max(after, 0), kind: eventTimer, node: n, timerSetting: n.timerSettings})
}

// takeDecisions carries out the decisions of a node's engine. A decision on a request with an attempt in flight waits for the
// result of the attempt, as it does on sockets.
func (s *Sim) takeDecisions(n *node) {
	for len(n.decided) > 0 {
		next := n.decided[0]
		n.decided = n.decided[1:]
		req := n.requests[next]
		if req == nil {
			continue
		}
		if req.attempt != nil {
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

// attemptTimeout ends an attempt at its timeout, unless it has ended.
func (s *Sim) attemptTimeout(a *attempt) {
	if !a.ended {
		a.ended, a.outcome = true, protocol.TimedOut
		s.report(a)
	}
}

// report reports the result of an attempt to its node. It ignores an attempt that its request has replaced.
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
	if a.outcome == protocol.Completed { // the final response: no decision follows
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
