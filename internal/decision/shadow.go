package decision

import "slices"

// shadow counts where other settings would have decided otherwise. It never acts: each of the node's decisions
// on a ticket is taken once more, just before, on a copy of all that bears on it, by the other settings and
// with the same chance. The copy is dropped; so both start from what really happened, each time. Kept from
// one to the next are only the customers' stores, as the other settings size and fill them; they are charged
// for what really passed. So no second state goes its own way, and what is counted is single decisions, not
// how a day under the other settings would have gone: after a first ticket let in or bounced otherwise,
// queues, retries and what peers hear would be others too.
type shadow struct {
	settings Settings
	seen     int64
	differs  map[string]int64
	levels   map[uint64]bucketLevels
	plans    []quotaPlan
}

// bucketLevels are a customer's, under the watched settings.
type bucketLevels struct {
	level, ceiling, homeCeiling float64
	filled, ceilingAt, homeAt   Time
}

func (c *customer) bucketLevels() bucketLevels {
	return bucketLevels{c.level, c.ceiling, c.ownerCeiling, c.levelAt, c.ceilingAt, c.ownerCeilingAt}
}

func (c *customer) setBucketLevels(s bucketLevels) {
	c.level, c.ceiling, c.ownerCeiling = s.level, s.ceiling, s.homeCeiling
	c.levelAt, c.ceilingAt, c.ownerCeilingAt = s.filled, s.ceilingAt, s.homeAt
}

// StartShadow starts counting where settings would decide otherwise than the node's own. They must name the same
// bands and plans in the same order. It costs a copy of the node's state a decision.
func (n *Engine) StartShadow(set Settings) {
	n.shadow = &shadow{settings: set, differs: map[string]int64{}, levels: map[uint64]bucketLevels{}, plans: readPlans(set)}
}

// ShadowCounts is how many decisions on tickets were compared, and in how many the other settings differed, by
// kind: what was done, and what would have been. Both are 0 and nil while nothing is watched.
func (n *Engine) ShadowCounts() (seen int64, differs map[string]int64) {
	if n.shadow == nil {
		return 0, nil
	}
	differs = map[string]int64{}
	for kind, k := range n.shadow.differs {
		differs[kind] = k
	}
	return n.shadow.seen, differs
}

// decideWithShadow decides on a ticket, and counts what other settings would have decided.
func (n *Engine) decideWithShadow(i int32) (Decision, bool) {
	if t := &n.requests[i]; n.shadow == nil || t.closed || t.streaming || t.inFlight > 0 {
		return n.decide(i)
	}
	t := &n.requests[i]
	c, first, w := t.customer, len(t.attempts) == 0, n.shadowCopy(i)
	other := &w.customers[c]
	kept := other.bucketLevels()
	would := kindOf(w.decide(i))
	d, ok := n.decide(i)
	other.setBucketLevels(kept)
	if other.plan < len(w.plans) && first && ok && d.Action == Forward {
		w.chargeShadow(other, t)
	}
	n.shadow.keep(n, other)
	n.shadow.seen++
	switch did := kindOf(d, ok); {
	case did.action != would.action:
		n.shadow.differs[did.action+"_would_"+would.action]++
	case did.server != would.server:
		n.shadow.differs["send_would_send_elsewhere"]++
	}
	return d, ok
}

// chargeShadow charges a customer's stores, under the watched settings, for a ticket that really passed.
func (n *Engine) chargeShadow(c *customer, t *request) {
	n.refill(c)
	n.ceilingAllows(c, t)
	share := 1.0
	if !n.hasOwner(c) {
		share = n.demandPart(c)
	}
	c.level = max(c.level, 0) - t.units/share
	if p := n.plans[c.plan]; n.hasOwner(c) && n.ownerOf(c) == n.self {
		gained := ownerCeilingPart * p.ceilingRate * seconds(n.now-c.ownerCeilingAt)
		c.ownerCeiling, c.ownerCeilingAt = min(c.ownerCeiling+gained, ownerCeilingPart*p.ceilingBurst)-t.units, n.now
	} else {
		c.ceiling -= t.units
	}
}

// chargeShadowUse charges a customer's stores for units that passed by other ways than a decision here: what its home
// let pass elsewhere, asked for or told of, and what was settled afterwards.
func (n *Engine) chargeShadowUse(c *customer, units float64, asked bool) {
	if n.shadow == nil {
		return
	}
	p, held := n.shadow.plans[min(c.plan, len(n.shadow.plans)-1)], *c
	n.shadow.load(&held, n.now)
	s := held.bucketLevels()
	if asked {
		s.level, s.filled = min(s.level+p.rate*seconds(n.now-s.filled), p.burst), n.now
		gained := ownerCeilingPart * p.ceilingRate * seconds(n.now-s.homeAt)
		s.homeCeiling, s.homeAt = min(s.homeCeiling+gained, ownerCeilingPart*p.ceilingBurst)-units, n.now
	}
	s.level -= units
	n.shadow.levels[c.key] = s
}

// keep notes a customer's stores, and forgets those of customers that the node has.
func (w *shadow) keep(n *Engine, c *customer) {
	w.levels[c.key] = c.bucketLevels()
	if len(w.levels) > 2*len(n.customers)+100 {
		for key := range w.levels {
			if n.customerSlots.find(key) < 0 {
				delete(w.levels, key)
			}
		}
	}
}

// answerAsk lets a home decide on an ask, and counts where the watched settings would have answered otherwise.
func (n *Engine) answerAsk(c *customer, a customerReport, from int) bool {
	if n.shadow == nil {
		return n.grantAsOwner(c, a, from)
	}
	w, other := n.withShadowSettings(), *c
	other.reservations = slices.Clone(c.reservations)
	n.shadow.load(&other, n.now)
	would, did := w.grantAsOwner(&other, a, from), n.grantAsOwner(c, a, from)
	n.shadow.seen++
	switch {
	case did && !would:
		n.shadow.differs["grant_would_deny"]++
	case !did && would:
		n.shadow.differs["deny_would_grant"]++
	}
	return did
}

// decisionKind is what a decision does with its ticket.
type decisionKind struct {
	action string
	server uint32
}

func kindOf(d Decision, ok bool) decisionKind {
	switch {
	case !ok:
		return decisionKind{action: "wait"}
	case d.Action == Forward:
		return decisionKind{"send", d.Server}
	case d.Action == Reject:
		return decisionKind{action: "bounce"}
	}
	return decisionKind{action: "break_off"}
}

// shadowCopy is a copy of the node under the watched settings, good for one decision on a ticket.
func (n *Engine) shadowCopy(i int32) *Engine {
	w := n.withShadowSettings()
	w.servers = slices.Clone(n.servers)
	for k := range w.servers {
		w.servers[k].byClass = slices.Clone(n.servers[k].byClass)
	}
	w.requests, w.customers = slices.Clone(n.requests), slices.Clone(n.customers)
	t := &w.requests[i]
	t.attempts, t.plan, t.class = slices.Clone(t.attempts), min(t.plan, len(w.plans)-1), min(t.class, len(w.classes)-1)
	c := &w.customers[t.customer]
	c.reservations = slices.Clone(c.reservations)
	n.shadow.load(c, n.now)
	w.requestSlots = newSlotIndex[uint32]()
	w.requestSlots.slots[t.id], w.requestSlots.next = i, n.requestSlots.next
	w.subset, w.view, w.spareView = slices.Clone(n.subset), slices.Clone(n.view), nil
	if w.ownersEnabled != n.ownersEnabled {
		w.order = endpointOrder{}
		w.chooseSubset()
	}
	return w
}

// withShadowSettings is the node under the watched settings, with what was seen of bands; it shares the rest with the
// node.
func (n *Engine) withShadowSettings() *Engine {
	w := *n
	w.shadow, w.pending, w.cancellations, w.outbox, w.pendingReports, w.scratch = nil, nil, nil, nil, nil, nil
	w.applySettings(n.shadow.settings)
	for k := range w.classes {
		if k < len(n.classes) {
			w.classes[k].latency, w.classes[k].peerSuspicion, w.classes[k].trialBudget = n.classes[k].latency, n.classes[k].peerSuspicion, n.classes[k].trialBudget
		}
	}
	return &w
}

// load gives a customer its stores under the watched settings: those kept, or those of a first sight.
func (w *shadow) load(c *customer, now Time) {
	s, ok := w.levels[c.key]
	if !ok {
		p := w.plans[min(c.plan, len(w.plans)-1)]
		s = bucketLevels{level: p.burst, filled: now, ceilingAt: now, homeAt: now}
	}
	c.setBucketLevels(s)
}
