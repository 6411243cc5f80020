package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	failuresAllowed = 3  // in a row, until the store is left alone
	maxDoublings    = 10 // of the pause
	maxPauseWindows = 16 // of the shortest length: the longest pause
	burstsPerSecond = 10 // at the rate limit: a tenth of a second's worth may be begun at once
)

// backoff leaves a store alone that does not answer, each time for twice as long.
type backoff struct {
	failures int           // in a row
	until    time.Duration // no exchange before
}

// allows tells whether an exchange may begin. A store that has failed gets one at a time.
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

// rateLimiter bounds the exchanges a second: a token bucket.
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
