package soak

import "time"

// hardCeiling is one customer's token bucket under a hard ceiling. It begins full, and each first attempt takes a token.
type hardCeiling struct {
	rate, depth float64 // tokens a second; tokens
	tokens      float64
	updatedAt   time.Time
	lowest      float64 // tokens at any time; below 0 the ceiling was exceeded
}

// newHardCeiling makes a full bucket for a fleet of a number of nodes.
func newHardCeiling(nodes int, now time.Time) *hardCeiling {
	rate, depth := ceilingRate*float64(nodes), ceilingDepth*float64(nodes)
	return &hardCeiling{rate: rate, depth: depth, tokens: depth, updatedAt: now, lowest: depth}
}

// draw takes a token at a moment, which may be a little before that of the last call.
func (h *hardCeiling) draw(at time.Time) {
	if at.After(h.updatedAt) {
		h.tokens = min(h.depth, h.tokens+h.rate*at.Sub(h.updatedAt).Seconds())
		h.updatedAt = at
	}
	h.tokens--
	h.lowest = min(h.lowest, h.tokens)
}
