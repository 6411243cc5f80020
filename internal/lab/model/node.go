package model

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// node is an edge node.
type node struct {
	id int // number of the node, from 0

	// State of the policy DecisionEngine.
	router           *routing.Router // nil with a baseline policy
	requests         map[*routing.Request]*request
	pendingDecisions []*routing.Request // requests that have a decision to execute, the oldest first
	timerGeneration  uint64             // number of times that the timer was set; only the last setting is valid

	// State of the baseline policies.
	lastServer int                // number of the server that was chosen last
	inFlight   map[int]int        // number of attempts in flight, by the server's number
	buckets    map[tenant]*bucket // quotas of the tenants at this node
}

// seedMultiplier is the multiplier that separates the nodes' seeds (2^64 divided by the golden ratio).
const seedMultiplier = 0x9e3779b97f4a7c15

// newNode returns a node that has the endpoint list. With a baseline policy, the node has no router and no list.
func (s *Simulation) newNode(id int, list *protocol.EndpointList) *node {
	n := &node{id: id, requests: map[*routing.Request]*request{}, inFlight: map[int]int{}, buckets: map[tenant]*bucket{}}
	if s.cfg.Policy != DecisionEngine {
		return n
	}
	shared := s.cfg.Settings
	if shared == nil {
		shared = DefaultSettings(s.cfg.Nodes, s.cfg.Traffic)
	}
	nodeSettings := *shared
	nodeSettings.Node = settings.IntNumber(id)
	n.router = routing.New(routing.Config{
		Seed:          s.cfg.Seed ^ uint64(id)*seedMultiplier,
		Settings:      &nodeSettings,
		Clock:         s.clock,
		OnDecision:    func(req *routing.Request) { n.pendingDecisions = append(n.pendingDecisions, req) },
		SetTimer:      func(after time.Duration) { s.setTimer(n, after) },
		PollEndpoints: func() {},
		SendToPeer:    func(int, []byte) {},
		LogSummary:    func([]byte) {},
	})
	n.router.UpdateEndpoints(list, routing.FromDiscovery)
	return n
}

// setTimer sets a node's only timer, which replaces an earlier setting.
func (s *Simulation) setTimer(n *node, after time.Duration) {
	n.timerGeneration++
	s.schedule(&event{at: s.now + max(after, 0), kind: eventTimer, node: n, timerGeneration: n.timerGeneration})
}

// executeDecisions executes the decisions that the node's engine has made.
func (s *Simulation) executeDecisions(n *node) {
	for len(n.pendingDecisions) > 0 {
		next := n.pendingDecisions[0]
		n.pendingDecisions = n.pendingDecisions[1:]
		req := n.requests[next]
		if req == nil {
			continue
		}
		if req.attempt != nil { // A node with sockets also reports the attempt's result before it executes the next decision.
			req.decisionDeferred = true
			continue
		}
		decision, ok := next.TryNext()
		if !ok {
			continue
		}
		switch decision.Action {
		case routing.Forward:
			s.send(req, decision.Attempt, s.byAddr[decision.Server.Addr], decision.Timeout)
		case routing.Reject:
			s.endRequest(req, outcomeRejected)
			s.scheduleRetry(req, decision.RetryAfter)
			s.releaseRequest(req)
		case routing.Fail:
			s.endRequest(req, outcomeFailed)
			s.releaseRequest(req)
		case routing.Abandon:
			s.releaseRequest(req)
		}
	}
}

// handleAttemptTimeout ends an attempt whose timeout has passed, and reports the result. It does nothing if the attempt has ended.
func (s *Simulation) handleAttemptTimeout(a *attempt) {
	if !a.ended {
		a.ended, a.outcome = true, protocol.TimedOut
		s.reportResult(a)
	}
}

// reportResult reports an attempt's result to its node, unless the request no longer waits for this attempt.
func (s *Simulation) reportResult(a *attempt) {
	req := a.request
	if req.attempt != a {
		return
	}
	req.attempt = nil
	a.ended = true
	if s.cfg.Policy != DecisionEngine {
		s.handleBaselineResult(a)
		return
	}
	if req.engineRequest == nil {
		return
	}
	req.engineRequest.Report(routing.AttemptResult{
		Outcome:  a.outcome,
		Duration: s.now - a.sentAt,
		Units:    s.cfg.Traffic.Classes[req.class].Units,
	})
	if a.outcome == protocol.Completed { // The engine makes no further decision on the request.
		s.endRequest(req, outcomeCompleted)
		s.releaseRequest(req)
		return
	}
	if req.decisionDeferred {
		req.decisionDeferred = false
		req.node.pendingDecisions = append(req.node.pendingDecisions, req.engineRequest)
	}
	s.executeDecisions(req.node)
}
