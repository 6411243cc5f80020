package decision

// decide settles what happens with a request now; nothing may be the answer while an attempt is in flight, or
// while its quota owner is asked.
func (e *Engine) decide(i requestSlot) (Decision, bool) {
	r := &e.requests.all[i]
	if r.closed || r.streaming || r.inFlight > 0 {
		return Decision{}, false
	}
	left := r.deadline - e.now - e.answerMargin()
	ok, first, retryAfter, reason := left > 0, len(r.attempts) == 0, Time(0), ReasonTooLate
	switch {
	case ok && first:
		if ok, retryAfter = e.admit(r); !ok && e.owner.waits(r, e.now) {
			return Decision{}, false
		}
		reason = e.interval.lastReason
	case ok:
		reason = e.retries.refusal(r, e.now)
		ok = reason == ReasonNone
	}
	if !ok {
		return e.rejectOrFail(i, retryAfter, reason), true
	}
	to := e.pick(r)
	if to < 0 {
		e.interval.reject(rejectNoServer, 0)
		return e.rejectOrFail(i, 0, ReasonNoServer), true
	}
	if first {
		e.charge(r)
		e.retries.earn(e.endpoints.usable)
	} else {
		e.retries.spend()
	}
	e.startAttempt(r, to)
	return Decision{Action: Forward, Request: r.id, Server: e.endpoints.servers[to].Server, Duration: left}, true
}

// admit is a first attempt's way through the limits: those on the back end, then the customer's quota, then a
// hard ceiling. What an owner granted has passed the ceiling there.
func (e *Engine) admit(r *request) (ok bool, retryAfter Time) {
	if r.askedOwnerAt == 0 {
		if reason := e.checkAdmission(r); reason != notRejected {
			return e.interval.reject(reason, 0)
		}
	}
	c := &e.customers.all[r.customer]
	owned := e.owner.owned(c)
	if owned {
		ok, retryAfter = e.admitByOwner(c, r), interval
	} else {
		ok, retryAfter = e.quota.admit(c, r, e.usualLatency(r.class), e.now)
	}
	switch {
	case !ok && e.owner.waits(r, e.now):
		return false, 0
	case !ok:
		return e.interval.reject(rejectQuota, retryAfter)
	case r.verdict != verdictGranted && !e.quota.ceilingAllows(c, r.units, owned, e.now):
		return e.interval.reject(rejectCeiling, 0)
	}
	return true, 0
}

// answerMargin keeps final answers clear of the deadline: an end is seen and answered a tick late each.
func (e *Engine) answerMargin() Time { return 2*e.config.tick + e.config.shortestObjective/100 }

// rejectOrFail answers a request at once: rejected where trying again is harmless, else failed.
func (e *Engine) rejectOrFail(i requestSlot, retryAfter Time, reason Reason) Decision {
	r := &e.requests.all[i]
	d := Decision{Action: Fail, Request: r.id, Reason: reason}
	if e.config.classes[r.class].harmless(r) {
		d.Action = Reject
		if e.config.retryAfter {
			d.Duration = min(max(retryAfter, e.config.shortestObjective/4), e.config.maxRetryAfter)
		}
	}
	e.closeRequest(i)
	return d
}

// judgeEnd is what an attempt's end tells of its server, what of the back end's latency, as a part of the
// objective, and whether it tells of that at all.
//
// A time-out that left the attempt little time, as an impatient client's, says next to nothing: it is neither
// pressure nor a failure. It covers any short deadline; it could hide a server that hangs while all clients
// are impatient, which its silence then tells. Ends at an ejected server tell of that server, not of
// pressure, and a connection that breaks tells of no queue. No answer counts as much as a whole objective,
// whatever time it took.
func (e *Engine) judgeEnd(r AttemptResult, class ClassID, s *outlierState) (Outcome, float64, bool) {
	objective := e.config.classes[class].latencyObjective
	switch {
	case r.Outcome == Succeeded:
		return r.Outcome, float64(r.Duration) / float64(objective), true
	case r.Outcome == TimedOut && r.Duration < objective/2:
		return NotSent, 0, false
	case r.Outcome == TimedOut && e.outliers.lost(r.Duration, e.usualLatency(class)): // see inFlightAtHealthy
		return r.Outcome, 0, false
	}
	return r.Outcome, 1, (r.Outcome == Overloaded || r.Outcome == TimedOut) && e.now >= s.ejectedUntil
}

// hedge cancels a request's attempt that is late at an ejected server, if it may have another.
func (e *Engine) hedge(r *request) {
	due := e.retries.hedgeAfter(r.class, e.usualLatency(r.class))
	objective := e.config.classes[r.class].latencyObjective
	for k := range r.attempts {
		a := &r.attempts[k]
		if !a.inFlight || e.now-a.sent < due || e.now >= r.arrived+objective {
			continue
		}
		state := &e.endpoints.servers[a.server].byClass[r.class]
		if e.outliers.ejected(state, r.class, e.now) && e.retries.allows(r, e.now) {
			e.cancelAttempt(r, k)
		}
	}
}
