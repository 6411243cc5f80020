package decision

import (
	"slices"
)

// answerMargin keeps final answers clear of the outer limit: an end is seen and answered a tick late each.
func (n *Engine) answerMargin() Time { return 2*n.tick + n.shortestObjective/100 }

// rejectOrFail answers a ticket at once: bounced where trying again is harmless, else broken off.
func (n *Engine) rejectOrFail(i int32, advice Time) Decision {
	t := &n.requests[i]
	b := &n.classes[t.class]
	harmless := b.retrySafety == retrySafe || b.retrySafety == retryKeyed && b.keyGroup == "all"
	if !harmless {
		harmless = !slices.ContainsFunc(t.attempts, func(x attempt) bool { return x.mayHaveRun })
	}
	d := Decision{Action: Fail, Request: t.id}
	if harmless {
		d.Action = Reject
		if n.settings.Enabled("advice") {
			d.Duration = min(max(advice, n.shortestObjective/4), n.settings.Duration("advice.most"))
		}
	}
	n.closeRequest(i)
	return d
}

// mayRetry tells whether a ticket may have another execution: by its band, by the rules on copies and by the
// budget, which guards against a storm of repeats when much fails at once. It could harm when a few servers
// fail outright under light load; the budget then holds a good reserve.
func (n *Engine) mayRetry(t *request) bool {
	if len(t.attempts) >= max(1, int(n.settings.Number("executions"))) || n.retryBudget < 1 {
		return false
	}
	b := &n.classes[t.class]
	for _, x := range t.attempts {
		if x.mayHaveRun && (b.retrySafety == retryNever || b.retrySafety == retryKeyed && n.now+n.connectTimeout >= x.sent+b.keyWindow) {
			return false
		}
	}
	return true
}

// checkAttempts looks over what is open. A server is silent when all that is out there has together waited for so
// many usual latencies with nothing coming back, that chance hardly explains it; it
// rests, then gets a trial. This guards against servers that stand still or hang without an error and
// against cut links. It could harm where works differ far more than usual; others then take its turn.
// An execution late at a suspected server is called back, and the ticket sent again once that has ended.
func (n *Engine) checkAttempts() {
	n.checkAt = n.now + max(n.tick, n.shortestObjective/checksPerObjective, 1)
	n.sumPaces()
	for _, i := range n.view {
		for k := range n.servers[i].byClass {
			n.servers[i].byClass[k].waited, n.servers[i].byClass[k].lost = 0, 0
		}
	}
	for i := range n.requests {
		t := &n.requests[i]
		for _, x := range t.attempts {
			if t.live && x.inFlight {
				s, usual := &n.servers[x.server].byClass[t.class], n.usualLatency(&n.classes[t.class])
				s.waited += float64(n.now-max(x.sent, s.answeredAt, s.countedFrom)) / usual
				if float64(n.now-x.sent) > silentLatencies*usual {
					s.lost++
				}
			}
		}
	}
	for _, i := range n.view {
		for k := range n.servers[i].byClass {
			if s := &n.servers[i].byClass[k]; s.waited > silentLatencies && n.now >= s.ejectedUntil {
				s.consecutiveFailures++
				s.countedFrom, s.trialInFlight = n.now, false
				n.eject(s)
			}
		}
	}
	for i := range n.requests {
		t := &n.requests[i]
		if t.live && !t.closed && t.askedOwnerAt > 0 && len(t.attempts) == 0 && !n.waitsForOwner(t) { // its home has not answered
			n.enqueue(int32(i))
		}
		if !t.live || t.inFlight == 0 {
			continue
		}
		b := &n.classes[t.class]
		due := max(Time(hedgeAfterShare*float64(b.latencyObjective)), Time(hedgeAfterLatencies*n.usualLatency(b)))
		for k := range t.attempts {
			x := &t.attempts[k]
			if !x.inFlight || t.closed || t.streaming || n.now-x.sent < due ||
				n.now >= t.arrived+b.latencyObjective || !n.ejected(t.class, &n.servers[x.server].byClass[t.class]) || !n.mayRetry(t) {
				continue
			}
			n.cancelAttempt(t, k)
		}
	}
	if n.now >= n.intervalEnd {
		n.closeInterval()
	}
}
