package decision

import "math"

// tenantQuota keeps a customer to its plan at this node: a token bucket in the whole customer's terms, which
// refills at the whole quota, while a request here stands for 1/part requests at all nodes; that is a refill
// of quota times part, this node's part of the customer's demand. It keeps a limit on what is in flight by
// the same part, and a hard ceiling by an even part. It guards the quota against many nodes that each grant
// it whole. It could harm for a few seconds where a customer's requests move from some nodes to others,
// faster than peers' reports tell.
type tenantQuota struct {
	config      *config
	peerHeardAt Time // last message of any peer
}

// admit tells whether a customer's bucket and its limit on what is in flight have room for a request, and if
// not, when they may have.
func (q *tenantQuota) admit(c *customer, r *request, usualLatency float64, now Time) (ok bool, after Time) {
	p := &q.config.plans[c.plan]
	r.bucketPart = q.demandPart(c, now)
	if p.maxInFlight > 0 && c.inFlight >= max(1, int(math.Round(r.bucketPart*float64(p.maxInFlight)))) {
		return false, Time(usualLatency)
	}
	if c.leased { // its bucket is this node's own already
		r.bucketPart = 1
	}
	c.refill(p, now)
	if p.rate <= 0 {
		return true, 0
	}
	if short := min(r.units, p.burst) - c.bucket.level; short > 0 {
		return false, Time(short / p.rate * float64(Second))
	}
	return true, 0
}

// charge takes an admitted request off the bucket, by the part of the demand that it was admitted by.
func (c *customer) charge(units, part float64) {
	c.bucket.level = max(c.bucket.level, 0) - units/part
}

// demandPart is this node's part of a customer's recent demand.
func (q *tenantQuota) demandPart(c *customer, now Time) float64 {
	if c.spread <= 1 {
		return 1
	}
	even := 1 / float64(c.spread)
	own := demandRate(&c.demand, now)
	if !q.config.peers || now-q.peerHeardAt > peerSilence || now-c.firstSeen < 2*reportEvery {
		return even
	}
	all := own + demandRate(&c.peerDemand, now)
	if c.peerDemand.count < minReports { // nobody reports the customer
		return 1
	}
	// Peers report late: some belief in the even part.
	belief := evenPartBelief * q.config.plans[c.plan].rate
	if all+belief <= 0 {
		return even
	}
	return min(1, (own+belief*even)/(all+belief))
}

// farFrom tells whether a customer's rate here is under half of its even part, so that peers need not know of
// it.
func (q *tenantQuota) farFrom(c *customer, now Time) bool {
	return demandRate(&c.demand, now) <= q.config.plans[c.plan].rate/float64(2*c.spread)
}

// ceilingAllows keeps a plan's hard ceiling alone: 1/spread of it, or of what an owner does not keep, as a
// customer comes in through no other nodes than its set. It starts empty, since a node can't tell a restart
// from a first start; so does an owner's part.
func (q *tenantQuota) ceilingAllows(c *customer, units float64, owned bool, now Time) bool {
	p := &q.config.plans[c.plan]
	if p.noCeiling() {
		return true
	}
	part := 1 / float64(c.spread)
	if owned {
		part *= 1 - ownerCeilingPart
	}
	c.ceiling.refill(now, p.ceilingRate*part, p.ceilingBurst*part)
	return c.ceiling.level >= units
}
