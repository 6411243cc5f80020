package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	failuresAllowed = 3  // in a row, before the backoff
	maxDoublings    = 10 // of the pause
	maxPauseWindows = 16 // of minimum length: the longest pause
	burstsPerSecond = 10 // the rate limiter's burst is this part (1/n) of a second's exchanges
)

// backoff pauses the exchanges with a store that fails, twice as long each time.
type backoff struct {
	failures int           // in a row
	until    time.Duration // no exchange begins before
}

// allows reports whether an exchange may begin. After failures there is one at a time.
func (b *backoff) allows(now time.Duration, pending int) bool {
	return now >= b.until && (b.failures < failuresAllowed || pending == 0)
}

func (b *backoff) succeeded() { b.failures = 0 }

func (b *backoff) failed(now, timeout time.Duration, random *rand.Rand) {
	b.failures++
	if b.failures < failuresAllowed {
		return
	}
	pause := float64(timeout) * math.Exp2(float64(min(b.failures-failuresAllowed, maxDoublings)))
	b.until = now + min(time.Duration(pause*(0.5+random.Float64())), maxPauseWindows*minWindow)
}

// rateLimiter limits the exchanges a second: a token bucket.
type rateLimiter struct {
	rate       float64 // exchanges a second; 0 for no limit
	tokens     float64
	refilledAt time.Duration
}

func (r *rateLimiter) allows(now time.Duration) bool {
	if r.rate <= 0 {
		return true
	}
	r.tokens = min(r.tokens+r.rate*(now-r.refilledAt).Seconds(), max(1, r.rate/burstsPerSecond))
	r.refilledAt = now
	return r.tokens >= 1
}

func (r *rateLimiter) take() { r.tokens-- }
