package routing

import (
	"slices"
	"time"

	"cherrygap/internal/protocol"
)

// playRequest is a client's request at one node.
type playRequest struct {
	node    *playNode
	request *Request
	attempt *playAttempt
	isRetry bool
	waiting bool // a decision is made while an attempt is in flight: taken once its result is reported
	closed  bool
}

// playAttempt is an attempt of a request at one server process.
type playAttempt struct {
	request *playRequest
	number  int
	sent    time.Duration
	ended   bool
}

// scheduleArrival brings a request to a node, and sets the time of the next.
func (p *slowStartPlay) scheduleArrival() {
	p.after(time.Duration(p.rng.ExpFloat64()/(p.requestRate*max(p.rateFactor, 0.01))*float64(time.Second)), func() {
		if p.clock < p.endAt {
			p.addRequest(false)
			p.scheduleArrival()
		}
	})
}

// addRequest brings a request to a node, drawn by the nodes' parts of the traffic.
func (p *slowStartPlay) addRequest(retry bool) {
	k, u := 0, p.rng.Float64()
	for u -= p.trafficPart[0]; u > 0 && k < len(p.trafficPart)-1; u -= p.trafficPart[k] {
		k++
	}
	if p.clock >= p.startAt && !retry {
		p.arrived++
	}
	n := p.nodes[k]
	req := &playRequest{node: n, isRetry: retry}
	req.request = n.router.NewRequest(playCanceller{req})
	n.requests[req.request] = req
	req.request.Start(&protocol.Request{Class: "b", Plan: "p", Customer: p.rng.Uint64() % 1000, Units: 1, Spread: 1, FirstNode: n.id},
		2*p.objective)
	n.takeDecisions()
	p.after(2*p.objective, func() {
		if !req.closed && !n.stopped {
			req.request.ClientGone()
			n.takeDecisions()
		}
	})
}

// playCanceller cancels the attempt that is in flight.
type playCanceller struct{ request *playRequest }

func (c playCanceller) Cancel(number int) {
	if attempt := c.request.attempt; attempt != nil && attempt.number == number && !attempt.ended {
		c.request.node.play.reportAfter(attempt, protocol.Cancelled, 0)
	}
}

// takeDecisions carries out what the node's engine has decided.
func (n *playNode) takeDecisions() {
	for len(n.ready) > 0 && !n.stopped {
		next := n.ready[0]
		n.ready = n.ready[1:]
		req := n.requests[next]
		if req == nil {
			continue
		}
		if req.attempt != nil {
			req.waiting = true
			continue
		}
		d, ok := next.TryNext()
		switch {
		case !ok:
		case d.Action == Forward:
			n.play.send(req, d)
		default:
			if d.Action == Reject && !req.isRetry && n.play.rng.Float64() < n.play.retryChance {
				n.play.after(max(d.RetryAfter, 50*time.Millisecond), func() { n.play.addRequest(true) })
			}
			n.close(req)
		}
	}
}

func (n *playNode) close(req *playRequest) {
	req.closed = true
	delete(n.requests, req.request)
	req.request.Release()
}

// send brings an attempt to its server, which counts it whatever becomes of it.
func (p *slowStartPlay) send(req *playRequest, d Decision) {
	attempt := &playAttempt{request: req, number: d.Attempt, sent: p.clock}
	req.attempt = attempt
	if d.Timeout > 0 {
		p.after(d.Timeout, func() { p.report(attempt, protocol.TimedOut) })
	}
	i := slices.IndexFunc(p.servers, func(sv *playServer) bool { return sv.addr == d.Server.Addr })
	sv := p.servers[i]
	if sv.down {
		p.reportAfter(attempt, protocol.ConnectFailed, time.Millisecond)
		return
	}
	if req.node.knownStart[sv] == sv.started { // a node that can't know of the start is not held to it
		sv.attempts = append(sv.attempts, p.clock)
	}
	switch {
	case sv.overloaded || len(sv.queue) > 2*sv.slots:
		p.reportAfter(attempt, protocol.Overloaded, time.Millisecond)
	case sv.hangs:
	case sv.busy >= sv.slots:
		sv.queue = append(sv.queue, attempt)
	default:
		p.work(sv, attempt)
	}
}

// reportAfter reports an attempt's result so much later.
func (p *slowStartPlay) reportAfter(attempt *playAttempt, outcome protocol.Outcome, after time.Duration) {
	p.after(after, func() { p.report(attempt, outcome) })
}

// report reports an attempt's result, if it has none yet.
func (p *slowStartPlay) report(attempt *playAttempt, outcome protocol.Outcome) {
	req := attempt.request
	if attempt.ended || req.attempt != attempt || req.node.stopped || req.closed {
		return
	}
	attempt.ended, req.attempt = true, nil
	req.request.Report(AttemptResult{Outcome: outcome, Duration: p.clock - attempt.sent, Units: 1})
	if outcome == protocol.Completed {
		if p.clock >= p.startAt && p.clock < p.endAt {
			p.completed++
		}
		req.node.close(req)
		req.node.takeDecisions()
		return
	}
	if req.waiting {
		req.waiting = false
		req.node.ready = append(req.node.ready, req.request)
	}
	req.node.takeDecisions()
}
