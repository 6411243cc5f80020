package decision

import (
	"slices"
)

// customerSlot is the number of a customer, noted if it is new. A set that can't be is taken for what it can mean.
func (n *Engine) customerSlot(key uint64, plan, spread, first int) int32 {
	i := n.customerSlots.find(key)
	if i < 0 {
		i = n.customerSlots.add(key)
		if int(i) == len(n.customers) {
			n.customers = append(n.customers, customer{})
		}
		n.customers[i] = customer{
			key: key, live: true, plan: plan, firstSeen: n.now, levelAt: n.now,
			ceilingAt: n.now, ownerCeilingAt: n.now, meanUnits: 1,
			level: max(n.plans[plan].burst, float64(n.plans[plan].maxInFlight)), admitPart: 1,
		}
	}
	c := &n.customers[i]
	c.spread, c.firstNode = min(max(spread, 1), n.nodes), max(first, 0)%n.nodes
	return i
}

// forgetIdleCustomers forgets customers that have long been idle, once their stores are surely full. It looks at some at a time: of tens of
// thousands, all at once would hold up the requests that come meanwhile.
func (n *Engine) forgetIdleCustomers() {
	for range min(idleScanCount, len(n.customers)) {
		n.idleScanAt = (n.idleScanAt + 1) % len(n.customers)
		c := &n.customers[n.idleScanAt]
		if !c.live || c.reportPending || c.inFlight > 0 || n.now-c.lastRequest < customerIdleAfter {
			continue
		}
		if p := n.plans[c.plan]; p.rate <= 0 || c.level+p.rate*seconds(n.now-c.levelAt) >= p.burst {
			c.live = false
			n.customerSlots.drop(c.key)
		}
	}
}

func (n *Engine) inCustomerSet(node, first, spread int) bool {
	return (node-first+n.nodes)%n.nodes < spread
}

// ReceivePeerMessage takes in a peer's message. One that is malformed in any place is passed over whole, and so is what
// comes from outside a customer's set. It tells whether the message could be read.
func (n *Engine) ReceivePeerMessage(from int, b []byte) bool {
	m, ok := decodeMessage(b, len(n.plans), n.nodes)
	if !ok || from < 0 || from >= n.nodes || from == n.self {
		return false
	}
	n.receiveSuspicions(m.suspicions)
	n.peerHeardAt = n.now
	n.peerMessages.add(1, n.now, demandMemory)
	for _, t := range m.reports {
		if !n.inCustomerSet(n.self, t.firstNode, t.spread) || !n.inCustomerSet(from, t.firstNode, t.spread) {
			continue
		}
		i := n.customerSlot(t.key, t.plan, t.spread, t.firstNode)
		switch c := &n.customers[i]; {
		case m.kind == kindUse && n.ownersEnabled && n.ownerOf(c) == n.self:
			c.lastRequest = n.now
			c.level -= t.use
			n.chargeShadowUse(c, t.use, false)
			c.peerDemand.add(t.demand, n.now, demandMemory)
			if t.ended > 0 {
				c.reservations = slices.DeleteFunc(c.reservations, func(h reservation) bool { return h.node == from && h.request == t.request })
			}
			if n.updateGrant(c); t.demand > 0 && !c.freePass { // it took it for free
				n.sendGrant(c, from, 0, verdictPending)
			}
		case m.kind == kindAsk && n.ownersEnabled && n.ownerOf(c) == n.self:
			c.lastRequest = n.now
			said := verdictDenied
			if n.answerAsk(c, t, from) {
				said = verdictGranted
				n.chargeShadowUse(c, t.use, true)
			}
			n.sendGrant(c, from, t.request, said)
		case m.kind == kindUse && !n.ownersEnabled:
			c.peerDemand.add(t.demand, n.now, demandMemory)
		case m.kind == kindGrant && n.ownerOf(c) == from:
			c.lastRequest, c.admitPart, c.admitPartAt, c.freePass = n.now, min(t.demand, 1), n.now, t.freePass
			if k := n.requestSlots.find(t.request); t.verdict != verdictPending && k >= 0 && n.requests[k].customer == i &&
				n.requests[k].askedOwnerAt > 0 {
				n.requests[k].verdict = t.verdict
				n.enqueue(k)
			}
		}
	}
	return true
}

// recordUse notes what is to be told of a customer's use: what was asked, to all, or, where not all nodes can
// hear all (wide), what was passed on without asking and what has ended, to its home.
func (n *Engine) recordUse(wide bool, i int32, asked, passed float64) {
	c := &n.customers[i]
	if wide != n.ownersEnabled || c.spread <= 1 || !n.settings.Enabled("peers") || n.ownersEnabled && n.ownerOf(c) == n.self {
		return
	}
	c.reportDemand, c.reportUse = c.reportDemand+asked, c.reportUse+passed
	if !c.reportPending {
		c.reportPending = true
		n.pendingReports = append(n.pendingReports, i)
	}
}

// sendGrant writes to a peer what may pass of a customer.
func (n *Engine) sendGrant(c *customer, peer int, ref uint32, v ownerVerdict) {
	n.outbox = append(n.outbox, peerMessage{peer, appendReport([]byte{kindGrant}, customerReport{
		key: c.key, demand: c.admitPart,
		plan: c.plan, spread: c.spread, firstNode: c.firstNode, request: ref, verdict: v, freePass: c.freePass,
	})})
}

// releaseReservation notes that nothing of a ticket is out any more, for the cap of its customer.
func (n *Engine) releaseReservation(t *request) {
	c := &n.customers[t.customer]
	if n.plans[c.plan].maxInFlight == 0 || !n.hasOwner(c) || t.verdict != verdictGranted || len(t.attempts) == 0 {
		return
	}
	if n.ownerOf(c) == n.self {
		c.reservations = slices.DeleteFunc(c.reservations, func(h reservation) bool { return h.node == n.self && h.request == t.id })
	} else {
		n.outbox = append(n.outbox, peerMessage{n.ownerOf(c), appendReport([]byte{kindUse}, customerReport{
			key: c.key, plan: c.plan,
			spread: c.spread, firstNode: c.firstNode, request: t.id, ended: 1,
		})})
	}
}

// refill brings a customer's bucket up to date.
func (n *Engine) refill(c *customer) (rate, depth float64) {
	p := n.plans[c.plan]
	if c.leased {
		return p.rate, p.burst
	}
	c.level = min(c.level+p.rate*seconds(n.now-c.levelAt), p.burst)
	c.levelAt = n.now
	return p.rate, p.burst
}

// ownerOf is the node of a customer's set that keeps its bucket where not all nodes can hear all.
func (n *Engine) ownerOf(c *customer) int {
	return (c.firstNode + int(c.key%uint64(c.spread))) % n.nodes
}

// hasOwner tells whether a customer's bucket is kept by its home: where not all nodes can hear all.
func (n *Engine) hasOwner(c *customer) bool {
	return n.ownersEnabled && c.spread > 1 && n.settings.Enabled("peers") && !c.leased
}

// SetLease notes what of a customer's quota this node may use now, by whoever leases it from the whole: its bucket from
// then on, until told again. It neither refills by itself nor is it divided by this node's part, and no home is asked.
func (n *Engine) SetLease(key uint64, plan, spread, first int, units float64) {
	c := &n.customers[n.customerSlot(key, min(max(plan, 0), len(n.plans)-1), spread, first)]
	c.leased, c.level, c.levelAt = true, units, n.now
}

// waitsForOwner tells whether a ticket waits for its customer's home.
func (n *Engine) waitsForOwner(t *request) bool {
	return t.askedOwnerAt > 0 && t.verdict == verdictPending && n.now < t.askedOwnerAt+n.ownerTimeout
}

// suspicionMessage names the servers that this node found at fault and that rest; all nodes fill a quarter of each.
func (n *Engine) suspicionMessage() []byte {
	n.scratch = append(n.scratch[:0], kindSuspicion)
	for _, i := range n.view {
		for k := range n.servers[i].byClass {
			if at := &n.servers[i].byClass[k]; at.consecutiveFailures > 0 && !at.fromPeer && (n.ownersEnabled || n.now < at.ejectedUntil) &&
				len(n.scratch)+maxEntry < maxMessage {
				n.scratch = appendSuspicion(n.scratch, suspicion{n.servers[i].Server, k, max(0, at.ejectedUntil-n.now)})
			}
		}
	}
	return n.scratch
}
