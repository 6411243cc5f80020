package decision

import "slices"

// customerSlot is where a customer is kept.
type customerSlot int32

// customer lives until it has been idle for long.
type customer struct {
	id          CustomerID
	live        bool // the slot is in use
	plan        PlanID
	spread      int    // nodes that take in its requests,
	firstNode   NodeID // in a row from this one
	firstSeen   Time
	lastRequest Time
	bucket      tokenBucket  // in the whole customer's terms, see tenantQuota
	demand      decayingMean // units asked for here
	peerDemand  decayingMean // units asked for at other nodes; at its owner, at all nodes
	inFlight    int
	leased      bool        // its bucket is what SetLease said, less what passed since
	ceiling     tokenBucket // this node's part of the plan's hard ceiling

	// Where customers have quota owners.
	admitPart        float64       // the part of its requests that are asked for, as its owner said, or at its owner
	admitPartAt      Time          // when the owner said so
	unreportedDemand float64       // elsewhere: units asked for that its owner has not answered
	freePass         bool          // its requests pass and are reported afterwards, as its owner said, or at its owner
	meanUnits        float64       // at its owner: units of its requests of late
	reservations     []reservation // at its owner: what it granted
	ownerCeiling     tokenBucket   // at its owner: the part of the ceiling kept there

	reportPending bool // waits for the next report to peers, of
	reportDemand  float64
	reportUse     float64
}

// refill brings the bucket up to date; one that is leased is filled by SetLease alone.
func (c *customer) refill(p *quotaPlan, now Time) {
	if !c.leased {
		c.bucket.refill(now, p.rate, p.burst)
	}
}

// report is the customer as messages to peers name it.
func (c *customer) report() customerReport {
	return customerReport{customer: c.id, plan: c.plan, spread: c.spread, firstNode: c.firstNode}
}

// release drops the reservation of a node's request.
func (c *customer) release(node NodeID, id RequestID) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool { return r.node == node && r.request == id })
}

// demandRate is a decaying sum of demand, a second.
func demandRate(demand *decayingMean, now Time) float64 {
	demand.decayTo(now, demandMemory)
	return demand.sum / seconds(demandMemory)
}

// reservation is a request that a customer's owner granted, and when it counts as ended in any case.
type reservation struct {
	node    NodeID
	request RequestID
	until   Time
}

// customerTable keeps the customers.
type customerTable struct {
	all    []customer
	slots  slotIndex[CustomerID, customerSlot]
	scanAt customerSlot // that was last looked at for being idle
}

// slot is where a customer is kept; a new one starts with a full bucket and an empty ceiling. A set of nodes that can't
// be is taken for what it can mean.
func (t *customerTable) slot(cfg *config, now Time, id CustomerID, plan PlanID, spread int, first NodeID) customerSlot {
	i := t.slots.find(id)
	if i < 0 {
		i = t.slots.add(id)
		if int(i) == len(t.all) {
			t.all = append(t.all, customer{})
		}
		p := &cfg.plans[plan]
		empty := tokenBucket{at: now}
		t.all[i] = customer{
			id: id, live: true, plan: plan, firstSeen: now, meanUnits: 1, admitPart: 1,
			bucket: tokenBucket{max(p.burst, float64(p.maxInFlight)), now}, ceiling: empty, ownerCeiling: empty,
		}
	}
	c := &t.all[i]
	c.spread, c.firstNode = min(max(spread, 1), cfg.nodes), max(first, 0)%NodeID(cfg.nodes)
	return i
}

// forgetIdle forgets customers that have long been idle, once their buckets are surely full. It looks at some at a
// time: of tens of thousands, all at once would hold up the requests that come meanwhile.
func (t *customerTable) forgetIdle(cfg *config, now Time) {
	for range min(idleScanCount, len(t.all)) {
		t.scanAt = (t.scanAt + 1) % customerSlot(len(t.all))
		c := &t.all[t.scanAt]
		if !c.live || c.reportPending || c.inFlight > 0 || now-c.lastRequest < customerIdleAfter {
			continue
		}
		p := &cfg.plans[c.plan]
		if p.rate <= 0 || c.bucket.level+p.rate*seconds(now-c.bucket.at) >= p.burst {
			c.live = false
			t.slots.drop(c.id)
		}
	}
}

// inSet tells whether a node is one of so many in a row from the first.
func (c *config) inSet(node, first NodeID, spread int) bool {
	return (int(node-first)+c.nodes)%c.nodes < spread
}
