package quota

// Pacing of the exchanges.
//
// Inputs: the results of the exchanges, and the time. State: consecutive failures, and a token bucket. Rule: from
// failuresBeforeBackoff consecutive failures on, exchanges pause with exponential backoff and jitter. They also run one at a
// time until a success. Independently, the token bucket limits the exchanges per second. Purpose: a store that fails or is
// slow gets little load.

import (
	"math"
	"math/rand/v2"
	"time"

	"cherrygap/internal/numeric"
)

const (
	// failuresBeforeBackoff is the number of consecutive failures at which the backoff begins.
	failuresBeforeBackoff = 3
	// maxBackoffDoublings is the largest number of doublings of the pause.
	maxBackoffDoublings = 10
	// maxBackoffPause is the longest pause between exchanges.
	maxBackoffPause = 16 * minWindow
	// rateCapacityDivisor divides the rate limit to give the capacity of the token bucket.
	rateCapacityDivisor = 10
)

// backoff pauses the exchanges with a failing store. The zero value does not pause.
type backoff struct {
	failures    int           // number of consecutive failures
	pausedUntil time.Duration // end of the current pause
}

// allows reports whether an exchange may begin. pending is the number of pending exchanges.
func (b *backoff) allows(now time.Duration, pending int) bool {
	return now >= b.pausedUntil && (b.failures < failuresBeforeBackoff || pending == 0)
}

// recordSuccess records the success of an exchange.
func (b *backoff) recordSuccess() { b.failures = 0 }

// recordFailure records the failure of an exchange. From failuresBeforeBackoff consecutive failures on, each failure begins a
// pause. The first pause has the length timeout, and each further one has twice the length of the one before, with a jitter
// of ±50%. No pause is longer than maxBackoffPause.
func (b *backoff) recordFailure(now, timeout time.Duration, random *rand.Rand) {
	b.failures++
	if b.failures < failuresBeforeBackoff {
		return
	}
	doublings := min(b.failures-failuresBeforeBackoff, maxBackoffDoublings)
	pause := float64(timeout) * math.Exp2(float64(doublings))
	b.pausedUntil = now + min(numeric.Truncate[time.Duration](pause*(0.5+random.Float64())), maxBackoffPause)
}

// rateLimiter limits the exchanges per second with a token bucket. The bucket's capacity is at least one token.
type rateLimiter struct {
	rate       float64       // exchanges per second; 0 or less for no limit
	tokens     float64       // number of exchanges that may begin now
	refilledAt time.Duration // time of the last refill
}

// allows refills the bucket and reports whether an exchange may begin.
func (r *rateLimiter) allows(now time.Duration) bool {
	if r.rate <= 0 {
		return true
	}
	capacity := max(1, r.rate/rateCapacityDivisor)
	r.tokens = min(r.tokens+r.rate*(now-r.refilledAt).Seconds(), capacity)
	r.refilledAt = now
	return r.tokens >= 1
}

// takeToken removes the token of one exchange from the bucket.
func (r *rateLimiter) takeToken() { r.tokens-- }
