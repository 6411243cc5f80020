package decision

import (
	"maps"
	"slices"

	"cherrygap/internal/settings"
)

// shadow evaluates a second set of settings, the shadow settings. It counts the decisions that would differ under them, and
// has no effect on the node.
//
// Before each decision on a request, a copy of the engine decides under the shadow settings. The copy has the same random
// numbers and is dropped afterwards. Only the customers' buckets under the shadow settings are kept. They are charged for
// the requests that the node admits. Therefore shadow counts single decisions. It does not predict a run under
// the shadow settings, in which queues, retries and reports would differ too.
type shadow struct {
	config      *config                        // the shadow settings
	compared    int64                          // number of decisions compared
	differences map[string]int64               // number of decisions that differ, by actual and shadow action
	buckets     map[CustomerID]customerBuckets // buckets under the shadow settings
}

// customerBuckets holds the three token buckets of a customer.
type customerBuckets struct{ quota, ceiling, ownerCeiling tokenBucket }

// shadow.keep drops the buckets of customers that the node has dropped once too many are stored. The limit is
// maxBucketsPerCustomer times the number of the node's customer slots, plus extraBuckets.
const (
	maxBucketsPerCustomer = 2
	extraBuckets          = 100
)

// buckets returns the customer's buckets.
func (c *customer) buckets() customerBuckets {
	return customerBuckets{c.bucket, c.ceiling, c.ownerCeiling}
}

// setBuckets replaces the customer's buckets.
func (c *customer) setBuckets(b customerBuckets) {
	c.bucket, c.ceiling, c.ownerCeiling = b.quota, b.ceiling, b.ownerCeiling
}

// StartShadow starts the evaluation of shadow settings. They must have the same classes and plans as the node's settings,
// in the same order. Each decision then copies the engine's state.
func (e *Engine) StartShadow(set *settings.Settings) {
	e.shadow = &shadow{
		config: newConfig(set), differences: map[string]int64{}, buckets: map[CustomerID]customerBuckets{},
	}
}

// ShadowCounts returns the number of decisions compared, and the number of those that differ, by actual and shadow
// action. It returns 0 and nil unless StartShadow was called.
func (e *Engine) ShadowCounts() (compared int64, differences map[string]int64) {
	if e.shadow == nil {
		return 0, nil
	}
	return e.shadow.compared, maps.Clone(e.shadow.differences)
}

// decideWithShadow decides on a request, and compares the decision with the one under the shadow settings.
func (e *Engine) decideWithShadow(i requestSlot) Decision {
	r := &e.requests.all[i]
	if e.shadow == nil || r.closed || r.streaming || r.inFlight > 0 {
		return e.decide(i)
	}
	first := len(r.attempts) == 0
	shadowEngine := e.shadowCopy(i)
	c := &shadowEngine.customers.all[r.customer]
	buckets := c.buckets()
	wouldDecide := kindOf(shadowEngine.decide(i))
	actual := e.decide(i)
	c.setBuckets(buckets)
	if int(c.plan) < len(shadowEngine.config.plans) && first && actual.Action == Forward {
		shadowEngine.chargeAdmitted(c, r)
	}
	e.shadow.keep(&e.customers, c)
	e.shadow.compare(kindOf(actual), wouldDecide)
	return actual
}

// compare counts a decision, and whether it differs from the one under the shadow settings.
func (s *shadow) compare(actual, other decisionKind) {
	s.compared++
	switch {
	case actual.action != other.action:
		s.differences[actual.action+"_would_"+other.action]++
	case actual.server != other.server:
		s.differences["forward_would_forward_elsewhere"]++
	}
}

// chargeAdmitted charges a customer's buckets under the shadow settings for a request that the node admitted.
func (e *Engine) chargeAdmitted(c *customer, r *request) {
	plan, owned := &e.config.plans[c.plan], e.owner.owned(c)
	c.refill(plan, e.now)
	e.quota.ceilingAllows(c, r.units, e.owner.localCeilingRatio(c), e.now) // called only to refill the ceiling
	demandShare := 1.0
	if !owned {
		demandShare = e.quota.demandShare(c, e.now)
	}
	c.charge(r.units, demandShare)
	if owned && e.owner.isOwner(c) {
		refillOwnerCeiling(&c.ownerCeiling, plan, e.now)
		c.ownerCeiling.level -= r.units
	} else {
		c.ceiling.level -= r.units
	}
}

// chargeShadowUse charges a customer's bucket under the shadow settings for units that were settled here, or that a peer
// admitted without a query.
func (e *Engine) chargeShadowUse(c *customer, units float64) {
	if e.shadow == nil {
		return
	}
	b := e.shadow.bucketsOf(c, e.now)
	b.quota.level -= units
	e.shadow.buckets[c.id] = b
}

// chargeShadowGrant charges a customer's buckets under the shadow settings for a query that this node granted.
func (e *Engine) chargeShadowGrant(c *customer, units float64) {
	if e.shadow == nil {
		return
	}
	plan, b := e.shadow.planOf(c), e.shadow.bucketsOf(c, e.now)
	b.quota.refill(e.now, plan.rate, plan.burst)
	refillOwnerCeiling(&b.ownerCeiling, plan, e.now)
	b.ownerCeiling.level -= units
	b.quota.level -= units
	e.shadow.buckets[c.id] = b
}

// keep stores a customer's buckets. If too many are stored, it drops those of customers that the node has dropped.
func (s *shadow) keep(table *customerTable, c *customer) {
	s.buckets[c.id] = c.buckets()
	if len(s.buckets) > maxBucketsPerCustomer*len(table.all)+extraBuckets {
		for id := range s.buckets {
			if table.slots.find(id) < 0 {
				delete(s.buckets, id)
			}
		}
	}
}

// grantWithShadow applies a query at the customer's owner and reports whether the query is granted. It compares the
// response with the one under the shadow settings.
func (e *Engine) grantWithShadow(c *customer, query customerReport, from NodeID) bool {
	if e.shadow == nil {
		return e.grantAsOwner(c, query, from)
	}
	shadowEngine, customerCopy := e.underShadowSettings(), *c
	customerCopy.reservations = slices.Clone(c.reservations)
	customerCopy.setBuckets(e.shadow.bucketsOf(c, e.now))
	wouldGrant := shadowEngine.grantAsOwner(&customerCopy, query, from)
	granted := e.grantAsOwner(c, query, from)
	e.shadow.compared++
	switch {
	case granted && !wouldGrant:
		e.shadow.differences["grant_would_deny"]++
	case !granted && wouldGrant:
		e.shadow.differences["deny_would_grant"]++
	}
	return granted
}

// decisionKind is the part of a decision that shadow compares. The counters' names contain the actions.
type decisionKind struct {
	action string
	server ServerID // the chosen server, if the action is "forward"
}

// kindOf returns the kind of a decision on a request.
func kindOf(d Decision) decisionKind {
	switch d.Action {
	case noAction:
		return decisionKind{action: "wait"}
	case Forward:
		return decisionKind{"forward", d.Server}
	case Reject:
		return decisionKind{action: "reject"}
	}
	return decisionKind{action: "fail"}
}

// shadowCopy returns a copy of the engine under the shadow settings, for one decision on a request. The decision changes
// no state of the engine.
func (e *Engine) shadowCopy(i requestSlot) *Engine {
	shadowEngine := e.underShadowSettings()
	set := &shadowEngine.endpoints
	set.servers = slices.Clone(set.servers)
	for k := range set.servers {
		set.servers[k].byClass = slices.Clone(set.servers[k].byClass)
	}
	set.subset, set.tracked, set.trackedBuffer = slices.Clone(set.subset), slices.Clone(set.tracked), nil

	shadowEngine.requests.all, shadowEngine.customers.all = slices.Clone(e.requests.all), slices.Clone(e.customers.all)
	r := &shadowEngine.requests.all[i]
	r.attempts = slices.Clone(r.attempts)
	r.plan = min(r.plan, PlanID(len(shadowEngine.config.plans)-1))
	r.class = min(r.class, ClassID(len(shadowEngine.classes)-1))
	shadowEngine.requests.slots = newSlotIndex[RequestID, requestSlot]()
	shadowEngine.requests.slots.slots[r.id], shadowEngine.requests.slots.next = i, e.requests.slots.next

	c := &shadowEngine.customers.all[r.customer]
	c.reservations = slices.Clone(c.reservations)
	c.setBuckets(e.shadow.bucketsOf(c, e.now))
	if shadowEngine.config.usesOwners != e.config.usesOwners {
		set.order = endpointOrder{}
		shadowEngine.chooseSubset()
	}
	return shadowEngine
}

// underShadowSettings returns a shallow copy of the engine under the shadow settings. The copy has its own state of
// request classes and shares all other slices and maps with the engine.
func (e *Engine) underShadowSettings() *Engine {
	shadowEngine := *e
	shadowEngine.shadow, shadowEngine.outbox, shadowEngine.reports, shadowEngine.scratch = nil, outbox{}, usageReports{}, nil
	shadowEngine.requests.pending, shadowEngine.requests.cancellations = nil, nil
	shadowEngine.configure(e.shadow.config)
	copy(shadowEngine.classes, e.classes)
	copy(shadowEngine.outliers.classes, e.outliers.classes)
	return &shadowEngine
}

// planOf returns a customer's plan under the shadow settings.
func (s *shadow) planOf(c *customer) *quotaPlan {
	return &s.config.plans[min(int(c.plan), len(s.config.plans)-1)]
}

// bucketsOf returns a customer's buckets under the shadow settings. A new customer has a full bucket and empty ceilings.
func (s *shadow) bucketsOf(c *customer, now Time) customerBuckets {
	if b, ok := s.buckets[c.id]; ok {
		return b
	}
	empty := tokenBucket{at: now}
	full := tokenBucket{s.planOf(c).burst, now}
	return customerBuckets{quota: full, ceiling: empty, ownerCeiling: empty}
}
