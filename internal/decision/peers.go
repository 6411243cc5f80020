package decision

// ReceivePeerMessage applies a peer's message and reports whether it is valid. A message that is malformed anywhere has
// no effect. A report on a customer has no effect unless both nodes are in the customer's set.
func (e *Engine) ReceivePeerMessage(from NodeID, payload []byte) (valid bool) {
	m, ok := decodeMessage(payload, len(e.config.plans), e.config.nodes)
	if !ok || from < 0 || int(from) >= e.config.nodes || from == e.config.self {
		return false
	}
	e.receiveSuspicions(m.suspicions)
	e.quota.lastPeerMessageAt = e.now
	e.owner.peerMessages.add(1, e.now, demandTimeConstant)
	for _, report := range m.reports {
		selfInSet := e.config.inSet(e.config.self, report.firstNode, report.spread)
		senderInSet := e.config.inSet(from, report.firstNode, report.spread)
		if selfInSet && senderInSet {
			e.receiveReport(m.kind, from, report)
		}
	}
	return true
}

// receiveReport applies one entry of a message. The set that the entry names determines the customer's owner.
func (e *Engine) receiveReport(kind byte, from NodeID, report customerReport) {
	i := e.customers.findOrAdd(report.ref(), e.now)
	c := &e.customers.all[i]
	ownedHere := e.config.usesOwners && e.owner.isOwner(c)
	switch {
	case kind == kindUse && ownedHere:
		e.receiveUse(c, from, report)
	case kind == kindUse && !e.config.usesOwners:
		c.peerDemand.add(report.demand, e.now, demandTimeConstant)
	case kind == kindQuery && ownedHere:
		e.receiveQuery(c, from, report)
	case kind == kindGrant && e.owner.of(c) == from:
		e.receiveGrant(i, report)
	}
}

// receiveUse applies a usage report at the customer's owner.
func (e *Engine) receiveUse(c *customer, from NodeID, report customerReport) {
	c.lastActiveAt = e.now
	c.bucket.level -= report.use
	e.chargeShadowUse(c, report.use)
	c.peerDemand.add(report.demand, e.now, demandTimeConstant)
	if report.ended > 0 {
		c.release(from, report.request)
	}
	e.updateOwnedQuota(c)
	if report.demand > 0 && !c.optimistic { // the peer has not learned that optimistic admission has ended
		e.sendGrant(c, from, 0, responsePending)
	}
}

// receiveQuery responds to a query at the customer's owner.
func (e *Engine) receiveQuery(c *customer, from NodeID, query customerReport) {
	c.lastActiveAt = e.now
	response := responseDenied
	if e.grantWithShadow(c, query, from) {
		response = responseGranted
		e.chargeShadowGrant(c, query.use)
	}
	e.sendGrant(c, from, query.request, response)
}

// receiveGrant applies a message of the customer's owner: the query ratio, optimistic admission, and the response to
// one query if it names a request.
func (e *Engine) receiveGrant(i customerSlot, grant customerReport) {
	c := &e.customers.all[i]
	c.lastActiveAt = e.now
	c.queryRatio = min(grant.queryRatio(), 1)
	c.queryRatioAt = e.now
	c.optimistic = grant.optimistic
	e.receiveResponse(i, grant.request, grant.response)
}

// receiveResponse applies the owner's response to the query for one request.
func (e *Engine) receiveResponse(c customerSlot, id RequestID, response ownerResponse) {
	i := e.requests.slots.find(id)
	if response == responsePending || i < 0 {
		return
	}
	r := &e.requests.all[i]
	if r.customer == c && r.queriedOwnerAt > 0 {
		r.ownerResponse = response
		e.requests.enqueue(i)
	}
}

// receiveSuspicions applies a peer's suspicions. Unknown servers and classes are ignored.
func (e *Engine) receiveSuspicions(suspicions []suspicion) {
	for _, reported := range suspicions {
		i := e.endpoints.slots.find(reported.server)
		if i < 0 || int(reported.class) >= len(e.classes) {
			continue
		}
		state := &e.endpoints.outlierStates(i, len(e.classes))[reported.class]
		e.outliers.receiveSuspicion(state, reported, e.endpoints.ready, e.now)
	}
}

// suspicionMessage returns a message with this node's reportable suspicions, as many as fit. Without any suspicion,
// the message consists of the kind only. The message is valid until scratch is next used.
func (e *Engine) suspicionMessage() []byte {
	e.scratch = append(e.scratch[:0], kindSuspicion)
	for _, i := range e.endpoints.tracked {
		s := &e.endpoints.servers[i]
		for k := range s.byClass {
			state := &s.byClass[k]
			fits := len(e.scratch)+maxEntryBytes < maxMessageBytes
			if !fits || !e.outliers.reportable(state, e.now) {
				continue
			}
			remaining := max(0, state.ejectedUntil-e.now)
			e.scratch = appendSuspicion(e.scratch, suspicion{s.Server, ClassID(k), remaining})
		}
	}
	return e.scratch
}

// reportUse adds to the unsent report on a customer, unless this node has no peer to report to. Without quota owners,
// all peers receive the demand. With them, the owner receives the units admitted without a query or settled afterwards.
func (e *Engine) reportUse(c *customer, i customerSlot, demand, use float64) {
	ownedHere := e.config.usesOwners && e.owner.isOwner(c)
	if c.spread > 1 && e.config.peersEnabled && !ownedHere {
		e.reports.add(c, i, demand, use)
	}
}

// sendGrant sends a peer the customer's query ratio and optimistic admission, with the response to a query. The request
// is 0 and the response pending in a message that responds to no query.
func (e *Engine) sendGrant(c *customer, to NodeID, id RequestID, response ownerResponse) {
	report := c.report()
	report.demand = c.queryRatio // the format holds the query ratio here, see customerReport.queryRatio
	report.request = id
	report.response = response
	report.optimistic = c.optimistic
	e.outbox.add(to, appendReport([]byte{kindGrant}, report))
}

// releaseReservation releases a request's reservation at its customer's owner. The caller calls it when the request
// has no attempt in flight any more.
func (e *Engine) releaseReservation(r *request) {
	c := &e.customers.all[r.customer]
	limited := e.config.plans[c.plan].maxInFlight != 0 && e.owner.owned(c)
	reserved := r.ownerResponse == responseGranted && len(r.attempts) > 0
	if !limited || !reserved {
		return
	}
	if e.owner.isOwner(c) {
		c.release(e.config.self, r.id)
		return
	}
	report := c.report()
	report.request = r.id
	report.ended = 1
	e.outbox.add(e.owner.of(c), appendReport([]byte{kindUse}, report))
}
