package quota

// Pacing of the exchanges.
//
// Inputs: the results of the exchanges, and the time. State: consecutive failures, and a token bucket. Rule: from
// failuresBeforeBackoff consecutive failures on, exchanges pause with exponential backoff and jitter, and run one at a time.
// Independently the token bucket limits the exchanges per second. Protects a store that fails or is slow from further load.

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// failuresBeforeBackoff is the number of consecutive failures at which the backoff begins.
	failuresBeforeBackoff = 3
	// maxBackoffDoublings bounds the doublings of the pause.
	maxBackoffDoublings = 10
	// maxBackoffPause is the longest pause.
	maxBackoffPause = 16 * minWindow
	// burstDivisor is the divisor of the rate that gives the capacity of the token bucket.
	burstDivisor = 10
)

// backoff pauses the exchanges with a store that fails. The zero value does not pause.
type backoff struct {
	failures int           // consecutive
	until    time.Duration // end of the pause
}

// allows reports whether an exchange may begin. pending is the number of pending exchanges.
func (b *backoff) allows(now time.Duration, pending int) bool {
	return now >= b.until && (b.failures < failuresBeforeBackoff || pending == 0)
}

// succeeded records the success of an exchange.
func (b *backoff) succeeded() { b.failures = 0 }

// failed records the failure of an exchange. The first pause is timeout long, with a jitter of 50%.
func (b *backoff) failed(now, timeout time.Duration, random *rand.Rand) {
	b.failures++
	if b.failures < failuresBeforeBackoff {
		return
	}
	doublings := min(b.failures-failuresBeforeBackoff, maxBackoffDoublings)
	pause := float64(timeout) * math.Exp2(float64(doublings))
	b.until = now + min(time.Duration(pause*(0.5+random.Float64())), maxBackoffPause)
}

// rateLimiter limits the exchanges per second with a token bucket. The bucket holds one token at least.
type rateLimiter struct {
	rate       float64 // exchanges per second; 0 for no limit
	tokens     float64 // exchanges that may begin now
	refilledAt time.Duration
}

// allows refills the bucket and reports whether an exchange may begin.
func (r *rateLimiter) allows(now time.Duration) bool {
	if r.rate <= 0 {
		return true
	}
	capacity := max(1, r.rate/burstDivisor)
	r.tokens = min(r.tokens+r.rate*(now-r.refilledAt).Seconds(), capacity)
	r.refilledAt = now
	return r.tokens >= 1
}

// take uses the token of an exchange.
func (r *rateLimiter) take() { r.tokens-- }
