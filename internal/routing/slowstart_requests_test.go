package routing

import (
	"slices"
	"time"

	"cherrygap/internal/protocol"
)

// simulatedRequest is a request of a client at one node.
type simulatedRequest struct {
	node            *simulatedNode
	request         *Request
	attempt         *simulatedAttempt // attempt in flight, or nil
	isRetry         bool              // whether the request is a client's retry of a rejected one
	decisionPending bool              // whether a decision waits until the result of the attempt in flight is reported
	closed          bool
}

// simulatedAttempt is an attempt of a request at one server process.
type simulatedAttempt struct {
	request *simulatedRequest
	number  int
	sentAt  time.Duration // virtual time
	ended   bool
}

// scheduleArrival schedules the next arrival of a request, which schedules the one after it.
func (sim *slowStartSimulation) scheduleArrival() {
	sim.after(time.Duration(sim.random.ExpFloat64()/(sim.requestRate*max(sim.rateFactor, 0.01))*float64(time.Second)), func() {
		if sim.clock < sim.endAt {
			sim.addRequest(false)
			sim.scheduleArrival()
		}
	})
}

// addRequest starts a request at a random node, by the nodes' shares of the traffic.
func (sim *slowStartSimulation) addRequest(retry bool) {
	nodeIndex, draw := 0, sim.random.Float64()
	for draw -= sim.trafficShares[0]; draw > 0 && nodeIndex < len(sim.trafficShares)-1; draw -= sim.trafficShares[nodeIndex] {
		nodeIndex++
	}
	if sim.clock >= sim.startAt && !retry {
		sim.arrived++
	}
	n := sim.nodes[nodeIndex]
	req := &simulatedRequest{node: n, isRetry: retry}
	req.request = n.router.NewRequest(attemptCanceller{req})
	n.requests[req.request] = req
	req.request.Start(&protocol.Request{Class: "b", Plan: "p", Customer: sim.random.Uint64() % 1000, Units: 1, Spread: 1, FirstNode: n.id},
		2*sim.latencyObjective)
	n.takeDecisions()
	sim.after(2*sim.latencyObjective, func() {
		if !req.closed && !n.stopped {
			req.request.ClientGone()
			n.takeDecisions()
		}
	})
}

// attemptCanceller is the Canceller of a simulatedRequest.
type attemptCanceller struct{ request *simulatedRequest }

func (c attemptCanceller) Cancel(number int) {
	if attempt := c.request.attempt; attempt != nil && attempt.number == number && !attempt.ended {
		c.request.node.simulation.reportAfter(attempt, protocol.Cancelled, 0)
	}
}

// takeDecisions carries out the decisions of the node's engine.
func (n *simulatedNode) takeDecisions() {
	for len(n.pending) > 0 && !n.stopped {
		next := n.pending[0]
		n.pending = n.pending[1:]
		req := n.requests[next]
		if req == nil {
			continue
		}
		if req.attempt != nil {
			req.decisionPending = true
			continue
		}
		d, ok := next.TryNext()
		switch {
		case !ok:
		case d.Action == Forward:
			n.simulation.send(req, d)
		default:
			if d.Action == Reject && !req.isRetry && n.simulation.random.Float64() < n.simulation.retryChance {
				n.simulation.after(max(d.RetryAfter, 50*time.Millisecond), func() { n.simulation.addRequest(true) })
			}
			n.close(req)
		}
	}
}

// close closes a request and releases its Request.
func (n *simulatedNode) close(req *simulatedRequest) {
	req.closed = true
	delete(n.requests, req.request)
	req.request.Release()
}

// send sends an attempt to its server. A server that is up counts the attempt, whatever its outcome, if the lists
// that the node got have the start of the server's process.
func (sim *slowStartSimulation) send(req *simulatedRequest, d Decision) {
	attempt := &simulatedAttempt{request: req, number: d.Attempt, sentAt: sim.clock}
	req.attempt = attempt
	if d.Timeout > 0 {
		sim.after(d.Timeout, func() { sim.report(attempt, protocol.TimedOut) })
	}
	i := slices.IndexFunc(sim.servers, func(server *simulatedServer) bool { return server.addr == d.Server.Addr })
	server := sim.servers[i]
	if server.down {
		sim.reportAfter(attempt, protocol.ConnectFailed, time.Millisecond)
		return
	}
	if req.node.knownStarts[server] == server.started { // Attempts from nodes that cannot know of the server's start do not count.
		server.attemptTimes = append(server.attemptTimes, sim.clock)
	}
	switch {
	case server.overloaded || len(server.queue) > 2*server.slots:
		sim.reportAfter(attempt, protocol.Overloaded, time.Millisecond)
	case server.hangs:
	case server.busy >= server.slots:
		server.queue = append(server.queue, attempt)
	default:
		sim.work(server, attempt)
	}
}

// reportAfter reports the result of an attempt after a delay.
func (sim *slowStartSimulation) reportAfter(attempt *simulatedAttempt, outcome protocol.Outcome, after time.Duration) {
	sim.after(after, func() { sim.report(attempt, outcome) })
}

// report reports the result of an attempt, unless the attempt has ended.
func (sim *slowStartSimulation) report(attempt *simulatedAttempt, outcome protocol.Outcome) {
	req := attempt.request
	if attempt.ended || req.attempt != attempt || req.node.stopped || req.closed {
		return
	}
	attempt.ended, req.attempt = true, nil
	req.request.Report(AttemptResult{Outcome: outcome, Duration: sim.clock - attempt.sentAt, Units: 1})
	if outcome == protocol.Completed {
		if sim.clock >= sim.startAt && sim.clock < sim.endAt {
			sim.completed++
		}
		req.node.close(req)
		req.node.takeDecisions()
		return
	}
	if req.decisionPending {
		req.decisionPending = false
		req.node.pending = append(req.node.pending, req.request)
	}
	req.node.takeDecisions()
}
