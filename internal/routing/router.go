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

// engineTime converts a duration to the engine's unit, rounded towards 0.
func engineTime(d time.Duration) decision.Time { return decision.Time(d / timeUnit) }

// engineUnixTime converts a wall-clock time to the time since 1970 (UTC) in the engine's unit.
func engineUnixTime(at time.Time) decision.Time {
	return decision.Time(at.UnixNano() / int64(timeUnit))
}

// duration converts a time in the engine's unit to a time.Duration.
func duration(t decision.Time) time.Duration { return time.Duration(t) * timeUnit }

// Router drives one decision engine. New returns a Router. All methods are safe for concurrent use.
type Router struct {
	// Immutable.
	cfg             Config
	settings        requestSettings
	startTime       time.Time     // time of Config.Clock in New
	startEngineTime decision.Time // startTime in the engine's unit, since 1970 (UTC)

	// mu guards the fields below, and those fields of Request and Server that are marked as guarded. Its holder must not
	// block, because each request of the node needs the lock.
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
	r.engine.LimitCustomers(cfg.MaxCustomers)
	if cfg.Shadow != nil {
		r.engine.StartShadow(cfg.Shadow)
	}
	return r
}

// now returns the engine's time: the wall-clock time of New, plus the monotonic time since then.
func (r *Router) now() decision.Time {
	return r.startEngineTime + engineTime(r.cfg.Clock().Sub(r.startTime))
}

// enter takes the lock and sets the engine's time. Each call must be followed by a call of leave.
func (r *Router) enter() {
	r.mu.Lock()
	r.engine.SetTime(r.now())
}

// leave carries out the engine's decisions, delivers the outbox and releases the lock.
func (r *Router) leave() {
	for d, ok := r.engine.Next(); ok; d, ok = r.engine.Next() {
		r.carryOut(d)
	}
	r.deliver()
}

// TimerFired runs the engine's tasks that are due. The timer of Config.SetTimer must call it.
func (r *Router) TimerFired() {
	r.enter()
	r.engine.TimerFired()
	r.leave()
}

// ReceivePeerMessage passes a message from the peer with the node number from to the engine. It reports whether the message
// was well formed.
func (r *Router) ReceivePeerMessage(from int, payload []byte) bool {
	r.enter()
	defer r.leave()
	return r.engine.ReceivePeerMessage(decision.NodeID(from), payload)
}

// ShadowCounts returns how many decisions were compared with those under Config.Shadow, and how many of them differ, by kind
// of difference. Without a shadow evaluation it returns 0 and nil.
func (r *Router) ShadowCounts() (compared int64, differing map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engine.ShadowCounts()
}
