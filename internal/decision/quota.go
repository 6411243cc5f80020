package decision

import (
	"math"
)

// charge books an admitted ticket.
func (n *Engine) charge(t *request) {
	c := &n.customers[t.customer]
	n.tokens--
	if !n.hasOwner(c) {
		c.level = max(c.level, 0) - t.units/t.bucketPart
	} else if t.askedOwnerAt == 0 {
		n.recordUse(true, t.customer, t.units, t.units)
	}
	if t.verdict != verdictGranted {
		c.ceiling -= t.units
	}
}

// inQuota is the customer's bucket, kept in the whole customer's terms: it refills at the whole quota
// and a ticket here stands for 1/part tickets at all nodes, which is a refill of quota times part.
func (n *Engine) inQuota(c *customer, t *request) (bool, Time) {
	advice := Time(n.usualLatency(&n.classes[t.class]))
	if n.hasOwner(c) {
		return n.admitByOwner(c, t), interval
	}
	p := n.plans[c.plan]
	t.bucketPart = n.demandPart(c)
	if p.maxInFlight > 0 && c.inFlight >= max(1, int(math.Round(t.bucketPart*float64(p.maxInFlight)))) {
		return false, advice
	}
	if c.leased { // its level is this node's own already
		t.bucketPart = 1
	}
	rate, depth := n.refill(c)
	if rate <= 0 {
		return true, 0
	}
	if short := min(t.units, depth) - c.level; short > 0 {
		return false, Time(short / rate * float64(Second))
	}
	return true, 0
}

// demandPart is this node's part of a customer's recent demand.
func (n *Engine) demandPart(c *customer) float64 {
	if c.spread <= 1 {
		return 1
	}
	slice := 1 / float64(c.spread)
	own := c.demand.perSecond(n.now, demandMemory)
	all := own
	if n.settings.Enabled("peers") {
		if n.now-n.peerHeardAt > peerSilence || n.now-c.firstSeen < 2*reportEvery {
			return slice
		}
		all += c.peerDemand.perSecond(n.now, demandMemory)
		if c.peerDemand.count < minReports { // nobody reports the customer
			return 1
		}
	} else {
		return slice
	}
	// Peers tell late: some belief in the slice.
	belief := evenSliceBelief * n.plans[c.plan].rate
	if all+belief <= 0 {
		return slice
	}
	return min(1, (own+belief*slice)/(all+belief))
}

// ceilingAllows keeps a plan's hard ceiling alone: 1/spread of it, or of what a home does not keep, as a
// customer comes in through no other nodes than its set. It starts empty, since a node can't tell a restart
// from a first start; so does a home's part.
func (n *Engine) ceilingAllows(c *customer, t *request) bool {
	p := n.plans[c.plan]
	if p.ceilingRate <= 0 && p.ceilingBurst <= 0 {
		return true
	}
	share := 1 / float64(c.spread)
	if n.hasOwner(c) {
		share *= 1 - ownerCeilingPart
	}
	c.ceiling = min(c.ceiling+p.ceilingRate*share*seconds(n.now-c.ceilingAt), p.ceilingBurst*share)
	c.ceilingAt = n.now
	return c.ceiling >= t.units
}
