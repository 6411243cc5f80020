package decision

import "cherrygap/internal/numeric"

// quotaOwner assigns each customer an owner, which is one node of the customer's set. It is in use when a fleet is too
// large for all nodes to report to all others.
//
//   - Inputs: queries and usage reports of the customer's nodes, at the owner; responses, at the others.
//   - State: at the owner the bucket, the requests in flight (reservations), and a part of the hard ceiling.
//   - Rule: a node queries the owner for each request. While the bucket is nearly full, the owner allows optimistic
//     admission: requests are admitted first and reported afterwards. If demand exceeds the quota by far, nodes query
//     for a share of the requests only and reject the others.
//   - Protects against: a quota granted by many nodes that each see little of a customer's demand.
//   - Trade-off: while an owner is down, each request waits for the timeout. It is then admitted with a probability
//     that keeps this node to the even share of the quota.
type quotaOwner struct {
	config       *config
	peerMessages decayingMean // peer messages that this node received
}

const (
	maxMeshRateRatio       = 0.75 // share of the peer message rate up to which all nodes report to all
	ownerTimeoutObjectives = 0.2  // wait for an owner's response, in shortest latency objectives
	minOwnerTimeoutsLeft   = 2    // least time left for a query, in sums of owner timeout and response margin
	reservationLatencies   = 3.0  // longest reservation, in usual latencies
	ownerCeilingRatio      = 0.5  // share of a hard ceiling that the owner keeps
	meanUnitsSmoothing     = 0.3  // weight of a request in the moving average of units
	minDemandRate          = 1e-9 // least divisor of a rate, in units a second; avoids a division by 0

	maxQueryRateRatio     = 0.7  // share of the peer message rate that queries to an owner may use
	minQueryRateRatio     = 0.2  // share of the peer message rate that queries for one customer may always use
	minQueryRatio         = 0.01 // least share of a customer's requests for which nodes query the owner
	queryOversubscription = 1.5  // queries that other nodes may send for each request that the bucket can admit

	queryRatioLifetime = peerSilenceTimeout // age at which a query ratio has lost its effect

	optimisticMinRatePerNode = 0.25 // least demand for optimistic admission, in units a second per node
	optimisticReserveRatio   = 0.7  // bucket level below which optimistic admission ends, in bursts

	optimisticStartReserveRatio = (1 + optimisticReserveRatio) / 2 // bucket level for a start, in bursts
)

// optimisticChange is the effect of an update on optimistic admission.
type optimisticChange uint8

const (
	optimisticUnchanged optimisticChange = iota // no change, or a start that peers learn from the next kindGrant
	optimisticRevoked                           // optimistic admission ends: peers must be notified at once
)

// ownersNeeded reports whether the nodes are too many for all to report to all others. The peer rate is the number of
// messages a second that a node receives at most.
func ownersNeeded(nodes int, peerRate float64) bool {
	return float64(nodes-1) > maxMeshRateRatio*peerRate*seconds(reportInterval)
}

// ownerTimeout returns how long a request waits for its quota owner's response.
func ownerTimeout(shortestObjective Time) Time {
	return numeric.Truncate[Time](ownerTimeoutObjectives * float64(shortestObjective))
}

// of returns the node of a customer's set that owns its quota. The owner is the same at every node.
func (o *quotaOwner) of(c *customer) NodeID {
	return (c.firstNode + NodeID(uint64(c.id)%uint64(c.spread))) % NodeID(o.config.nodes)
}

// owned reports whether an owner keeps the customer's bucket.
func (o *quotaOwner) owned(c *customer) bool {
	return o.config.usesOwners && c.spread > 1 && o.config.peersEnabled && !c.leased
}

// isOwner reports whether this node is the customer's owner.
func (o *quotaOwner) isOwner(c *customer) bool { return o.of(c) == o.config.self }

// waits reports whether a request waits for the response of its customer's owner.
func (o *quotaOwner) waits(r *request, now Time) bool {
	return r.queriedOwnerAt > 0 && r.ownerResponse == responsePending && now < r.queriedOwnerAt+o.config.ownerTimeout
}

// localCeilingRatio returns the share of the customer's hard ceiling that this node keeps.
func (o *quotaOwner) localCeilingRatio(c *customer) float64 {
	ratio := 1 / float64(c.spread)
	if o.owned(c) {
		ratio *= 1 - ownerCeilingRatio
	}
	return ratio
}

// refillOwnerCeiling refills the owner's part of a hard ceiling.
func refillOwnerCeiling(b *tokenBucket, plan *quotaPlan, now Time) {
	b.refill(now, ownerCeilingRatio*plan.ceilingRate, ownerCeilingRatio*plan.ceilingBurst)
}

// grant reports whether a customer's bucket, in-flight limit and ceiling have room for a queried request. If so, it
// charges them. It runs at the customer's owner. The usual latency is in units of Time.
func (o *quotaOwner) grant(c *customer, query customerReport, from NodeID, usualLatency float64, now Time) bool {
	plan, units := &o.config.plans[c.plan], query.use
	c.peerDemand.add(query.demand, now, demandTimeConstant)
	c.meanUnits += meanUnitsSmoothing * (units - c.meanUnits)
	c.refill(plan, now)
	c.expireReservations(now)
	refillOwnerCeiling(&c.ownerCeiling, plan, now)
	if !c.ownerAllows(plan, units) {
		return false
	}
	c.bucket.level -= units
	c.ownerCeiling.level -= units
	if plan.maxInFlight > 0 {
		until := now + numeric.Truncate[Time](reservationLatencies*usualLatency)
		c.reservations = append(c.reservations, reservation{from, query.request, until})
	}
	return true
}

// ownerAllows reports whether the owner's bucket, reservations and part of the ceiling have room for units.
func (c *customer) ownerAllows(plan *quotaPlan, units float64) bool {
	hasCeiling := plan.ceilingRate > 0 || plan.ceilingBurst > 0
	bucketAllows := plan.rate <= 0 || c.bucket.level >= min(units, plan.burst)
	inFlightAllows := plan.maxInFlight == 0 || len(c.reservations) < plan.maxInFlight
	ceilingAllows := !hasCeiling || c.ownerCeiling.level >= units
	return bucketAllows && inFlightAllows && ceilingAllows
}

// update sets the customer's query ratio and optimistic admission. It runs at the customer's owner.
func (o *quotaOwner) update(c *customer, now Time) optimisticChange {
	plan := &o.config.plans[c.plan]
	c.refill(plan, now)
	demand := demandRate(&c.peerDemand, now)
	c.queryRatio = 1
	if demand > 0 {
		c.queryRatio = o.queryRatio(c, demand, now)
	}
	before := c.optimistic
	c.optimistic = c.allowsOptimistic(plan, demand)
	if before && !c.optimistic {
		return optimisticRevoked
	}
	return optimisticUnchanged
}

// queryRatio returns the share of a customer's requests for which other nodes should query the owner. The demand is in
// units a second and above 0.
func (o *quotaOwner) queryRatio(c *customer, demand float64, now Time) float64 {
	plan := &o.config.plans[c.plan]
	otherMessages := demandRate(&o.peerMessages, now) - c.peerDemand.count/seconds(demandTimeConstant)
	queries := max(minQueryRateRatio*o.config.peerRate, maxQueryRateRatio*o.config.peerRate-otherMessages)
	ratio := min(1, queries*c.meanUnits/demand)
	if plan.rate > 0 {
		available := plan.rate + max(0, c.bucket.level)/seconds(controlInterval)
		ratio = min(ratio, queryOversubscription*available/demand)
	}
	return max(minQueryRatio, ratio)
}

// allowsOptimistic reports whether requests are admitted before the owner learns of them. That needs frequent requests
// and a nearly full bucket. Plans with an in-flight limit or a hard ceiling never allow it.
func (c *customer) allowsOptimistic(plan *quotaPlan, demand float64) bool {
	if plan.maxInFlight != 0 || !plan.noCeiling() {
		return false
	}
	reserve := optimisticReserveRatio
	if !c.optimistic {
		reserve = optimisticStartReserveRatio
	}
	nearlyFull := plan.rate <= 0 || c.bucket.level >= reserve*plan.burst
	return nearlyFull && demand > optimisticMinRatePerNode*float64(c.spread)
}

// drawQuery reports whether this node queries the owner for a request. The probability is the query ratio,
// or the ratio's age over queryRatioLifetime if that is larger.
func (o *quotaOwner) drawQuery(c *customer, now Time, rng *random) bool {
	age := float64(now-c.queryRatioAt) / float64(queryRatioLifetime)
	skip := rng.unit() >= max(c.queryRatio, age)
	return !skip
}

// drawWithoutOwner reports whether a request is admitted though its owner did not respond. The probability is the even
// share of the quota over the demand here before the request. With an in-flight limit, the customer must have no attempt
// in flight here.
func (o *quotaOwner) drawWithoutOwner(c *customer, units float64, now Time, rng *random) bool {
	plan := &o.config.plans[c.plan]
	demandBefore := demandRate(&c.demand, now) - units/seconds(demandTimeConstant)
	probability := plan.rate / float64(c.spread) / max(minDemandRate, demandBefore)
	if plan.maxInFlight != 0 && c.inFlight != 0 {
		return false
	}
	return plan.rate <= 0 || rng.unit() < probability
}

// ownerAdmits reports whether a request is admitted now under its customer's quota owner. A request that is not admitted
// may be waiting for the owner's response, see quotaOwner.waits.
func (e *Engine) ownerAdmits(c *customer, r *request) bool {
	if e.owner.isOwner(c) {
		return e.admitAsOwner(c, r)
	}
	if r.queriedOwnerAt == 0 {
		if c.optimistic {
			return true
		}
		c.unreportedDemand += r.units
		if !e.owner.drawQuery(c, e.now, &e.random) {
			return false
		}
		e.queryOwner(c, r)
	}
	if r.ownerResponse != responsePending || e.owner.waits(r, e.now) {
		return r.ownerResponse == responseGranted
	}
	return e.owner.drawWithoutOwner(c, r.units, e.now, &e.random)
}

// admitAsOwner reports whether the bucket kept here admits a request of this node.
func (e *Engine) admitAsOwner(c *customer, r *request) bool {
	query := customerReport{demand: r.units, use: r.units, request: r.id, class: r.class}
	if e.grantAsOwner(c, query, e.config.self) {
		r.ownerResponse = responseGranted
	}
	return r.ownerResponse == responseGranted
}

// queryOwner sends a query for a request to its customer's owner. If the time left before the deadline does
// not allow a wait, the query counts as timed out at once.
func (e *Engine) queryOwner(c *customer, r *request) {
	timeout := e.config.ownerTimeout
	r.queriedOwnerAt = e.now
	if r.deadline-e.now < minOwnerTimeoutsLeft*(timeout+e.responseMargin()) {
		r.queriedOwnerAt -= timeout
	}
	report := c.report()
	report.use = r.units
	report.demand = c.unreportedDemand
	report.request = r.id
	report.class = r.class
	e.outbox.add(e.owner.of(c), appendReport([]byte{kindQuery}, report))
	c.unreportedDemand = 0
}

// grantAsOwner applies a query at the customer's owner and reports whether it is granted.
func (e *Engine) grantAsOwner(c *customer, query customerReport, from NodeID) bool {
	class := min(query.class, ClassID(len(e.classes)-1))
	granted := e.owner.grant(c, query, from, e.usualLatency(class), e.now)
	e.updateOwnedQuota(c)
	return granted
}

// updateOwnedQuota updates a customer's query ratio and optimistic admission at its owner. If optimistic admission
// ends, it notifies the customer's other nodes.
func (e *Engine) updateOwnedQuota(c *customer) {
	if e.owner.update(c, e.now) != optimisticRevoked {
		return
	}
	for k := range c.spread {
		peer := (c.firstNode + NodeID(k)) % NodeID(e.config.nodes)
		if peer != e.config.self {
			e.sendGrant(c, peer, 0, responsePending)
		}
	}
}
