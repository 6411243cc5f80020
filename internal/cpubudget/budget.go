package cpubudget

import (
	"sync"
	"time"
)

// Kind is a kind of work.
type Kind int

// The kinds of work. Accepting has a bucket of its own, because usual clients wait in the same queue as the others.
const (
	Accept  Kind = iota // accepting connections, and closing those that end or are evicted without a complete request
	Reject              // rejecting a request and closing its connection
	Discard             // reading input only to drop it; from the bucket of Reject

	kinds // number of kinds
)

// Shares of the processor that the work may use.
const (
	acceptShare     = 0.35 // share of accepting while goroutines wait for the processor, or connections for slots
	idleAcceptShare = 0.75 // share of accepting otherwise; more connections than are accepted fill the queue of the listener
	rejectShare     = 0.2
)

// contendedLag is the mean lag of wake-ups above which goroutines wait for the processor. Below it, the lag is the resolution of timers.
const contendedLag = 2 * time.Millisecond

// fullTime is the time for which all slots count as used up after a connection had to wait for one. Several slots become free at once.
const fullTime = 100 * time.Millisecond

// lagWeight is the weight of the latest lag in the mean.
const lagWeight = 0.1

// burst is the largest balance of a bucket: processor time that may be used at once after a quiet time.
const burst = 20 * time.Millisecond

// maxRecovery is the longest time until a bucket whose balance is below 0 reaches 0. It bounds the time for which all work waits for work
// that did not wait.
const maxRecovery = 500 * time.Millisecond

// discardFloor is the balance that discarding leaves to rejections.
const discardFloor = burst / 2

// maxCharge is the longest measured time that one piece of work is charged. The measured time of a piece is longer where the process did not run
// meanwhile.
const maxCharge = 10 * time.Millisecond

// Bounds of the scale, and the weight of the latest calibration in it.
const (
	minScale    = 1
	maxScale    = 8
	scaleWeight = 0.2
)

// Budget bounds the processor time of overhead. It is safe for concurrent use.
type Budget struct {
	processors float64

	mu        sync.Mutex // guards the fields below
	accepts   bucket
	rejects   bucket
	fullUntil time.Time     // end of the time for which slots count as used up; zero before the first
	lag       time.Duration // exponentially weighted mean of the lag of wake-ups
	scale     float64       // processor time per unit of time in system calls
	used      time.Duration // sum of all charges
	expected  [works]expectedCost
}

// New returns a full budget at a given time. processors is the number of processors that the process may use, above 0.
func New(processors float64, now time.Time) *Budget {
	return &Budget{
		processors: processors,
		accepts:    bucket{rate: idleAcceptShare * processors, balance: burst, updatedAt: now},
		rejects:    bucket{rate: rejectShare * processors, balance: burst, updatedAt: now},
		scale:      minScale,
		expected:   newExpectedCosts(),
	}
}

// ObserveLag takes the time by which a goroutine woke up later than it asked for.
func (b *Budget) ObserveLag(now time.Time, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lag += time.Duration(lagWeight * float64(min(lag, maxCharge)-b.lag))
	b.setAcceptRateLocked(now)
}

// ObserveSlots takes whether a new connection had to wait for the slot of another.
func (b *Budget) ObserveSlots(now time.Time, waited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if waited {
		b.fullUntil = now.Add(fullTime)
	}
	b.setAcceptRateLocked(now)
}

// setAcceptRateLocked sets the rate of accepting by what was observed last. The caller holds mu.
func (b *Budget) setAcceptRateLocked(now time.Time) {
	rate := idleAcceptShare
	if now.Before(b.fullUntil) || b.lag > contendedLag {
		rate = acceptShare
	}
	b.accepts.refill(now)
	b.accepts.rate = rate * b.processors
}

// Cost is the measured time of a piece of work.
type Cost struct {
	Whole       time.Duration // work that was measured from its begin to its end
	SystemCalls time.Duration // system calls of work that was not measured otherwise
}

// Sub returns the cost without a part of it.
func (c Cost) Sub(part Cost) Cost {
	return Cost{Whole: c.Whole - part.Whole, SystemCalls: c.SystemCalls - part.SystemCalls}
}

// Calibrate compares the processor time of the process with the cost that was measured, in the same span. The scheduler, the collector
// and the code between system calls take the rest, of which the system calls of each charge bear their proportion.
func (b *Budget) Calibrate(process time.Duration, measured Cost) {
	if measured.SystemCalls <= 0 {
		return
	}
	ratio := min(max(float64(process-measured.Whole)/float64(measured.SystemCalls), minScale), maxScale)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scale += scaleWeight * (ratio - b.scale)
}

// Charge takes the processor time of work that was done.
func (b *Budget) Charge(now time.Time, kind Kind, cost Cost) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chargeLocked(now, kind, b.scaledLocked(cost))
}

// Delay returns the time until work of a kind may begin if nothing is charged meanwhile. It is 0 if the work may begin now.
func (b *Budget) Delay(now time.Time, kind Kind) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucketOf(kind).delay(now, floorOf(kind))
}

// scaledLocked returns the processor time of measured work. The caller holds mu.
func (b *Budget) scaledLocked(cost Cost) time.Duration {
	scaled := time.Duration(b.scale * float64(min(cost.SystemCalls, maxCharge)))
	return min(cost.Whole, maxCharge) + scaled
}

// Used returns the processor time that was charged, in total.
func (b *Budget) Used() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// chargeLocked takes processor time, or gives it back if spent is negative. The caller holds mu.
func (b *Budget) chargeLocked(now time.Time, kind Kind, spent time.Duration) {
	b.bucketOf(kind).take(now, spent)
	b.used += spent
}

// bucketOf returns the bucket that work of a kind is charged to.
func (b *Budget) bucketOf(kind Kind) *bucket {
	if kind == Accept {
		return &b.accepts
	}
	return &b.rejects
}

// floorOf returns the balance at which work of a kind may begin.
func floorOf(kind Kind) time.Duration {
	if kind == Discard {
		return discardFloor
	}
	return 0
}
