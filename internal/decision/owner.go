package decision

import "slices"

// quotaOwner gives each customer one node of its set, the owner, that keeps its bucket, what is in flight for
// it and half of its ceiling, where nodes are too many for each to hear all others. Each request is asked for
// there, so that the part of the demand that passes here is right request by request. While the bucket is
// well filled the owner lets requests pass freely and is notified afterwards; where far more is asked than
// fits, a node asks for a part of the requests only. It guards against a quota granted by each of many nodes
// that see too little of a customer for buckets of their own. It could harm while an owner is down or stands
// still: a request waits for it, then passes by the even part, over what this node was asked before.
type quotaOwner struct {
	config       *config
	peerMessages decayingMean // received here
}

// ownersNeeded tells whether so many nodes can't all hear each other, each taking in so many messages a
// second.
func ownersNeeded(nodes int, peerRate float64) bool {
	return float64(nodes-1) > ownersAtShare*peerRate*seconds(reportEvery)
}

// ownerTimeout is how long a request waits for its owner.
func ownerTimeout(objective Time) Time { return Time(ownerWaitShare * float64(objective)) }

// grant lets a request pass at its customer's owner, and books it, if bucket, in-flight limit and ceiling
// have room.
func (o *quotaOwner) grant(c *customer, ask customerReport, from NodeID, usual float64, now Time) bool {
	p, units := &o.config.plans[c.plan], ask.use
	c.peerDemand.add(ask.demand, now, demandMemory)
	c.meanUnits += unitsDecay * (units - c.meanUnits)
	c.refill(p, now)
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool { return r.until <= now })
	c.ownerCeiling.refill(now, ownerCeilingPart*p.ceilingRate, ownerCeilingPart*p.ceilingBurst)
	hasCeiling := p.ceilingRate > 0 || p.ceilingBurst > 0
	ok := (p.rate <= 0 || c.bucket.level >= min(units, p.burst)) &&
		(p.maxInFlight == 0 || len(c.reservations) < p.maxInFlight) &&
		(!hasCeiling || c.ownerCeiling.level >= units)
	if !ok {
		return false
	}
	c.bucket.level -= units
	c.ownerCeiling.level -= units
	if p.maxInFlight > 0 {
		until := now + Time(reservationLatencies*usual)
		c.reservations = append(c.reservations, reservation{from, ask.request, until})
	}
	return true
}

// update settles at a customer's owner whether its requests pass freely, and else the part to ask for. It
// tells whether a free pass ended, of which the whole set is notified at once.
func (o *quotaOwner) update(c *customer, now Time) (revoked bool) {
	p := &o.config.plans[c.plan]
	c.refill(p, now)
	demand := demandRate(&c.peerDemand, now)
	c.admitPart = 1
	if demand > 0 {
		others := demandRate(&o.peerMessages, now) - c.peerDemand.count/seconds(demandMemory)
		asks := max(minAskShare*o.config.peerRate, maxAskShare*o.config.peerRate-others)
		c.admitPart = min(1, asks*c.meanUnits/demand)
		if p.rate > 0 {
			c.admitPart = min(c.admitPart, askOverRoom*(p.rate+max(0, c.bucket.level)/seconds(interval))/demand)
		}
		c.admitPart = max(minAdmitPart, c.admitPart)
	}
	least := freePassReserve
	if !c.freePass {
		least = (1 + freePassReserve) / 2
	}
	was := c.freePass
	c.freePass = p.maxInFlight == 0 && p.noCeiling() && (p.rate <= 0 || c.bucket.level >= least*p.burst) &&
		demand > freePassMinRate*float64(c.spread)
	return was && !c.freePass
}

// drawAsk draws whether a request is asked for: always unless the owner named a part, less so the older that
// is.
func (o *quotaOwner) drawAsk(c *customer, now Time, rng *random) bool {
	skipped := rng.unit() >= max(c.admitPart, float64(now-c.admitPartAt)/float64(peerSilence))
	return !skipped
}

// drawAlone draws whether a request passes though the owner has not answered: by the even part of the rate,
// over what was asked for here before.
func (o *quotaOwner) drawAlone(c *customer, units float64, now Time, rng *random) bool {
	p := &o.config.plans[c.plan]
	before := demandRate(&c.demand, now) - units/seconds(demandMemory)
	part := p.rate / float64(c.spread) / max(1e-9, before)
	return (p.maxInFlight == 0 || c.inFlight == 0) && (p.rate <= 0 || rng.unit() < part)
}

// admitByOwner tells whether a request passes by its customer's owner. It may have to wait for the answer.
func (e *Engine) admitByOwner(c *customer, r *request) bool {
	if e.owner.isOwner(c) {
		ask := customerReport{demand: r.units, use: r.units, request: r.id, class: r.class}
		if e.grantAsOwner(c, ask, e.config.self) {
			r.verdict = verdictGranted
		}
		return r.verdict == verdictGranted
	}
	if r.askedOwnerAt == 0 {
		if c.freePass {
			return true
		}
		c.unreportedDemand += r.units
		if !e.owner.drawAsk(c, e.now, &e.random) {
			return false
		}
		r.askedOwnerAt = e.now
		if r.deadline-e.now < 2*(e.config.ownerTimeout+e.answerMargin()) { // too little time to wait
			r.askedOwnerAt -= e.config.ownerTimeout
		}
		e.askOwner(c, r)
	}
	if r.verdict != verdictPending || e.owner.waits(r, e.now) {
		return r.verdict == verdictGranted
	}
	return e.owner.drawAlone(c, r.units, e.now, &e.random)
}
