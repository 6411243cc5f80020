package scale

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

const maxInFlight = 1024 // largest number of requests in flight at all simulated nodes

// generate starts requests at random simulated nodes, at times drawn in advance. It ends with the process. Each request runs
// in a goroutine, which ends with the response.
func (f *nodeFleet) generate() {
	rate := f.cfg.SimulatedRate * float64(len(f.nodes))
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(f.cfg.Seed, nodeRequestStream))
	for due := time.Now(); ; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		n := f.nodes[rng.IntN(len(f.nodes))]
		tenant, class := f.populations[n.number].draw(rng), drawClass(rng)
		if f.sending.Load() && !n.down.Load() && f.recordSent(due) {
			go f.simulateRequest(n, tenant, class, due)
		}
	}
}

// simulateRequest executes the decisions of a node's engine for a request until the response, and counts the response.
func (f *nodeFleet) simulateRequest(n *simulatedNode, tenant tenant, class *requestClass, due time.Time) {
	inc, handle := n.current.Load(), newAttemptHandle()
	inc.inFlight.Add(1)
	defer inc.inFlight.Add(-1)
	request := inc.router.NewRequest(handle)
	f.withEngineSlot(func() {
		request.Start(&protocol.Request{
			Method: class.method, Class: class.name, Plan: plans[tenant.plan].name, Customer: tenant.key,
			Timeout: class.timeout, Units: 1, Spread: tenant.spread, FirstNode: tenant.firstNode,
		}, class.timeout-time.Since(due))
	})
	status, begun := 0, 0
	for status == 0 {
		switch decision := request.Next(); decision.Action {
		case routing.Forward:
			startedAt := time.Now()
			attempt := f.simulateAttempt(inc, handle, decision)
			if attempt.begun {
				begun++
			}
			result := routing.AttemptResult{Outcome: attempt.outcome, Duration: time.Since(startedAt)}
			f.withEngineSlot(func() { request.Report(result) })
			if attempt.outcome == protocol.Completed {
				status = http.StatusOK
			}
		case routing.Reject:
			status = http.StatusServiceUnavailable
		default:
			status = http.StatusBadGateway
		}
	}
	request.Release()
	f.recordResponse(status, time.Since(due), class, begun)
}

// attemptResult is the result of an attempt at a simulated server.
type attemptResult struct {
	outcome protocol.Outcome
	begun   bool // whether the server began to execute the request
}

// simulateAttempt simulates an attempt at a server. The server needs a random service time. The attempt fails if the server
// has been killed by then.
func (f *nodeFleet) simulateAttempt(inc *incarnation, handle *attemptHandle, d routing.Decision) attemptResult {
	cancelled, ok := handle.begin(d.Attempt)
	if !ok || !inc.router.InService(d.Server) {
		return attemptResult{outcome: protocol.NotSent}
	}
	server, ok := f.serverNumbers[d.Server.Addr]
	if !ok {
		return attemptResult{outcome: protocol.ConnectFailed}
	}
	if inc.drainedFor(server) > drainGrace+violationTolerance {
		f.lateSends.Add(1)
	}
	if f.serverKilled[server].Load() {
		return attemptResult{outcome: protocol.ConnectFailed}
	}
	f.attemptsBegun[server].Add(1)
	var duration time.Duration
	f.withRandomSource(func(rng *rand.Rand) { duration = drawServiceTime(rng) })
	timer := time.NewTimer(min(duration, d.Timeout))
	defer timer.Stop()
	select {
	case <-cancelled:
		return attemptResult{outcome: protocol.Cancelled, begun: true}
	case <-timer.C:
	}
	switch {
	case f.serverKilled[server].Load():
		return attemptResult{outcome: protocol.ConnectionReset, begun: true}
	case duration > d.Timeout:
		return attemptResult{outcome: protocol.TimedOut, begun: true}
	}
	return attemptResult{outcome: protocol.Completed, begun: true}
}

// noAttempt is an attempt number that no attempt has.
const noAttempt = -1

// attemptHandle lets the router cancel the attempts of a simulated node's request. Its methods may be called from several
// goroutines.
type attemptHandle struct {
	mu            sync.Mutex    // guards the fields below
	number        int           // number of the latest attempt; noAttempt before the first one
	cancelled     chan struct{} // channel that Cancel closes and then sets to nil
	lastCancelled int           // last number passed to Cancel, whose attempt may not have begun yet; noAttempt before
}

// newAttemptHandle returns the handle of a request without attempts.
func newAttemptHandle() *attemptHandle {
	return &attemptHandle{number: noAttempt, lastCancelled: noAttempt}
}

// Cancel cancels the attempt with a number. If the attempt has not begun yet, it will not begin. The router calls Cancel.
func (h *attemptHandle) Cancel(attempt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCancelled = attempt
	if attempt == h.number && h.cancelled != nil {
		close(h.cancelled)
		h.cancelled = nil
	}
}

// begin begins the attempt with a number and returns the channel that Cancel closes. It returns false if the attempt is
// cancelled already.
func (h *attemptHandle) begin(attempt int) (cancelled <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastCancelled == attempt {
		return nil, false
	}
	h.number, h.cancelled = attempt, make(chan struct{})
	return h.cancelled, true
}
