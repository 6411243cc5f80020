package decision

import "cherrygap/internal/numeric"

// Next returns the next decision. It returns false if there is no decision until the next event or timer. The decision's
// payload is valid until the next call.
func (e *Engine) Next() (Decision, bool) {
	if e.timers.startCheckIfDue(e.now, e.config) {
		e.checkAttempts()
	}
	e.pause.reorder(&e.requests, e.now)
	if d, ok := e.nextRequestDecision(); ok {
		return d, true
	}
	if e.summaryDue {
		e.summaryDue = false
		return Decision{Action: LogSummary, Payload: e.scratch}, true
	}
	if d, ok := e.nextPeerMessage(); ok {
		return d, true
	}
	if e.timers.startPollIfDue(e.now) {
		return Decision{Action: PollEndpoints}, true
	}
	if delay, ok := e.timers.nextHostTimer(e.now); ok {
		return Decision{Action: SetTimer, Duration: delay}, true
	}
	return Decision{}, false
}

// nextRequestDecision returns the next cancellation, or else the next decision on a pending request. It returns false if
// there is neither.
func (e *Engine) nextRequestDecision() (Decision, bool) {
	for {
		if c, ok := e.requests.nextCancellation(); ok {
			return Decision{Action: CancelAttempt, Request: c.request, Attempt: c.attempt}, true
		}
		i, ok := e.requests.dequeue()
		if !ok {
			return Decision{}, false
		}
		if d := e.decideWithShadow(i); d.Action != noAction {
			return d, true
		}
	}
}

// nextPeerMessage returns the next message to peers, and false if there is none. It writes the periodic messages that are
// due.
func (e *Engine) nextPeerMessage() (Decision, bool) {
	if e.timers.startReportIfDue(e.now, e.config) {
		e.reports.write(&e.outbox, e.customers.all, &e.owner, &e.quota, e.now)
	}
	if e.timers.startSuspicionsIfDue(e.now, e.config) {
		payload := e.suspicionMessage()
		if len(payload) > 1 && e.outliers.drawMessage(&e.random) {
			return Decision{Action: SendPeerMessage, Payload: payload, Peer: AllPeers}, true
		}
	}
	m, ok := e.outbox.next()
	return Decision{Action: SendPeerMessage, Payload: m.payload, Peer: m.to}, ok
}

// checkAttempts checks the attempts in flight. It ejects silent servers, cancels late attempts, and requeues requests
// whose quota owner did not respond in time. It also closes the control interval once the interval is over.
func (e *Engine) checkAttempts() {
	e.selection.sumPaces(&e.endpoints, e.now)
	e.ejectSilent()
	for i := range e.requests.all {
		r := &e.requests.all[i]
		if !r.live || r.closed {
			continue
		}
		if r.queriedOwnerAt > 0 && len(r.attempts) == 0 && !e.owner.waits(r, e.now) {
			e.requests.enqueue(requestSlot(i))
		}
		if r.inFlight > 0 && !r.streaming {
			e.cancelLateAttempts(r)
		}
	}
	if e.now >= e.timers.intervalAt {
		e.closeInterval()
	}
}

// ejectSilent measures the silence of the tracked servers and ejects the silent ones.
func (e *Engine) ejectSilent() {
	servers := e.endpoints.servers
	for _, i := range e.endpoints.tracked {
		for k := range servers[i].byClass {
			servers[i].byClass[k].resetSilence()
		}
	}
	e.measureSilence()
	for _, i := range e.endpoints.tracked {
		for k := range servers[i].byClass {
			e.outliers.ejectSilent(&servers[i].byClass[k], e.now)
		}
	}
}

// measureSilence adds the waits of all attempts in flight to their servers' silence.
func (e *Engine) measureSilence() {
	for i := range e.requests.all {
		r := &e.requests.all[i]
		if !r.live || r.inFlight == 0 {
			continue
		}
		usualLatency := e.usualLatency(r.class)
		for _, a := range r.attempts {
			if a.inFlight {
				state := &e.endpoints.servers[a.server].byClass[r.class]
				e.outliers.addWait(state, a.sentAt, usualLatency, e.now)
			}
		}
	}
}

// closeInterval ends the control interval. It updates the admission rate, the rate of a warm server and the subset, and
// drops idle state.
func (e *Engine) closeInterval() {
	spanSeconds := seconds(e.now - e.interval.startedAt)
	load := intervalLoad{requestsInFlight: e.requests.inFlight, inFlightAtHealthy: e.inFlightAtHealthy(), readyServers: e.endpoints.ready}
	e.admission.closeInterval(e.now, spanSeconds, &e.interval, load)
	e.slowStart.closeInterval(e.slowStart.warmServers(&e.endpoints, e.now), e.admission.throughput.rates)
	e.summarize(spanSeconds)
	e.interval.reset(e.now)
	e.timers.intervalAt = e.now + controlInterval
	e.customers.forgetIdle(e.now)
	e.forgetServers()
	e.chooseSubset()
}

// summarize writes the summary of the interval to scratch, from which Next returns it.
func (e *Engine) summarize(spanSeconds float64) {
	limit, stats := &e.admission, &e.interval
	summary := intervalSummary{
		inFlight:           e.requests.inFlight,
		concurrencyAverage: limit.features.concurrencyAverage,
		latency:            limit.features.latency,
		latencyAverage:     limit.features.latencyAverage,
		admissionRate:      limit.rate,
		targetConcurrency:  limit.targetConcurrency,
		admitted:           float64(stats.admitted) / spanSeconds,
		completed:          float64(stats.completed) / spanSeconds,
		tailLatency:        stats.tailLatency(),
		baseLatency:        numeric.Truncate[Time](limit.throughput.baseLatency),
		rejected:           stats.rejected,
	}
	e.scratch, e.summaryDue = summary.appendText(e.scratch[:0]), true
}
