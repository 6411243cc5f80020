package decision

import (
	"math"

	"cherrygap/internal/numeric"
)

// tenantQuota limits each customer to its plan at this node.
//
//   - Inputs: the customer's demand here and as peers report it, and its attempts in flight.
//   - State: a token bucket of the whole quota, and a bucket of this node's share of the hard ceiling.
//   - Rule: the bucket refills at the whole quota's rate. An admitted request is charged its units divided by this
//     node's share of the demand. A limit on attempts in flight is scaled by the same share, a hard ceiling by the
//     even share.
//   - Protects against: many nodes that each grant the whole quota.
//   - Trade-off: the limit is inexact for some seconds after a customer's requests move to other nodes.
type tenantQuota struct {
	config            *config
	lastPeerMessageAt Time // time of the last message from any peer
}

const (
	demandTimeConstant     = 2 * controlInterval // time constant of the decaying sums of a customer's demand
	peerSilenceTimeout     = 4 * controlInterval // time without peer messages after which reports don't count
	evenSharePriorQuotas   = 3.0                 // demand at even shares that is added to the measured demand, in quota rates
	minPeerReports         = 0.1                 // decayed number of reports below which no peer reports the customer
	minReportRounds        = 2                   // report intervals after which all peers have reported a new customer
	unreportedShareDivisor = 2                   // divisor of the even share that gives the largest unreported demand
)

// quotaResult is a quota's decision on one request.
type quotaResult struct {
	admitted   bool
	retryAfter Time // time until the quota may admit the request; has no meaning if admitted
}

// admit applies the customer's bucket and its limit on attempts in flight to a request. It charges nothing, and stores
// the share of the demand in the request. The usual latency is in units of Time.
func (q *tenantQuota) admit(c *customer, r *request, usualLatency float64, now Time) quotaResult {
	plan := &q.config.plans[c.plan]
	r.demandShare = q.demandShare(c, now)
	if plan.maxInFlight > 0 {
		limit := max(1, numeric.Truncate[int](math.Round(r.demandShare*float64(plan.maxInFlight))))
		if c.inFlight >= limit {
			return quotaResult{retryAfter: numeric.Truncate[Time](usualLatency)}
		}
	}
	if c.leased { // the lease is for this node alone
		r.demandShare = 1
	}
	c.refill(plan, now)
	if plan.rate <= 0 {
		return quotaResult{admitted: true}
	}
	if missing := min(r.units, plan.burst) - c.bucket.level; missing > 0 {
		return quotaResult{retryAfter: numeric.Truncate[Time](missing / plan.rate * float64(Second))}
	}
	return quotaResult{admitted: true}
}

// charge subtracts an admitted request's units, divided by the demand share, from the bucket. A debt from earlier requests
// is forgiven first.
func (c *customer) charge(units, demandShare float64) {
	c.bucket.level = max(c.bucket.level, 0) - units/demandShare
}

// demandShare returns this node's share of a customer's recent demand, in (0, 1]. It is the even share among the
// customer's nodes while peers' reports are missing, and 1 while only this node has demand.
func (q *tenantQuota) demandShare(c *customer, now Time) float64 {
	if c.spread <= 1 {
		return 1
	}
	evenShare := 1 / float64(c.spread)
	localDemand := demandRate(&c.demand, now)
	if !q.peersReport(c, now) {
		return evenShare
	}
	totalDemand := localDemand + demandRate(&c.peerDemand, now)
	if c.peerDemand.count < minPeerReports {
		return 1
	}
	// Peers' reports are late: the prior keeps the share near the even share.
	prior := evenSharePriorQuotas * q.config.plans[c.plan].rate
	if totalDemand+prior <= 0 {
		return evenShare
	}
	return min(1, (localDemand+prior*evenShare)/(totalDemand+prior))
}

// peersReport reports whether peers send messages and have had time to report the customer.
func (q *tenantQuota) peersReport(c *customer, now Time) bool {
	switch {
	case !q.config.peersEnabled:
		return false
	case now-q.lastPeerMessageAt > peerSilenceTimeout:
		return false
	}
	return now-c.firstSeen >= minReportRounds*reportInterval
}

// farBelowQuota reports whether a customer's demand here is at most half the even share of its quota. Peers need no
// report on such a customer.
func (q *tenantQuota) farBelowQuota(c *customer, now Time) bool {
	return demandRate(&c.demand, now) <= q.config.plans[c.plan].rate/float64(unreportedShareDivisor*c.spread)
}

// ceilingAllows reports whether a plan's hard ceiling has room for units, where ratio is the share of the ceiling that
// this node keeps. The bucket starts empty: a node can't distinguish a restart from a first start.
func (q *tenantQuota) ceilingAllows(c *customer, units, ratio float64, now Time) bool {
	plan := &q.config.plans[c.plan]
	if plan.noCeiling() {
		return true
	}
	c.ceiling.refill(now, plan.ceilingRate*ratio, plan.ceilingBurst*ratio)
	return c.ceiling.level >= units
}
