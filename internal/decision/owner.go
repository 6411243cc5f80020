package decision

import (
	"slices"
)

// admitByOwner asks the home of a customer, a node of its set, for each of its tickets; the home keeps the one
// bucket, what is out for the customer and half of its ceiling, so that the part of the demand that passes
// here is the design's, ticket by ticket. While the bucket is well filled the home lets tickets pass freely
// and is told afterwards; where far more is asked than fits, a node asks for a part of the tickets only. It
// guards against a quota granted by each of many nodes that see too little of a customer for buckets of their
// own. It could harm while a home is down or stands still: a ticket waits for it, then passes by the even
// slice, over what this node was asked before.
func (n *Engine) admitByOwner(c *customer, t *request) bool {
	home := n.ownerOf(c)
	if home == n.self {
		if n.grantAsOwner(c, customerReport{demand: t.units, use: t.units, request: t.id, class: t.class}, n.self) {
			t.verdict = verdictGranted
		}
		return t.verdict == verdictGranted
	}
	if c.freePass && t.askedOwnerAt == 0 {
		return true
	}
	if t.askedOwnerAt == 0 {
		if c.unreportedDemand += t.units; n.random.unit() >= max(c.admitPart, float64(n.now-c.admitPartAt)/float64(peerSilence)) {
			return false
		}
		t.askedOwnerAt = n.now
		if t.deadline-n.now < 2*(n.ownerTimeout+n.answerMargin()) {
			t.askedOwnerAt -= n.ownerTimeout
		}
		n.outbox = append(n.outbox, peerMessage{home, appendReport([]byte{kindAsk}, customerReport{
			key: c.key, use: t.units,
			demand: c.unreportedDemand, plan: c.plan, spread: c.spread, firstNode: c.firstNode, request: t.id, class: t.class,
		})})
		c.unreportedDemand = 0
	}
	if t.verdict != verdictPending || n.waitsForOwner(t) {
		return t.verdict == verdictGranted
	}
	p := &n.plans[c.plan]
	slice := p.rate / float64(c.spread) / max(1e-9, c.demand.perSecond(n.now, demandMemory)-t.units/seconds(demandMemory))
	return (p.maxInFlight == 0 || c.inFlight == 0) && (p.rate <= 0 || n.random.unit() < slice)
}

// grantAsOwner lets a ticket pass at its customer's home, and books it, if bucket, cap and ceiling have room.
func (n *Engine) grantAsOwner(c *customer, a customerReport, from int) bool {
	p, units := &n.plans[c.plan], a.use
	c.peerDemand.add(a.demand, n.now, demandMemory)
	c.meanUnits += featureDecay * (units - c.meanUnits)
	rate, depth := n.refill(c)
	c.reservations = slices.DeleteFunc(c.reservations, func(h reservation) bool { return h.until <= n.now })
	ceiling := p.ceilingRate > 0 || p.ceilingBurst > 0
	c.ownerCeiling = min(c.ownerCeiling+ownerCeilingPart*p.ceilingRate*seconds(n.now-c.ownerCeilingAt), ownerCeilingPart*p.ceilingBurst)
	c.ownerCeilingAt = n.now
	ok := (rate <= 0 || c.level >= min(units, depth)) && (p.maxInFlight == 0 || len(c.reservations) < p.maxInFlight) &&
		(!ceiling || c.ownerCeiling >= units)
	if ok {
		c.level -= units
		c.ownerCeiling -= units
		if p.maxInFlight > 0 {
			b := &n.classes[min(a.class, len(n.classes)-1)]
			c.reservations = append(c.reservations, reservation{from, a.request, n.now + Time(reservationLatencies*n.usualLatency(b))})
		}
	}
	n.updateGrant(c)
	return ok
}

// updateGrant settles at a customer's home whether its tickets pass freely, and else the part to ask for. What
// ends it is told to the whole set at once.
func (n *Engine) updateGrant(c *customer) {
	p := &n.plans[c.plan]
	rate, depth := n.refill(c)
	c.admitPart = 1
	if want := c.peerDemand.perSecond(n.now, demandMemory); want > 0 {
		take := n.settings.Number("peers.take")
		others := n.peerMessages.perSecond(n.now, demandMemory) - c.peerDemand.count/seconds(demandMemory)
		c.admitPart = min(1, max(minAskShare*take, maxAskShare*take-others)*c.meanUnits/want)
		if rate > 0 {
			c.admitPart = min(c.admitPart, askOverRoom*(rate+max(0, c.level)/seconds(interval))/want)
		}
		c.admitPart = max(minAdmitPart, c.admitPart)
	}
	least := freePassReserve
	if !c.freePass {
		least = (1 + freePassReserve) / 2
	}
	was := c.freePass
	c.freePass = p.maxInFlight == 0 && p.ceilingRate <= 0 && p.ceilingBurst <= 0 && (rate <= 0 || c.level >= least*depth) &&
		c.peerDemand.perSecond(n.now, demandMemory) > freePassMinRate*float64(c.spread)
	for k := range c.spread {
		if peer := (c.firstNode + k) % n.nodes; was && !c.freePass && peer != n.self {
			n.sendGrant(c, peer, 0, verdictPending)
		}
	}
}

// reportToPeers writes the letters to peers: what was asked here, of customers with a rate past half their even
// slice, to all; or, where not all nodes can hear all, what passed and ended here, to each customer's home.
func (n *Engine) reportToPeers() {
	if !n.ownersEnabled { // goes out even when empty, so that silence means something
		n.outbox = append(n.outbox, peerMessage{AllPeers, []byte{kindUse}})
	}
	keep := n.pendingReports[:0]
	most := len(n.outbox) + int(reportShare*n.settings.Number("peers.take")*seconds(reportEvery)/float64(n.nodes-1))
	for k, i := range n.pendingReports {
		if !n.ownersEnabled && len(n.outbox) > most { // the rest waits: peers take in no more
			keep = append(keep, n.pendingReports[k:]...)
			break
		}
		c := &n.customers[i]
		c.reportPending = false
		to := AllPeers
		if n.ownersEnabled {
			if to = n.ownerOf(c); to == n.self { // its set has changed
				continue
			}
		} else if c.demand.perSecond(n.now, demandMemory) <= n.plans[c.plan].rate/float64(2*c.spread) {
			c.reportDemand = 0
			continue
		}
		if n.ownersEnabled || len(n.outbox[len(n.outbox)-1].payload)+maxEntry > maxMessage {
			n.outbox = append(n.outbox, peerMessage{to, []byte{kindUse}})
		}
		m := &n.outbox[len(n.outbox)-1]
		m.payload = appendReport(m.payload, customerReport{
			key: c.key, demand: c.reportDemand, use: c.reportUse, plan: c.plan,
			spread: c.spread, firstNode: c.firstNode,
		})
		c.reportDemand, c.reportUse = 0, 0
	}
	n.pendingReports = keep
}
