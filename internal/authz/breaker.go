package authz

import (
	"math"
	"time"
)

// Tuned values of the circuit breaker.
const (
	maxFailures  = 5   // in a row, until the authorizer is left alone
	openWaits    = 2.0 // times the wait for an answer, that it is left alone first; doubled each time a trial fails
	maxDoublings = 10  // of that
	maxOpen      = 5 * time.Second
)

// breaker leaves the authorizer alone after failures in a row, then tries it with one check at a time. The zero value lets
// all pass.
type breaker struct {
	consecutiveFailures int
	openUntil           time.Duration // the authorizer is left alone until then
	trialInFlight       bool          // one check is in flight after that
}

// broken reports whether the authorizer has failed so often that it gets trials at most.
func (b *breaker) broken() bool { return b.consecutiveFailures >= maxFailures }

// allows reports whether a check may begin.
func (b *breaker) allows(now time.Duration) bool {
	return !b.broken() || now >= b.openUntil && !b.trialInFlight
}

// begin notes that a check begins, which allows has let pass.
func (b *breaker) begin() { b.trialInFlight = b.broken() }

// ended notes that a check ended, however.
func (b *breaker) ended() { b.trialInFlight = false }

// succeeded notes an answer.
func (b *breaker) succeeded() { b.consecutiveFailures = 0 }

// failed notes that a check of a class came to nothing, and reports whether the authorizer is left alone from now on. Checks
// that were in flight together when it failed count as one failure more, not as many.
func (b *breaker) failed(now, latencyObjective time.Duration) (opened bool) {
	b.consecutiveFailures++
	if b.broken() && now >= b.openUntil {
		doublings := min(b.consecutiveFailures-maxFailures, maxDoublings)
		open := openWaits * waitShare * float64(latencyObjective) * math.Exp2(float64(doublings))
		b.openUntil = now + min(time.Duration(open), maxOpen)
		return true
	}
	if b.consecutiveFailures > maxFailures {
		b.consecutiveFailures--
	}
	return false
}
