// Package routing connects network code to the decision engine. A Router drives one decision.Engine under one lock. It
// translates names, addresses and durations into the engine's numbers and units. It passes each event to the engine: a new
// request, the result of an attempt, an endpoint list, a peer message, the timer. It then carries out the engine's decisions.
//
// A connection handler calls Request.Start, then Request.Next and Request.Report in turn, until the request is closed.
//
// The package does no I/O and starts no goroutine. It calls the functions of Config for each effect of a decision. A second
// check of each attempt, repeatCheck, does not depend on the engine.
package routing

import (
	"sync"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
)

// timeUnit is the engine's unit of time.
const timeUnit = time.Second / time.Duration(decision.Second)

// engineTime returns a duration in the engine's unit, rounded towards 0.
func engineTime(d time.Duration) decision.Time { return decision.Time(d / timeUnit) }

// engineUnixTime returns a wall-clock time in the engine's unit, since 1970 (UTC).
func engineUnixTime(at time.Time) decision.Time {
	return decision.Time(at.UnixNano() / int64(timeUnit))
}

// duration returns a duration of the engine.
func duration(t decision.Time) time.Duration { return time.Duration(t) * timeUnit }

// Router drives one decision engine. New makes one. All methods are safe for concurrent use.
type Router struct {
	cfg      Config          // does not change
	settings requestSettings // does not change

	startTime       time.Time     // Config.Clock in New; does not change
	startEngineTime decision.Time // startTime by engineUnixTime; does not change

	// mu guards the fields below, and the fields of each Request and Server that say so. Its holder must not block: each
	// request of the node needs it.
	mu        sync.Mutex
	engine    *decision.Engine
	requests  requestTable
	endpoints endpointTable
	outbox    outbox
}

// New returns a Router over a new engine. It accepts all settings: a number that is missing or unreadable is 0.
func New(cfg Config) *Router {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Settings == nil {
		cfg.Settings = &settings.Settings{}
	}
	now := cfg.Clock()
	r := &Router{
		cfg:             cfg,
		settings:        newRequestSettings(cfg.Settings),
		startTime:       now,
		startEngineTime: engineUnixTime(now),
		endpoints:       newEndpointTable(),
	}
	r.engine = decision.New(cfg.Seed, cfg.Settings, r.startEngineTime)
	if cfg.Shadow != nil {
		r.engine.StartShadow(cfg.Shadow)
	}
	return r
}

// now returns the engine's time: the wall clock at the start, monotonic from then on.
func (r *Router) now() decision.Time {
	return r.startEngineTime + engineTime(r.cfg.Clock().Sub(r.startTime))
}

// enter takes the lock and sets the engine's time. Each call must be followed by one of leave.
func (r *Router) enter() {
	r.mu.Lock()
	r.engine.SetTime(r.now())
}

// leave carries out the engine's decisions, frees the lock and delivers the outbox.
func (r *Router) leave() {
	for d, ok := r.engine.Next(); ok; d, ok = r.engine.Next() {
		r.carryOut(d)
	}
	r.deliver()
}

// TimerFired lets the engine carry out its due tasks. The timer of Config.SetTimer must call it.
func (r *Router) TimerFired() {
	r.enter()
	r.engine.TimerFired()
	r.leave()
}

// ReceivePeerMessage passes the message of a peer to the engine, and reports whether it was well formed. Its parameter from
// is the peer's node number.
func (r *Router) ReceivePeerMessage(from int, payload []byte) bool {
	r.enter()
	defer r.leave()
	return r.engine.ReceivePeerMessage(decision.NodeID(from), payload)
}

// ShadowCounts returns the number of decisions that were compared with those under Config.Shadow. It also returns the number
// of those that differ, by kind of difference. Without a shadow it returns 0 and nil.
func (r *Router) ShadowCounts() (compared int64, differing map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engine.ShadowCounts()
}
