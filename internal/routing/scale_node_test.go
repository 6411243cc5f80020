package routing_test

import (
	"fmt"
	"math"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// scaleNode is a simulated node.
type scaleNode struct {
	id             int
	simulation     *scaleSimulation
	router         *routing.Router
	pending        []*routing.Request // Requests whose decision has not been taken
	open           map[*routing.Request]*scaleRequest
	released       []*routing.Request // Requests without an open request, for reuse
	timerSettings  uint64             // number of times that the timer was set; only the last setting is valid
	intervalClosed bool               // whether the current call closed a summary interval
	busyUntil      time.Duration      // virtual time at which the last of the calls that wait for the node's lock ends
}

// scaleRequest is a request of a client.
type scaleRequest struct {
	node         *scaleNode
	request      *routing.Request
	attempts     int           // attempts so far; events of earlier attempts are ignored
	sentAt       time.Duration // virtual time at which the last attempt was sent
	units        float64
	inFlight     bool
	admitted     bool
	cpuTime      time.Duration // CPU time of the calls up to the first attempt
	wallTime     time.Duration // wall-clock time of the same calls
	addedLatency time.Duration // time of the node's calls for the request, with waits for the lock
}

// requestDecision is a decision that the node has to carry out.
type requestDecision struct {
	request  *routing.Request
	decision routing.Decision
}

// timeCall measures one call of the node, with the taking of the decisions that it caused, and returns its CPU time. It
// simulates the wait for the node's lock as a queue of all calls. CPU times of the thread are used because other processes
// affect them less. The decisions are carried out after the measurement. The call is made for the request caller, or for no
// request if that is nil.
func (n *scaleNode) timeCall(operation string, caller *scaleRequest, call func()) time.Duration {
	var buffer [8]requestDecision
	decisions := buffer[:0]
	n.intervalClosed = false
	startWall, startCPU := time.Now(), threadCPUTime()
	call()
	for _, req := range n.pending {
		if d, ok := req.TryNext(); ok {
			decisions = append(decisions, requestDecision{req, d})
		}
	}
	cpu, wall := max(0, threadCPUTime()-startCPU-n.simulation.clockCost), time.Since(startWall)
	n.pending = n.pending[:0]
	n.charge(caller, decisions, cpu, wall)
	n.recordTime(operation, len(decisions), cpu)
	for _, decided := range decisions {
		if req := n.open[decided.request]; req != nil {
			n.carryOut(req, decided.decision)
		}
	}
	return cpu
}

// charge adds the time of a call, with the wait for the node's lock, to the latency of the request caller. It does the same
// for each request that is not admitted yet and on which the call decided. To the latter it also adds the CPU time and the
// wall-clock time of the call.
func (n *scaleNode) charge(caller *scaleRequest, decisions []requestDecision, cpu, wall time.Duration) {
	n.busyUntil = max(n.busyUntil, n.simulation.now) + cpu
	if caller != nil {
		caller.addedLatency += n.busyUntil - n.simulation.now
	}
	for _, decided := range decisions {
		req := n.open[decided.request]
		if req == nil || req.admitted {
			continue
		}
		req.cpuTime, req.wallTime = req.cpuTime+cpu, req.wallTime+wall
		if req != caller {
			req.addedLatency += n.busyUntil - n.simulation.now
		}
	}
}

// recordTime adds the time of a call to the timings, during the measured part of the run.
func (n *scaleNode) recordTime(operation string, decisionCount int, cpu time.Duration) {
	m := n.simulation.timings
	if m == nil {
		return
	}
	m.callTime += cpu
	switch {
	case n.intervalClosed:
		m.add("interval", cpu)
	case operation == "report" && decisionCount > 0:
		m.add("retry", cpu)
	case operation != "":
		m.add(operation, cpu)
	}
}

// startRequest starts a request at the node.
func (n *scaleNode) startRequest(in *protocol.Request, timeout time.Duration) {
	req := &scaleRequest{node: n, units: in.Units}
	if k := len(n.released); k > 0 {
		req.request, n.released = n.released[k-1], n.released[:k-1]
	} else {
		c := &scaleCanceller{node: n}
		c.request = n.router.NewRequest(c)
		req.request = c.request
	}
	n.open[req.request] = req
	if m := n.simulation.timings; m != nil {
		m.requests++
	}
	start := time.Now()
	cpu := n.timeCall("take", req, func() { req.request.Start(in, timeout) })
	if n.open[req.request] == req && !req.admitted { // The request waits for its quota owner.
		req.cpuTime, req.wallTime = cpu, time.Since(start)
	}
}

// scaleCanceller is the Canceller of a request.
type scaleCanceller struct {
	node    *scaleNode
	request *routing.Request
}

// Cancel ends the attempt as a closed connection does.
func (c *scaleCanceller) Cancel(attempt int) {
	if req := c.node.open[c.request]; req != nil && req.inFlight && attempt == req.attempts-1 {
		c.node.scheduleEnd(req, 0, protocol.Cancelled)
	}
}

// scheduleEnd schedules the end of the last attempt of a request.
func (n *scaleNode) scheduleEnd(req *scaleRequest, after time.Duration, outcome protocol.Outcome) {
	n.simulation.schedule(scaleEvent{
		at: n.simulation.now + after, kind: eventAttemptEnds, node: n,
		request: req, attempt: req.attempts, outcome: outcome,
	})
}

// carryOut carries out a decision: it starts the next attempt or closes the request.
func (n *scaleNode) carryOut(req *scaleRequest, d routing.Decision) {
	m, random := n.simulation.timings, n.simulation.random
	if d.Action != routing.Forward {
		if m != nil {
			m.rejected++
		}
		n.close(req)
		return
	}
	if !req.admitted {
		req.admitted = true
		if m != nil {
			m.admitted++
			m.add("pick", req.cpuTime)
			m.add("pick by the clock", req.wallTime)
		}
	}
	req.attempts++
	req.inFlight, req.sentAt = true, n.simulation.now
	outcome, after := protocol.Completed, time.Duration(float64(medianAttempt)*math.Exp(0.4*random.NormFloat64()))
	if random.Float64() < n.simulation.FailedShare {
		switch draw := random.IntN(10); {
		case draw < 5:
			outcome = protocol.Errored
		case draw < 8:
			outcome, after = protocol.Overloaded, peerDelay
		default:
			outcome = protocol.ConnectionReset
		}
	}
	if after >= d.Timeout {
		outcome, after = protocol.TimedOut, d.Timeout
	}
	n.scheduleEnd(req, after, outcome)
}

// close ends a request and keeps its Request for reuse.
func (n *scaleNode) close(req *scaleRequest) {
	delete(n.open, req.request)
	n.released = append(n.released, req.request)
	if m := n.simulation.timings; m != nil && req.admitted {
		m.addedLatency = append(m.addedLatency, float64(req.addedLatency))
	}
}

// report reports the result of a request's last attempt.
func (n *scaleNode) report(req *scaleRequest, outcome protocol.Outcome) {
	req.inFlight = false
	if m := n.simulation.timings; m != nil {
		if outcome == protocol.Completed {
			m.completed++
		} else {
			m.failed++
		}
	}
	result := routing.AttemptResult{Outcome: outcome, Duration: n.simulation.now - req.sentAt, Units: req.units}
	n.timeCall("report", req, func() { req.request.Report(result) })
	if outcome == protocol.Completed {
		n.close(req)
	}
}

// sendToPeer sends a datagram to its receivers among the simulated nodes.
func (n *scaleNode) sendToPeer(peer int, payload []byte) {
	kind := int(payload[0]) - firstKind
	if m := n.simulation.timings; m != nil && kind >= 0 && kind < kindCount {
		m.sent[kind]++
		m.sentBytes[kind] += len(payload)
		if peer < 0 {
			m.sentToAll[kind]++
			m.sentToAllBytes[kind] += len(payload)
		}
	}
	for _, other := range n.simulation.nodes {
		if other != n && (peer < 0 || peer == other.id) {
			n.simulation.schedule(scaleEvent{
				at: n.simulation.now + peerDelay, kind: eventPeerMessage, node: other, from: n.id, payload: payload,
			})
		}
	}
}

// receive passes a datagram from another node to the Router.
func (n *scaleNode) receive(from int, payload []byte) {
	if m, kind := n.simulation.timings, int(payload[0])-firstKind; m != nil && kind >= 0 && kind < kindCount {
		m.received[kind]++
		m.receivedBytes[kind] += len(payload)
	}
	n.timeCall("receive", nil, func() {
		if !n.router.ReceivePeerMessage(from, payload) {
			panic(fmt.Sprintf("node %d received a malformed datagram %x from node %d", n.id, payload, from))
		}
	})
}
