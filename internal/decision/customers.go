package decision

import (
	"math"
	"slices"
)

// customerSlot is an index into customerTable.all.
type customerSlot int32

// customer is the state of one customer. It is dropped once its bucket is full, and customerIdleTimeout has passed without
// a request or a message between the owner and its nodes. If the table has its largest size, a new customer replaces one.
type customer struct {
	id           CustomerID
	live         bool // the slot is in use
	plan         PlanID
	spread       int          // number of nodes in the customer's set, which receive its requests
	firstNode    NodeID       // first node of the set; the others follow it
	firstSeen    Time         // time at which this node added the customer
	lastActiveAt Time         // time of the last request, or of the last message between the owner and its nodes
	bucket       tokenBucket  // tokens of the whole quota, see tenantQuota
	demand       decayingMean // units requested at this node
	peerDemand   decayingMean // units requested at other nodes, or at all nodes if this node is the owner
	inFlight     int          // attempts in flight at this node
	openRequests int          // requests that the engine has not released
	leased       bool         // SetLease has set the bucket's level; the bucket does not refill
	ceiling      tokenBucket  // this node's share of the plan's hard ceiling

	queryRatio       float64       // share of the requests for which the owner is queried
	queryRatioAt     Time          // time at which the owner set queryRatio
	optimistic       bool          // requests are admitted first and reported to the owner afterwards
	unreportedDemand float64       // units requested since the last query, if this node is not the owner
	meanUnits        float64       // moving average of the units of a request, if this node is the owner
	reservations     []reservation // granted requests in flight, if this node is the owner
	ownerCeiling     tokenBucket   // the owner's part of the hard ceiling, if this node is the owner

	reportPending bool    // the customer is in usageReports.pending
	reportDemand  float64 // units requested since the last report
	reportUse     float64 // units admitted or settled since the last report, possibly below 0
}

const (
	customerIdleTimeout = 60 * controlInterval // idle time after which a customer with a full bucket is dropped
	idleScanCustomers   = 1024                 // largest number of customers checked for idleness in an interval
	defaultMeanUnits    = 1                    // mean units of a request while no request is known
	defaultQueryRatio   = 1                    // query ratio before the owner sets one

	replacementCandidates = 32 // customers of which a new one replaces the one that loses least
)

// CustomerMemory is the approximate memory of one customer, in bytes.
const CustomerMemory = 448

// refill refills the bucket by the plan. It has no effect on a leased bucket.
func (c *customer) refill(plan *quotaPlan, now Time) {
	if !c.leased {
		c.bucket.refill(now, plan.rate, plan.burst)
	}
}

// report returns a report that identifies the customer, with the other fields unset.
func (c *customer) report() customerReport {
	return customerReport{customer: c.id, plan: c.plan, spread: c.spread, firstNode: c.firstNode}
}

// reservation is a request that a customer's owner granted.
type reservation struct {
	node    NodeID
	request RequestID
	until   Time // time of expiry, unless the end of the request is reported earlier
}

// release drops the reservation of a node's request, if there is one.
func (c *customer) release(node NodeID, id RequestID) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool {
		return r.node == node && r.request == id
	})
}

// expireReservations drops the reservations that have expired.
func (c *customer) expireReservations(now Time) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool { return r.until <= now })
}

// demandRate returns a decaying sum of demand as a rate, in units a second. The sum must decay with demandTimeConstant.
func demandRate(demand *decayingMean, now Time) float64 {
	demand.decayTo(now, demandTimeConstant)
	return demand.sum / seconds(demandTimeConstant)
}

// customerTable holds the customers by slot.
type customerTable struct {
	config      *config
	all         []customer
	slots       slotIndex[CustomerID, customerSlot]
	lastScanned customerSlot // last slot checked for idleness
	limit       int          // largest number of customers, unless all are in use; 0 for no limit
	lastOffered customerSlot // last slot that was a candidate for a replacement
}

// customerRef identifies a customer, with its plan and its set of nodes, as a request or a peer message names them. The
// settings must have the plan.
type customerRef struct {
	id        CustomerID
	plan      PlanID
	spread    int
	firstNode NodeID
}

// findOrAdd returns the slot of a customer. An unknown customer is added with a full bucket and an empty ceiling. A known
// customer keeps its plan and takes over the new set of nodes, clamped to the fleet.
func (t *customerTable) findOrAdd(ref customerRef, now Time) customerSlot {
	i := t.slots.find(ref.id)
	if i < 0 {
		if t.limit > 0 && len(t.slots.slots) >= t.limit {
			t.replaceOne(now)
		}
		i = t.slots.add(ref.id)
		if int(i) == len(t.all) {
			t.all = append(t.all, customer{})
		}
		t.all[i] = newCustomer(ref, &t.config.plans[ref.plan], now)
	}
	c := &t.all[i]
	c.spread = min(max(ref.spread, 1), t.config.nodes)
	c.firstNode = max(ref.firstNode, 0) % NodeID(t.config.nodes)
	return i
}

// newCustomer returns a customer without demand and without a set of nodes.
func newCustomer(ref customerRef, plan *quotaPlan, now Time) customer {
	empty := tokenBucket{at: now}
	full := tokenBucket{max(plan.burst, float64(plan.maxInFlight)), now}
	return customer{
		id: ref.id, live: true, plan: ref.plan, firstSeen: now, meanUnits: defaultMeanUnits, queryRatio: defaultQueryRatio,
		bucket: full, ceiling: empty, ownerCeiling: empty,
	}
}

// replaceOne drops one of the next replacementCandidates customers that nothing refers to: the one whose bucket is fullest, because it
// gains least from the full bucket that it would get next. It drops none if all are in use. A dropped customer's ceilings start
// empty, so that it gains nothing there.
func (t *customerTable) replaceOne(now Time) {
	var best *customer
	bestLevel := math.Inf(-1)
	for range min(replacementCandidates, len(t.all)) {
		t.lastOffered = (t.lastOffered + 1) % customerSlot(len(t.all))
		c := &t.all[t.lastOffered]
		if !c.live || c.inUse() {
			continue
		}
		if level := t.level(c, now); best == nil || level > bestLevel {
			best, bestLevel = c, level
		}
	}
	if best != nil {
		t.drop(best)
	}
}

// inUse reports whether a request, a pending report, a lease or a reservation refers to the customer.
func (c *customer) inUse() bool {
	return c.reportPending || c.openRequests > 0 || c.inFlight > 0 || c.leased || len(c.reservations) > 0
}

// level returns the level of a customer's bucket now, as a share of its capacity. It is at least 1 if the bucket is full or has no limit.
func (t *customerTable) level(c *customer, now Time) float64 {
	plan := &t.config.plans[c.plan]
	if plan.rate <= 0 || plan.burst <= 0 {
		return 1
	}
	return (c.bucket.level + plan.rate*seconds(now-c.bucket.at)) / plan.burst
}

// drop forgets a customer.
func (t *customerTable) drop(c *customer) {
	c.live = false
	t.slots.drop(c.id)
}

// forgetIdle drops idle customers whose buckets are full or have no limit. Each call checks at most idleScanCustomers customers, to
// avoid delaying requests.
func (t *customerTable) forgetIdle(now Time) {
	for range min(idleScanCustomers, len(t.all)) {
		t.lastScanned = (t.lastScanned + 1) % customerSlot(len(t.all))
		c := &t.all[t.lastScanned]
		if !c.live || c.reportPending || c.inFlight > 0 || now-c.lastActiveAt < customerIdleTimeout {
			continue
		}
		plan := &t.config.plans[c.plan]
		if plan.rate <= 0 || c.bucket.level+plan.rate*seconds(now-c.bucket.at) >= plan.burst {
			t.drop(c)
		}
	}
}

// inSet reports whether a node is in the set of spread nodes that begins with first.
func (c *config) inSet(node, first NodeID, spread int) bool {
	return (int(node-first)+c.nodes)%c.nodes < spread
}
