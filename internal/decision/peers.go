package decision

// ReceivePeerMessage takes in a peer's message. One that is malformed in any place is passed over as a whole, and so is
// what comes from outside a customer's set of nodes. It tells whether the message could be read.
func (e *Engine) ReceivePeerMessage(from NodeID, b []byte) bool {
	m, ok := decodeMessage(b, len(e.config.plans), e.config.nodes)
	if !ok || from < 0 || int(from) >= e.config.nodes || from == e.config.self {
		return false
	}
	e.receiveSuspicions(m.suspicions)
	e.quota.peerHeardAt = e.now
	e.owner.peerMessages.add(1, e.now, demandMemory)
	for _, report := range m.reports {
		if e.config.inSet(e.config.self, report.firstNode, report.spread) && e.config.inSet(from, report.firstNode, report.spread) {
			e.receiveReport(m.kind, from, report)
		}
	}
	return true
}

// receiveReport takes in what a message says of one customer. Whether this node or the peer is its owner depends on the
// set that the message names.
func (e *Engine) receiveReport(kind byte, from NodeID, report customerReport) {
	i := e.customers.slot(e.config, e.now, report.customer, report.plan, report.spread, report.firstNode)
	c := &e.customers.all[i]
	owner := e.config.owners && e.owner.isOwner(c)
	switch {
	case kind == kindUse && owner:
		e.receiveUse(c, from, report)
	case kind == kindUse && !e.config.owners:
		c.peerDemand.add(report.demand, e.now, demandMemory)
	case kind == kindAsk && owner:
		c.lastRequest = e.now
		verdict := verdictDenied
		if e.grantWithShadow(c, report, from) {
			verdict = verdictGranted
			e.chargeShadowUse(c, report.use, true)
		}
		e.sendGrant(c, from, report.request, verdict)
	case kind == kindGrant && e.owner.of(c) == from:
		c.lastRequest, c.admitPart, c.admitPartAt, c.freePass = e.now, min(report.demand, 1), e.now, report.freePass
		e.receiveVerdict(i, report.request, report.verdict)
	}
}

// receiveUse takes in, at a customer's owner, what passed elsewhere and what ended.
func (e *Engine) receiveUse(c *customer, from NodeID, report customerReport) {
	c.lastRequest = e.now
	c.bucket.level -= report.use
	e.chargeShadowUse(c, report.use, false)
	c.peerDemand.add(report.demand, e.now, demandMemory)
	if report.ended > 0 {
		c.release(from, report.request)
	}
	e.updateGrant(c)
	if report.demand > 0 && !c.freePass { // the peer took it for one that passes freely
		e.sendGrant(c, from, 0, verdictPending)
	}
}

// receiveVerdict takes in what the owner says of one request that it was asked for.
func (e *Engine) receiveVerdict(c customerSlot, id RequestID, v ownerVerdict) {
	i := e.requests.slots.find(id)
	if v == verdictPending || i < 0 {
		return
	}
	if r := &e.requests.all[i]; r.customer == c && r.askedOwnerAt > 0 {
		r.verdict = v
		e.requests.enqueue(i)
	}
}

// receiveSuspicions takes in which servers a peer ejected.
func (e *Engine) receiveSuspicions(list []suspicion) {
	for _, reported := range list {
		i := e.endpoints.slots.find(reported.server)
		if i < 0 || int(reported.class) >= len(e.classes) {
			continue
		}
		state := &e.endpoints.outlierStates(i, len(e.classes))[reported.class]
		e.outliers.receive(state, reported, e.endpoints.ready, e.now)
	}
}

// suspicionMessage names the servers that this node ejected, as many as fit.
func (e *Engine) suspicionMessage() []byte {
	e.scratch = append(e.scratch[:0], kindSuspicion)
	for _, i := range e.endpoints.view {
		s := &e.endpoints.servers[i]
		for k := range s.byClass {
			if state := &s.byClass[k]; e.outliers.tells(state, e.now) && len(e.scratch)+maxEntry < maxMessage {
				e.scratch = appendSuspicion(e.scratch, suspicion{s.Server, ClassID(k), max(0, state.ejectedUntil-e.now)})
			}
		}
	}
	return e.scratch
}

// reportUse notes what is to be reported of a customer: to all, its demand; or, where customers have owners, to its
// owner, what passed without asking and what was settled afterwards.
func (e *Engine) reportUse(c *customer, i customerSlot, demand, use float64) {
	own := e.config.owners && e.owner.isOwner(c)
	if c.spread > 1 && e.config.peers && !own {
		e.reports.note(c, i, demand, use)
	}
}

// sendGrant tells a peer what may pass of a customer.
func (e *Engine) sendGrant(c *customer, to NodeID, id RequestID, v ownerVerdict) {
	report := c.report()
	report.demand, report.request, report.verdict, report.freePass = c.admitPart, id, v, c.freePass
	e.outbox.add(to, appendReport([]byte{kindGrant}, report))
}

// releaseReservation notes that no attempt of a request is in flight any more, for the limit of its customer.
func (e *Engine) releaseReservation(r *request) {
	c := &e.customers.all[r.customer]
	if e.config.plans[c.plan].maxInFlight == 0 || !e.owner.owned(c) || r.verdict != verdictGranted || len(r.attempts) == 0 {
		return
	}
	if e.owner.isOwner(c) {
		c.release(e.config.self, r.id)
		return
	}
	report := c.report()
	report.request, report.ended = r.id, 1
	e.outbox.add(e.owner.of(c), appendReport([]byte{kindUse}, report))
}
