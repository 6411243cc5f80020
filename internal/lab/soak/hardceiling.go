package soak

import "time"

// ceilingBucket is the token bucket of one customer under a hard ceiling. It starts full, and each first attempt takes a token.
type ceilingBucket struct {
	rate, burst float64 // refill rate in tokens a second, and capacity in tokens
	tokens      float64
	updatedAt   time.Time
	minTokens   float64 // smallest value of tokens so far; a negative value means that the ceiling was exceeded
}

// newCeilingBucket returns a full bucket whose rate and burst are those of a fleet with the given number of nodes.
func newCeilingBucket(nodes int, now time.Time) *ceilingBucket {
	rate, burst := ceilingRate*float64(nodes), ceilingBurst*float64(nodes)
	return &ceilingBucket{rate: rate, burst: burst, tokens: burst, updatedAt: now, minTokens: burst}
}

// take removes a token at a moment, which may be a little earlier than that of the previous call.
func (h *ceilingBucket) take(at time.Time) {
	if at.After(h.updatedAt) {
		h.tokens = min(h.burst, h.tokens+h.rate*at.Sub(h.updatedAt).Seconds())
		h.updatedAt = at
	}
	h.tokens--
	h.minTokens = min(h.minTokens, h.tokens)
}
