package decision

// retryBudget allows further attempts: by the request's class, by the limits on repeats and by a budget that
// first attempts earn, which guards against a storm of repeats when much fails at once. It could harm when a
// few servers fail outright under light load; the budget then holds a good reserve. An attempt that is late
// at an ejected server is cancelled, and the request sent again once that has ended.
type retryBudget struct {
	config *config
	left   float64
}

// earn adds what a first attempt earns, where so many servers are usable.
func (b *retryBudget) earn(usable int) { b.left = min(b.left+retryEarned, 2*float64(usable)) }

// spend takes off a further attempt.
func (b *retryBudget) spend() { b.left-- }

// allows tells whether a request may have another attempt.
func (b *retryBudget) allows(r *request, now Time) bool { return b.refusal(r, now) == ReasonNone }

// refusal is why a request may have no other attempt, if so.
func (b *retryBudget) refusal(r *request, now Time) Reason {
	switch {
	case len(r.attempts) >= b.config.maxAttempts:
		return ReasonMaxAttempts
	case b.left < 1:
		return ReasonRetryBudget
	}
	c := &b.config.classes[r.class]
	for _, a := range r.attempts {
		late := now+b.config.connectTimeout >= a.sent+c.keyWindow // past what servers know the key
		if a.mayHaveRun && (c.retrySafety == retryNever || c.retrySafety == retryKeyed && late) {
			return ReasonMayHaveRun
		}
	}
	return ReasonNone
}

// hedgeAfter is how long an attempt at an ejected server may take before it is cancelled.
func (b *retryBudget) hedgeAfter(class ClassID, usual float64) Time {
	objective := b.config.classes[class].latencyObjective
	return max(Time(hedgeAfterShare*float64(objective)), Time(hedgeAfterLatencies*usual))
}

// harmless tells whether a client may send a request again, though attempts may have run.
func (c *classConfig) harmless(r *request) bool {
	return c.retrySafety == retrySafe || c.retrySafety == retryKeyed && c.keyGroup == groupAll || !r.mayHaveRun()
}

// bound tells whether a request that may have run has to stay within the key group of an attempt, and so may
// not go to a server.
func (c *classConfig) bound(r *request, to *server, servers []server) bool {
	if c.retrySafety != retryKeyed {
		return false
	}
	for _, a := range r.attempts {
		if o := &servers[a.server]; a.mayHaveRun &&
			(c.keyGroup == groupZone && o.Zone != to.Zone || c.keyGroup == groupCell && o.Cell != to.Cell) {
			return true
		}
	}
	return false
}

// checkInterval is the time between two checks of the attempts in flight.
func (c *config) checkInterval() Time { return max(c.tick, c.shortestObjective/checksPerObjective, 1) }

// pollDelay is how long after a failed call discovery is polled again: a random part of a span, or nodes that
// start together poll in step and keep discovery full of calls no one waits for. It does not back off: a
// change is to be known 6 s after discovery can be reached.
func pollDelay(within float64, rng *random) Time {
	span := min(pollSpan*float64(interval), max(float64(interval), within))
	return Time(span * (pollFromShare + (1-pollFromShare)*rng.unit()))
}
