package soak

import "time"

// ceiling is one customer's store under a hard ceiling: it starts full, fills at a rate, and first attempts draw on it.
type ceiling struct {
	rate, depth float64
	level       float64
	at          time.Time
	worst       float64 // the lowest level
}

// newCeiling makes a full store for a fleet of so many nodes.
func newCeiling(nodes int, now time.Time) *ceiling {
	rate, depth := ceilingRate*float64(nodes), ceilingDepth*float64(nodes)
	return &ceiling{rate: rate, depth: depth, level: depth, at: now, worst: depth}
}

// draw takes a unit. Attempts may be noted a moment out of order.
func (c *ceiling) draw(now time.Time) {
	if now.After(c.at) {
		c.level = min(c.depth, c.level+c.rate*now.Sub(c.at).Seconds())
		c.at = now
	}
	c.level--
	c.worst = min(c.worst, c.level)
}
