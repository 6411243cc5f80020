package authz

import (
	"math"
	"time"

	"cherrygap/internal/numeric"
)

// Circuit breaker.
//
//   - Inputs: the results of the checks, and the time.
//   - State: the number of consecutive failures, the end of the open time, and whether a trial check is pending.
//   - Rule: after maxFailures consecutive failures the breaker opens, and no check begins. After the open time the breaker
//     is half open: one trial check at a time may begin. A failed trial opens the breaker again, for twice the time. An
//     answer closes it.

const (
	// maxFailures is the number of consecutive failures at which the breaker opens.
	maxFailures = 5
	// firstOpenTimeouts is the first open time, as a multiple of the check timeout of the class whose check failed.
	firstOpenTimeouts = 2.0
	// maxOpenDoublings is the maximum number of times that the open time is doubled.
	maxOpenDoublings = 10
	// maxOpenTime is the longest open time.
	maxOpenTime = 5 * time.Second
)

// breaker is the circuit breaker of the authorizer. The zero value is closed.
type breaker struct {
	consecutiveFailures int           // number of failures since the last answer, except for those while the breaker was open
	openUntil           time.Duration // end of the open time; the breaker is half open from then on
	trialInFlight       bool          // whether a trial check has begun and no check has ended since
}

// tripped reports whether the breaker is open or half open.
func (b *breaker) tripped() bool { return b.consecutiveFailures >= maxFailures }

// allows reports whether a check may begin.
func (b *breaker) allows(now time.Duration) bool {
	return !b.tripped() || now >= b.openUntil && !b.trialInFlight
}

// begin records that a check begins. The caller calls begin only after allows has returned true.
func (b *breaker) begin() { b.trialInFlight = b.tripped() }

// ended records that a check ended with any outcome.
func (b *breaker) ended() { b.trialInFlight = false }

// succeeded records an answer of the authorizer.
func (b *breaker) succeeded() { b.consecutiveFailures = 0 }

// failed records a failed check of a class with the given latency objective, and reports whether the breaker opens. While
// the breaker is open, failures of checks that began earlier do not count.
func (b *breaker) failed(now, latencyObjective time.Duration) (opened bool) {
	if b.tripped() && now < b.openUntil {
		return false
	}
	b.consecutiveFailures++
	if !b.tripped() || now < b.openUntil {
		return false
	}
	doublings := min(b.consecutiveFailures-maxFailures, maxOpenDoublings)
	openTime := firstOpenTimeouts * timeoutObjectives * float64(latencyObjective) * math.Exp2(float64(doublings))
	b.openUntil = now + min(numeric.Truncate[time.Duration](openTime), maxOpenTime)
	return true
}
