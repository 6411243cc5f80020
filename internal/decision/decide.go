package decision

// decide returns the action for a request. The action is noAction if the request is closed, has an attempt in flight,
// streams its response, or waits for its quota owner.
//
//   - First attempt: the admission limit, the customer's quota and the plan's hard ceiling must admit the request.
//   - Retry: the retry budget and the request's class must allow it.
//   - Both: enough time must be left before the deadline, and a server must be able to take the request.
//   - Otherwise: the request is rejected if the client may safely repeat it. Else it fails.
func (e *Engine) decide(i requestSlot) Decision {
	r := &e.requests.all[i]
	if r.closed || r.streaming || r.inFlight > 0 {
		return Decision{}
	}
	timeout := r.deadline - e.now - e.responseMargin()
	switch {
	case timeout <= 0:
		return e.rejectOrFail(i, ReasonTooLate, 0)
	case len(r.attempts) == 0:
		return e.decideFirstAttempt(i, timeout)
	}
	return e.decideRetry(i, timeout)
}

// admissionOutcome is the decision on a request's first attempt, before a server is selected.
type admissionOutcome uint8

const (
	admissionRejected admissionOutcome = iota
	admissionGranted
	admissionPending // the quota owner has not responded
)

// admissionResult is the result of admitting a request.
type admissionResult struct {
	outcome    admissionOutcome
	reason     Reason // cause of a rejection
	retryAfter Time   // time until the limit may admit a rejected request; 0 if unknown
}

// decideFirstAttempt returns the action for a request that has had no attempt. The timeout is that of the attempt.
func (e *Engine) decideFirstAttempt(i requestSlot, timeout Time) Decision {
	r := &e.requests.all[i]
	result := e.admit(r)
	switch result.outcome {
	case admissionPending:
		return Decision{}
	case admissionRejected:
		return e.rejectOrFail(i, result.reason, result.retryAfter)
	}
	server := e.pick(r)
	if server < 0 {
		return e.rejectWithoutServer(i)
	}
	e.charge(r)
	e.retries.earn(e.endpoints.usableTracked)
	return e.forward(r, server, timeout)
}

// decideRetry returns the action for a request whose attempts have all ended. The timeout is that of the next attempt.
func (e *Engine) decideRetry(i requestSlot, timeout Time) Decision {
	r := &e.requests.all[i]
	if reason := e.retries.denyReason(r, e.now); reason != ReasonNone {
		return e.rejectOrFail(i, reason, 0)
	}
	server := e.pick(r)
	if server < 0 {
		return e.rejectWithoutServer(i)
	}
	e.retries.spend()
	return e.forward(r, server, timeout)
}

// forward starts an attempt at a server.
func (e *Engine) forward(r *request, to serverSlot, timeout Time) Decision {
	e.startAttempt(r, to)
	return Decision{Action: Forward, Request: r.id, Server: e.endpoints.servers[to].Server, Duration: timeout}
}

// admit applies the limits on a first attempt: the admission limit, the customer's quota and the plan's hard ceiling. A
// request that the quota owner granted has already passed the ceiling at the owner.
func (e *Engine) admit(r *request) admissionResult {
	if r.queriedOwnerAt == 0 {
		if reason := e.checkAdmission(r); reason != ReasonNone {
			return e.rejectAdmission(reason, 0)
		}
	}
	c := &e.customers.all[r.customer]
	quota := e.checkQuota(c, r)
	if !quota.admitted {
		if e.owner.waits(r, e.now) {
			return admissionResult{outcome: admissionPending}
		}
		return e.rejectAdmission(ReasonQuota, quota.retryAfter)
	}
	if r.ownerResponse != responseGranted {
		if !e.quota.ceilingAllows(c, r.units, e.owner.localCeilingRatio(c), e.now) {
			return e.rejectAdmission(ReasonCeiling, 0)
		}
	}
	return admissionResult{outcome: admissionGranted}
}

// checkQuota applies a customer's quota to a request, at this node or at the quota owner.
func (e *Engine) checkQuota(c *customer, r *request) quotaResult {
	if e.owner.owned(c) {
		return quotaResult{admitted: e.ownerAdmits(c, r), retryAfter: controlInterval}
	}
	return e.quota.admit(c, r, e.usualLatency(r.class), e.now)
}

// rejectAdmission counts a rejection by a limit and returns it.
func (e *Engine) rejectAdmission(reason Reason, retryAfter Time) admissionResult {
	e.interval.countRejection(reason)
	return admissionResult{outcome: admissionRejected, reason: reason, retryAfter: retryAfter}
}

// rejectWithoutServer counts and rejects a request that no server may take.
func (e *Engine) rejectWithoutServer(i requestSlot) Decision {
	e.interval.countRejection(ReasonNoServer)
	return e.rejectOrFail(i, ReasonNoServer, 0)
}

// charge charges an admitted request to the admission rate and its customer's quota.
func (e *Engine) charge(r *request) {
	c := &e.customers.all[r.customer]
	e.admission.tokens.level--
	e.interval.admitted++
	if !e.owner.owned(c) {
		c.charge(r.units, r.demandShare)
	} else if r.queriedOwnerAt == 0 {
		e.reportUse(c, r.customer, r.units, r.units)
	}
	if r.ownerResponse != responseGranted {
		c.ceiling.level -= r.units
	}
}

const (
	responseMarginTicks            = 2   // ticks in the response margin: one to notice an attempt's end, one to respond
	responseMarginObjectiveDivisor = 100 // rest of the response margin, as a divisor of the shortest latency objective
)

// responseMargin returns the time between the last attempt's timeout and a request's deadline, in which the final
// response is sent.
func (e *Engine) responseMargin() Time {
	return responseMarginTicks*e.config.tick + e.config.shortestObjective/responseMarginObjectiveDivisor
}

// minRetryAfterDivisor gives the least Retry-After, as a divisor of the shortest latency objective.
const minRetryAfterDivisor = 4

// rejectOrFail closes a request without a response from a server. It rejects a request that the client may safely
// repeat, and fails any other. If the settings ask for a Retry-After, a rejection carries retryAfter. The value is raised
// to the least Retry-After, and then lowered to the longest one of the settings.
func (e *Engine) rejectOrFail(i requestSlot, reason Reason, retryAfter Time) Decision {
	r := &e.requests.all[i]
	d := Decision{Action: Fail, Request: r.id, Reason: reason}
	if e.config.classes[r.class].harmlessToRepeat(r) {
		d.Action = Reject
		if e.config.sendsRetryAfter {
			least := e.config.shortestObjective / minRetryAfterDivisor
			d.Duration = min(max(retryAfter, least), e.config.maxRetryAfter)
		}
	}
	e.closeRequest(i)
	return d
}

// attemptAssessment is the information that an attempt's end carries.
type attemptAssessment struct {
	outcome         Outcome // outcome that counts for the server; NotSent if the end carries no information on the server
	latency         float64 // latency of the attempt, in latency objectives
	isLatencySample bool    // the admission limit takes latency as a sample
}

// shortTimeoutDivisor gives the shortest timeout that carries information, as a divisor of the latency objective.
const shortTimeoutDivisor = 2

// assessAttempt returns the information that an attempt's end carries on its server and on the back end's latency. The
// state is that of the server for the class.
//
// A timeout below half the latency objective carries no information, since the client left too little time. Some ends
// concern only the server, not the back end's queue: a timeout whose response is presumed lost, a broken connection, and
// any end at an ejected server. Other timeouts, and rejections by the server, count as one latency objective.
func (e *Engine) assessAttempt(result AttemptResult, class ClassID, state *outlierState) attemptAssessment {
	objective := e.config.classes[class].latencyObjective
	switch {
	case result.Outcome == Succeeded:
		latency := float64(result.Duration) / float64(objective)
		return attemptAssessment{outcome: Succeeded, latency: latency, isLatencySample: true}
	case result.Outcome == TimedOut && result.Duration < objective/shortTimeoutDivisor:
		return attemptAssessment{outcome: NotSent}
	case result.Outcome == TimedOut && e.outliers.presumedLost(result.Duration, e.usualLatency(class)):
		return attemptAssessment{outcome: TimedOut}
	}
	queued := result.Outcome == Overloaded || result.Outcome == TimedOut
	return attemptAssessment{outcome: result.Outcome, latency: 1, isLatencySample: queued && e.now >= state.ejectedUntil}
}
