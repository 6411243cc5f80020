package decision

import (
	"maps"
	"slices"

	"cherrygap/internal/settings"
)

// shadow counts where other settings would have decided otherwise. It never acts: each of the node's decisions on a
// request is taken once more, just before, on a copy of all that bears on it, by the other settings and with the same
// random draws. The copy is dropped; so both start from what really happened, each time. Kept from one to the next are
// only the customers' buckets, as the other settings size and fill them; they are charged for what really passed. So
// no second state goes its own way, and what is counted is single decisions, not how a day under the other settings
// would have gone: after a first request admitted or rejected otherwise, queues, retries and peers' reports would be
// others too.
type shadow struct {
	config  *config
	seen    int64
	differs map[string]int64
	buckets map[CustomerID]customerBuckets
}

// customerBuckets are a customer's buckets, under the other settings.
type customerBuckets struct{ quota, ceiling, ownerCeiling tokenBucket }

func (c *customer) buckets() customerBuckets {
	return customerBuckets{c.bucket, c.ceiling, c.ownerCeiling}
}

func (c *customer) setBuckets(b customerBuckets) {
	c.bucket, c.ceiling, c.ownerCeiling = b.quota, b.ceiling, b.ownerCeiling
}

// StartShadow starts counting where settings would decide otherwise than the node's own. They must name the same
// classes and plans in the same order. It costs a copy of the node's state a decision.
func (e *Engine) StartShadow(set *settings.Settings) {
	e.shadow = &shadow{
		config: newConfig(set), differs: map[string]int64{}, buckets: map[CustomerID]customerBuckets{},
	}
}

// ShadowCounts is how many decisions on requests were compared, and in how many the other settings differed, by kind:
// what was done, and what would have been. Both are 0 and nil while nothing is compared.
func (e *Engine) ShadowCounts() (seen int64, differs map[string]int64) {
	if e.shadow == nil {
		return 0, nil
	}
	return e.shadow.seen, maps.Clone(e.shadow.differs)
}

// decideWithShadow decides on a request, and counts what the other settings would have decided.
func (e *Engine) decideWithShadow(i requestSlot) (Decision, bool) {
	r := &e.requests.all[i]
	if e.shadow == nil || r.closed || r.streaming || r.inFlight > 0 {
		return e.decide(i)
	}
	first, other := len(r.attempts) == 0, e.shadowCopy(i)
	c := &other.customers.all[r.customer]
	buckets := c.buckets()
	would := kindOf(other.decide(i))
	d, ok := e.decide(i)
	c.setBuckets(buckets)
	if int(c.plan) < len(other.config.plans) && first && ok && d.Action == Forward {
		other.chargeAdmitted(c, r)
	}
	e.shadow.keep(&e.customers, c)
	e.shadow.seen++
	switch did := kindOf(d, ok); {
	case did.action != would.action:
		e.shadow.differs[did.action+"_would_"+would.action]++
	case did.server != would.server:
		e.shadow.differs["forward_would_forward_elsewhere"]++
	}
	return d, ok
}

// chargeAdmitted charges a customer's buckets, under the other settings, for a request that was admitted.
func (e *Engine) chargeAdmitted(c *customer, r *request) {
	p, owned := &e.config.plans[c.plan], e.owner.owned(c)
	c.refill(p, e.now)
	e.quota.ceilingAllows(c, r.units, owned, e.now)
	part := 1.0
	if !owned {
		part = e.quota.demandPart(c, e.now)
	}
	c.charge(r.units, part)
	if owned && e.owner.isOwner(c) {
		c.ownerCeiling.refill(e.now, ownerCeilingPart*p.ceilingRate, ownerCeilingPart*p.ceilingBurst)
		c.ownerCeiling.level -= r.units
	} else {
		c.ceiling.level -= r.units
	}
}

// chargeShadowUse charges a customer's buckets for units that passed by other ways than a decision here: what its owner
// let pass elsewhere, asked for or reported, and what was settled afterwards.
func (e *Engine) chargeShadowUse(c *customer, units float64, asked bool) {
	if e.shadow == nil {
		return
	}
	plans := e.shadow.config.plans
	p, b := &plans[min(int(c.plan), len(plans)-1)], e.shadow.bucketsOf(c, e.now)
	if asked {
		b.quota.refill(e.now, p.rate, p.burst)
		b.ownerCeiling.refill(e.now, ownerCeilingPart*p.ceilingRate, ownerCeilingPart*p.ceilingBurst)
		b.ownerCeiling.level -= units
	}
	b.quota.level -= units
	e.shadow.buckets[c.id] = b
}

// keep notes a customer's buckets, and forgets those of customers that the node has forgotten.
func (s *shadow) keep(table *customerTable, c *customer) {
	s.buckets[c.id] = c.buckets()
	if len(s.buckets) > 2*len(table.all)+100 {
		for id := range s.buckets {
			if table.slots.find(id) < 0 {
				delete(s.buckets, id)
			}
		}
	}
}

// grantWithShadow decides on an ask at the customer's owner, and counts where the other settings would have answered
// otherwise.
func (e *Engine) grantWithShadow(c *customer, ask customerReport, from NodeID) bool {
	if e.shadow == nil {
		return e.grantAsOwner(c, ask, from)
	}
	other, same := e.underShadowSettings(), *c
	same.reservations = slices.Clone(c.reservations)
	same.setBuckets(e.shadow.bucketsOf(c, e.now))
	would, did := other.grantAsOwner(&same, ask, from), e.grantAsOwner(c, ask, from)
	e.shadow.seen++
	switch {
	case did && !would:
		e.shadow.differs["grant_would_deny"]++
	case !did && would:
		e.shadow.differs["deny_would_grant"]++
	}
	return did
}

// decisionKind is what a decision does with its request. The words are counters' names.
type decisionKind struct {
	action string
	server ServerID
}

func kindOf(d Decision, ok bool) decisionKind {
	switch {
	case !ok:
		return decisionKind{action: "wait"}
	case d.Action == Forward:
		return decisionKind{"forward", d.Server}
	case d.Action == Reject:
		return decisionKind{action: "reject"}
	}
	return decisionKind{action: "fail"}
}

// shadowCopy is a copy of the engine under the other settings, good for one decision on a request.
func (e *Engine) shadowCopy(i requestSlot) *Engine {
	other := e.underShadowSettings()
	set := &other.endpoints
	set.servers = slices.Clone(set.servers)
	for k := range set.servers {
		set.servers[k].byClass = slices.Clone(set.servers[k].byClass)
	}
	set.subset, set.view, set.spareView = slices.Clone(set.subset), slices.Clone(set.view), nil

	other.requests.all, other.customers.all = slices.Clone(e.requests.all), slices.Clone(e.customers.all)
	r := &other.requests.all[i]
	r.attempts = slices.Clone(r.attempts)
	r.plan = min(r.plan, PlanID(len(other.config.plans)-1))
	r.class = min(r.class, ClassID(len(other.classes)-1))
	other.requests.slots = newSlotIndex[RequestID, requestSlot]()
	other.requests.slots.slots[r.id], other.requests.slots.next = i, e.requests.slots.next

	c := &other.customers.all[r.customer]
	c.reservations = slices.Clone(c.reservations)
	c.setBuckets(e.shadow.bucketsOf(c, e.now))
	if other.config.owners != e.config.owners {
		set.order = endpointOrder{}
		other.chooseSubset()
	}
	return other
}

// underShadowSettings is the engine under the other settings, with what was seen of classes; it shares the rest with
// the engine.
func (e *Engine) underShadowSettings() *Engine {
	other := *e
	other.shadow, other.outbox, other.reports, other.scratch = nil, outbox{}, usageReports{}, nil
	other.requests.pending, other.requests.cancellations = nil, nil
	other.configure(e.shadow.config)
	copy(other.classes, e.classes)
	copy(other.outliers.classes, e.outliers.classes)
	return &other
}

// bucketsOf are a customer's buckets under the other settings: those kept, or those of a first sight.
func (s *shadow) bucketsOf(c *customer, now Time) customerBuckets {
	if b, ok := s.buckets[c.id]; ok {
		return b
	}
	plans, empty := s.config.plans, tokenBucket{at: now}
	p := &plans[min(int(c.plan), len(plans)-1)]
	return customerBuckets{quota: tokenBucket{p.burst, now}, ceiling: empty, ownerCeiling: empty}
}
