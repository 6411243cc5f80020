package decision

// of is the node of a customer's set that owns its quota.
func (o *quotaOwner) of(c *customer) NodeID {
	return (c.firstNode + NodeID(uint64(c.id)%uint64(c.spread))) % NodeID(o.config.nodes)
}

// owned tells whether a customer's bucket is kept by its owner.
func (o *quotaOwner) owned(c *customer) bool {
	return o.config.owners && c.spread > 1 && o.config.peers && !c.leased
}

// isOwner tells whether this node is a customer's owner.
func (o *quotaOwner) isOwner(c *customer) bool { return o.of(c) == o.config.self }

// waits tells whether a request waits for its owner.
func (o *quotaOwner) waits(r *request, now Time) bool {
	return r.askedOwnerAt > 0 && r.verdict == verdictPending && now < r.askedOwnerAt+o.config.ownerTimeout
}

// askOwner sends a customer's owner the question whether a request may pass.
func (e *Engine) askOwner(c *customer, r *request) {
	report := c.report()
	report.use, report.demand, report.request, report.class = r.units, c.unreportedDemand, r.id, r.class
	e.outbox.add(e.owner.of(c), appendReport([]byte{kindAsk}, report))
	c.unreportedDemand = 0
}

// grantAsOwner decides on an ask at the customer's owner.
func (e *Engine) grantAsOwner(c *customer, ask customerReport, from NodeID) bool {
	class := min(ask.class, ClassID(len(e.classes)-1))
	ok := e.owner.grant(c, ask, from, e.usualLatency(class), e.now)
	e.updateGrant(c)
	return ok
}

// updateGrant settles what passes of a customer, at its owner.
func (e *Engine) updateGrant(c *customer) {
	if !e.owner.update(c, e.now) {
		return
	}
	for k := range c.spread {
		if peer := (c.firstNode + NodeID(k)) % NodeID(e.config.nodes); peer != e.config.self {
			e.sendGrant(c, peer, 0, verdictPending)
		}
	}
}
