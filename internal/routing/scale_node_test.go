package routing_test

import (
	"math"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// scaleNode is one of the simulated nodes.
type scaleNode struct {
	id             int
	world          *scaleWorld
	router         *routing.Router
	decided        []*routing.Request // with decisions to take
	open           map[*routing.Request]*scaleRequest
	released       []*routing.Request
	timerSettings  uint64        // how often the timer was set: only the last one counts
	intervalClosed bool          // in the current call
	busyUntil      time.Duration // simulation of the lock: time at which the last call in its queue ends
}

// scaleRequest is a client's request.
type scaleRequest struct {
	node     *scaleNode
	request  *routing.Request
	attempts int // so far; it makes events of earlier attempts void
	sent     time.Duration
	units    float64
	inFlight bool
	admitted bool
	cpuTime  time.Duration // CPU time of the calls up to the first attempt
	wallTime time.Duration // the same by the clock
	added    time.Duration // time of the node's calls for it, with waits for the lock
}

// scaleStep is a decision to carry out.
type scaleStep struct {
	request  *routing.Request
	decision routing.Decision
}

// timeCall times one call of the node and the taking of the decisions that it caused. It simulates the wait for the node's
// lock as a queue of all calls. Times are CPU times of the thread, which other processes affect less. The decisions are
// carried out after the clock has stopped. The request that the call is for is caller, or nil.
func (n *scaleNode) timeCall(operation string, caller *scaleRequest, call func()) time.Duration {
	var memory [8]scaleStep
	steps := memory[:0]
	n.intervalClosed = false
	startWall, startCPU := time.Now(), threadTime()
	call()
	for _, req := range n.decided {
		if d, ok := req.TryNext(); ok {
			steps = append(steps, scaleStep{req, d})
		}
	}
	cpu, wall := max(0, threadTime()-startCPU-n.world.clockCost), time.Since(startWall)
	n.decided = n.decided[:0]
	n.charge(caller, steps, cpu, wall)
	n.record(operation, len(steps), cpu)
	for _, s := range steps {
		if req := n.open[s.request]; req != nil {
			n.carryOut(req, s.decision)
		}
	}
	return cpu
}

// charge adds the time of a call to its request, and to the requests with a decision by it.
func (n *scaleNode) charge(caller *scaleRequest, steps []scaleStep, cpu, wall time.Duration) {
	n.busyUntil = max(n.busyUntil, n.world.now) + cpu
	if caller != nil {
		caller.added += n.busyUntil - n.world.now
	}
	for _, s := range steps {
		req := n.open[s.request]
		if req == nil || req.admitted {
			continue
		}
		req.cpuTime, req.wallTime = req.cpuTime+cpu, req.wallTime+wall
		if req != caller {
			req.added += n.busyUntil - n.world.now
		}
	}
}

// record adds the time of a call to the timings of the measured part.
func (n *scaleNode) record(operation string, steps int, cpu time.Duration) {
	m := n.world.timings
	if m == nil {
		return
	}
	m.calls += cpu
	switch {
	case n.intervalClosed:
		m.add("interval", cpu)
	case operation == "report" && steps > 0:
		m.add("retry", cpu)
	case operation != "":
		m.add(operation, cpu)
	}
}

// take lets a request arrive at the node.
func (n *scaleNode) take(in *protocol.Request, timeout time.Duration) {
	req := &scaleRequest{node: n, units: in.Units}
	if k := len(n.released); k > 0 {
		req.request, n.released = n.released[k-1], n.released[:k-1]
	} else {
		c := &scaleCanceller{node: n}
		c.request = n.router.NewRequest(c)
		req.request = c.request
	}
	n.open[req.request] = req
	if m := n.world.timings; m != nil {
		m.requests++
	}
	start := time.Now()
	cpu := n.timeCall("take", req, func() { req.request.Start(in, timeout) })
	if n.open[req.request] == req && !req.admitted { // it waits for its quota owner
		req.cpuTime, req.wallTime = cpu, time.Since(start)
	}
}

// scaleCanceller cancels the attempt of a request.
type scaleCanceller struct {
	node    *scaleNode
	request *routing.Request
}

// Cancel ends the attempt, as a closed connection does.
func (c *scaleCanceller) Cancel(attempt int) {
	if req := c.node.open[c.request]; req != nil && req.inFlight && attempt == req.attempts-1 {
		c.node.scheduleEnd(req, 0, protocol.Cancelled)
	}
}

// scheduleEnd schedules the end of a request's last attempt.
func (n *scaleNode) scheduleEnd(req *scaleRequest, after time.Duration, outcome protocol.Outcome) {
	n.world.schedule(scaleEvent{
		at: n.world.now + after, kind: eventAttemptEnds, node: n,
		request: req, attempt: req.attempts, outcome: outcome,
	})
}

// carryOut carries out a decision.
func (n *scaleNode) carryOut(req *scaleRequest, d routing.Decision) {
	m, random := n.world.timings, n.world.random
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
	req.inFlight, req.sent = true, n.world.now
	outcome, after := protocol.Completed, time.Duration(float64(medianAttempt)*math.Exp(0.4*random.NormFloat64()))
	if random.Float64() < n.world.FailedShare {
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

func (n *scaleNode) close(req *scaleRequest) {
	delete(n.open, req.request)
	n.released = append(n.released, req.request)
	if m := n.world.timings; m != nil && req.admitted {
		m.added = append(m.added, float64(req.added))
	}
}

// report reports the result of an attempt.
func (n *scaleNode) report(req *scaleRequest, outcome protocol.Outcome) {
	req.inFlight = false
	if m := n.world.timings; m != nil {
		if outcome == protocol.Completed {
			m.completed++
		} else {
			m.failed++
		}
	}
	result := routing.AttemptResult{Outcome: outcome, Duration: n.world.now - req.sent, Units: req.units}
	n.timeCall("report", req, func() { req.request.Report(result) })
	if outcome == protocol.Completed {
		n.close(req)
	}
}

// sendToPeer delivers a datagram to its receivers among the simulated nodes.
func (n *scaleNode) sendToPeer(peer int, payload []byte) {
	kind := int(payload[0]) - firstKind
	if m := n.world.timings; m != nil && kind >= 0 && kind < kindCount {
		m.sent[kind]++
		m.sentBytes[kind] += len(payload)
		if peer < 0 {
			m.sentToAll[kind]++
			m.sentToAllBytes[kind] += len(payload)
		}
	}
	for _, other := range n.world.nodes {
		if other != n && (peer < 0 || peer == other.id) {
			n.world.schedule(scaleEvent{
				at: n.world.now + peerDelay, kind: eventPeerMessage, node: other, from: n.id, payload: payload,
			})
		}
	}
}

// receive passes a datagram of another node to the Router.
func (n *scaleNode) receive(from int, payload []byte) {
	if m, kind := n.world.timings, int(payload[0])-firstKind; m != nil && kind >= 0 && kind < kindCount {
		m.received[kind]++
		m.receivedBytes[kind] += len(payload)
	}
	n.timeCall("receive", nil, func() {
		if !n.router.ReceivePeerMessage(from, payload) {
			panic("a datagram that can't be read")
		}
	})
}
