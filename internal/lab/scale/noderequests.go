package scale

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

const maxInFlight = 1024 // requests at all simulated nodes

// generate begins requests at all simulated nodes, at times drawn in advance whatever becomes of those before. It ends
// with the process; each request has a goroutine of its own, which ends with its answer.
func (f *nodeFleet) generate() {
	rate := f.cfg.SimulatedRate * float64(len(f.nodes))
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 0x686f))
	for due := time.Now(); ; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		n := f.nodes[rng.IntN(len(f.nodes))]
		tenant, class := f.populations[n.number].draw(rng), drawClass(rng)
		if f.sending.Load() && !n.away.Load() && f.recordSent(due) {
			go f.playRequest(n, tenant, class, due)
		}
	}
}

// playRequest takes one request through a node's engine to its answer.
func (f *nodeFleet) playRequest(n *simulatedNode, tenant tenant, class *requestClass, due time.Time) {
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
			outcome, ran := f.playAttempt(inc, handle, decision)
			if ran {
				begun++
			}
			result := routing.AttemptResult{Outcome: outcome, Duration: time.Since(startedAt)}
			f.withEngineSlot(func() { request.Report(result) })
			if outcome == protocol.Completed {
				status = http.StatusOK
			}
		case routing.Reject:
			status = http.StatusServiceUnavailable
		default:
			status = http.StatusBadGateway
		}
	}
	request.Release()
	f.recordAnswer(status, time.Since(due), class, begun)
}

// playAttempt is an attempt at a simulated server, which takes a drawn time unless the server is dead by then. It tells
// whether the attempt began to run.
func (f *nodeFleet) playAttempt(inc *incarnation, handle *attemptHandle, d routing.Decision) (protocol.Outcome, bool) {
	cancelled, ok := handle.begin(d.Attempt)
	if !ok || !inc.router.InService(d.Server) {
		return protocol.NotSent, false
	}
	server, ok := f.serverNumbers[d.Server.Addr]
	if !ok {
		return protocol.ConnectFailed, false
	}
	if inc.drainedFor(server) > drainGrace+countSlack {
		f.lateSends.Add(1)
	}
	if f.dead[server].Load() {
		return protocol.ConnectFailed, false
	}
	f.attemptsBegun[server].Add(1)
	var duration time.Duration
	f.random(func(rng *rand.Rand) { duration = drawServiceTime(rng) })
	timer := time.NewTimer(min(duration, d.Timeout))
	defer timer.Stop()
	select {
	case <-cancelled:
		return protocol.Cancelled, true
	case <-timer.C:
	}
	switch {
	case f.dead[server].Load():
		return protocol.ConnectionReset, true
	case duration > d.Timeout:
		return protocol.TimedOut, true
	}
	return protocol.Completed, true
}

// attemptHandle is the attempt in flight of a simulated node's request, for the router to cancel.
type attemptHandle struct {
	mu            sync.Mutex // guards what follows
	number        int        // of the attempt in flight
	cancelled     chan struct{}
	lastCancelled int // attempt, which may not have begun yet
}

func newAttemptHandle() *attemptHandle { return &attemptHandle{number: -1, lastCancelled: -1} }

// Cancel ends an attempt, or keeps it from beginning.
func (h *attemptHandle) Cancel(attempt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCancelled = attempt
	if attempt == h.number && h.cancelled != nil {
		close(h.cancelled)
		h.cancelled = nil
	}
}

// begin gives the channel that Cancel closes, or false where the attempt is cancelled already.
func (h *attemptHandle) begin(attempt int) (cancelled <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastCancelled == attempt {
		return nil, false
	}
	h.number, h.cancelled = attempt, make(chan struct{})
	return h.cancelled, true
}
