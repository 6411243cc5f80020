package decision

// Next is the next decision, or false when there is none for now.
func (e *Engine) Next() (Decision, bool) {
	if e.timers.startCheck(e.now, e.config) {
		e.checkAttempts()
	}
	e.pause.reorder(&e.requests, e.now)
	for {
		if c, ok := e.requests.nextCancellation(); ok {
			return Decision{Action: CancelAttempt, Request: c.request, Attempt: c.attempt}, true
		}
		i, ok := e.requests.dequeue()
		if !ok {
			break
		}
		if d, ok := e.decideWithShadow(i); ok {
			return d, true
		}
	}
	if e.summaryDue {
		e.summaryDue = false
		return Decision{Action: LogSummary, Payload: e.scratch}, true
	}
	if d, ok := e.nextPeerMessage(); ok {
		return d, true
	}
	if e.timers.startPoll(e.now) {
		return Decision{Action: PollEndpoints}, true
	}
	if after, ok := e.timers.setHost(e.now); ok {
		return Decision{Action: SetTimer, Duration: after}, true
	}
	return Decision{}, false
}

// nextPeerMessage is the next message to a peer, if there is one.
func (e *Engine) nextPeerMessage() (Decision, bool) {
	if e.timers.startReport(e.now, e.config) {
		e.reports.write(&e.outbox, e.customers.all, &e.owner, &e.quota, e.now)
	}
	if e.timers.startSuspicions(e.now, e.config) {
		if text := e.suspicionMessage(); len(text) > 1 && e.outliers.drawMessage(&e.random) {
			return Decision{Action: SendPeerMessage, Payload: text, Peer: AllPeers}, true
		}
	}
	m, ok := e.outbox.next()
	return Decision{Action: SendPeerMessage, Payload: m.payload, Peer: m.to}, ok
}

// checkAttempts looks over what is in flight, ejects servers that keep silent, cancels attempts that are late at
// ejected ones, and ends an interval that is over.
func (e *Engine) checkAttempts() {
	e.selection.sumPaces(&e.endpoints, e.now)
	e.ejectSilent()
	for i := range e.requests.all {
		r := &e.requests.all[i]
		if !r.live {
			continue
		}
		if !r.closed && r.askedOwnerAt > 0 && len(r.attempts) == 0 && !e.owner.waits(r, e.now) { // no answer came
			e.requests.enqueue(requestSlot(i))
		}
		if r.inFlight > 0 && !r.closed && !r.streaming {
			e.hedge(r)
		}
	}
	if e.now >= e.timers.intervalAt {
		e.closeInterval()
	}
}

// ejectSilent ejects the servers that keep silent.
func (e *Engine) ejectSilent() {
	servers := e.endpoints.servers
	for _, i := range e.endpoints.view {
		for k := range servers[i].byClass {
			servers[i].byClass[k].waited, servers[i].byClass[k].lost = 0, 0
		}
	}
	for i := range e.requests.all {
		r := &e.requests.all[i]
		if !r.live || r.inFlight == 0 {
			continue
		}
		usual := e.usualLatency(r.class)
		for _, a := range r.attempts {
			if a.inFlight {
				e.outliers.checkSilence(&servers[a.server].byClass[r.class], a.sent, usual, e.now)
			}
		}
	}
	for _, i := range e.endpoints.view {
		for k := range servers[i].byClass {
			e.outliers.ejectSilent(&servers[i].byClass[k], e.now)
		}
	}
}

// closeInterval learns from the interval that is over, and chooses the subset of servers anew.
func (e *Engine) closeInterval() {
	span := seconds(e.now - e.interval.startedAt)
	load := intervalLoad{e.requests.inFlight, e.inFlightAtHealthy(), e.endpoints.ready}
	e.admission.closeInterval(e.now, span, &e.interval, load)
	e.slowStart.closeInterval(e.slowStart.warmServers(&e.endpoints, e.now), e.admission.throughput.rates)
	e.summarise(span)
	e.interval.reset(e.now)
	e.timers.intervalAt = e.now + interval
	e.customers.forgetIdle(e.config, e.now)
	e.forgetServers()
	e.chooseSubset()
}

// charge books an admitted request.
func (e *Engine) charge(r *request) {
	c := &e.customers.all[r.customer]
	e.admission.tokens.level--
	e.interval.admitted++
	if !e.owner.owned(c) {
		c.charge(r.units, r.bucketPart)
	} else if r.askedOwnerAt == 0 {
		e.reportUse(c, r.customer, r.units, r.units)
	}
	if r.verdict != verdictGranted {
		c.ceiling.level -= r.units
	}
}
