// Package routing is the facade of the decision engine for network code. A Router drives one decision.Engine under one
// lock: it translates names, addresses and durations into the engine's numbers and units, hands it each event (a new
// request, the result of an attempt, an endpoint list, a peer's message, the timer), and carries each of its decisions to
// whoever waits for it. Requests are served in blocking style: Request.Start, then Request.Next and Request.Report in
// turn until the request has its final answer.
//
// The package does no I/O and starts no goroutine. What the engine wants done is passed to the functions in Config.
package routing

import (
	"sync"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
)

// tick is the decision engine's unit of time.
const tick = 100 * time.Microsecond

// ticks cuts a duration to whole ticks.
func ticks(d time.Duration) decision.Time { return decision.Time(d / tick) }

// unixTicks is a wall clock's time in ticks since 1970.
func unixTicks(at time.Time) decision.Time { return decision.Time(at.UnixNano() / int64(tick)) }

// duration is a span of the decision engine's time.
func duration(t decision.Time) time.Duration { return time.Duration(t) * tick }

// Router drives one decision engine. Its methods may be called from any goroutine; New makes one.
type Router struct {
	cfg      Config          // read only
	settings requestSettings // read only

	startTime  time.Time     // Config.Clock's reading in New
	startTicks decision.Time // the same in ticks since 1970

	// mu guards all that follows, and of each Request the fields that say so. Whoever holds it must not block: every
	// request of the node waits for it.
	mu        sync.Mutex
	engine    *decision.Engine
	requests  requestTable
	endpoints endpointTable
	outbox    outbox
}

// New makes a Router over a fresh engine. Settings are not checked here: a number that is missing or that can't be read
// is 0.
func New(cfg Config) *Router {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Settings == nil {
		cfg.Settings = &settings.Settings{}
	}
	now := cfg.Clock()
	r := &Router{
		cfg:        cfg,
		settings:   newRequestSettings(cfg.Settings),
		startTime:  now,
		startTicks: unixTicks(now),
		endpoints:  newEndpointTable(),
	}
	r.engine = decision.New(cfg.Seed, cfg.Settings, r.startTicks)
	if cfg.Shadow != nil {
		r.engine.StartShadow(cfg.Shadow)
	}
	return r
}

// now is the engine's time: the system's at the start, steady from then on.
func (r *Router) now() decision.Time {
	return r.startTicks + ticks(r.cfg.Clock().Sub(r.startTime))
}

// enter takes the lock and sets the engine's time. Each call of it is followed by one of leave.
func (r *Router) enter() {
	r.mu.Lock()
	r.engine.SetTime(r.now())
}

// leave carries out what the engine has decided, frees the lock, and delivers what may only be delivered without it.
func (r *Router) leave() {
	for d, ok := r.engine.Next(); ok; d, ok = r.engine.Next() {
		r.carryOut(d)
	}
	r.deliver()
}

// Tick lets the engine look at the time. The timer of Config.SetTimer is to call it.
func (r *Router) Tick() {
	r.enter()
	r.engine.TimerFired()
	r.leave()
}

// ReceivePeerMessage takes in a message of the node with the number from, and returns whether it could be read.
func (r *Router) ReceivePeerMessage(from int, payload []byte) bool {
	r.enter()
	defer r.leave()
	return r.engine.ReceivePeerMessage(decision.NodeID(from), payload)
}

// ShadowCounts returns how many decisions on requests were compared with those of Config.Shadow, and in how many the
// shadow's settings would have decided otherwise, by kind. Without a shadow it returns 0 and nil.
func (r *Router) ShadowCounts() (compared int64, differing map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engine.ShadowCounts()
}
