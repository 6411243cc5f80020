package decision

// retryBudget limits retries and hedged requests.
//
//   - Inputs: first attempts, retries, the request's class, the outcomes of its attempts.
//   - State: the budget, in attempts.
//   - Rule: each first attempt earns retryBudgetRatio, each retry costs 1. A request that may have run is retried only
//     as its class allows. A late attempt at an ejected server is cancelled, and the request is retried once that ends.
//   - Protects against: a storm of retries when many attempts fail.
//   - Trade-off: under light load, a few failed servers can use up the budget. Therefore it may grow to
//     maxRetryBudgetPerServer attempts for each usable server.
type retryBudget struct {
	config *config
	left   float64
}

const (
	retryBudgetRatio        = 0.2  // retries that a first attempt earns
	maxRetryBudgetPerServer = 2    // largest retry budget, in attempts per usable server
	hedgeDelayObjectives    = 0.33 // least delay before a hedge, in latency objectives
	hedgeDelayLatencies     = 2.5  // least delay before a hedge, in usual latencies
)

// earn adds the share of a first attempt, where usable is the number of usable servers.
func (b *retryBudget) earn(usable int) {
	b.left = min(b.left+retryBudgetRatio, maxRetryBudgetPerServer*float64(usable))
}

// spend takes a retry off the budget.
func (b *retryBudget) spend() { b.left-- }

// allows reports whether a request may have another attempt.
func (b *retryBudget) allows(r *request, now Time) bool { return b.refusal(r, now) == ReasonNone }

// refusal returns the reason for which a request may have no other attempt, or ReasonNone.
func (b *retryBudget) refusal(r *request, now Time) Reason {
	switch {
	case len(r.attempts) >= b.config.maxAttempts:
		return ReasonMaxAttempts
	case b.left < 1:
		return ReasonRetryBudget
	}
	c := &b.config.classes[r.class]
	for _, a := range r.attempts {
		if a.mayHaveRun && !c.repeatable(&a, now+b.config.connectTimeout) {
			return ReasonMayHaveRun
		}
	}
	return ReasonNone
}

// repeatable reports whether a request may run again at a time, though the attempt may have run. A keyed request may,
// while servers remember the idempotency key.
func (c *classConfig) repeatable(a *attempt, at Time) bool {
	switch c.retrySafety {
	case retryNever:
		return false
	case retryKeyed:
		return at < a.sent+c.keyWindow
	}
	return true
}

// hedgeAfter returns the time after which an attempt at an ejected server is cancelled. The usual latency is in units
// of Time.
func (b *retryBudget) hedgeAfter(class ClassID, usualLatency float64) Time {
	objective := b.config.classes[class].latencyObjective
	return max(Time(hedgeDelayObjectives*float64(objective)), Time(hedgeDelayLatencies*usualLatency))
}

// hedge cancels a request's attempts that are late at ejected servers, if the request may have another attempt in time.
func (e *Engine) hedge(r *request) {
	hedgeAfter := e.retries.hedgeAfter(r.class, e.usualLatency(r.class))
	objective := e.config.classes[r.class].latencyObjective
	if e.now >= r.arrived+objective {
		return
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if !a.inFlight || e.now-a.sent < hedgeAfter {
			continue
		}
		state := &e.endpoints.servers[a.server].byClass[r.class]
		if e.outliers.ejected(state, r.class, e.now) && e.retries.allows(r, e.now) {
			e.cancelAttempt(r, k)
		}
	}
}

// harmless reports whether the client may safely repeat a request after a rejection.
func (c *classConfig) harmless(r *request) bool {
	return c.retrySafety == retrySafe || c.retrySafety == retryKeyed && c.keyGroup == groupAll || !r.mayHaveRun()
}

// bound reports whether a request must not go to a server because of its idempotency key. Servers outside the key group
// of an attempt that may have run do not recognize the key.
func (c *classConfig) bound(r *request, to *server, servers []server) bool {
	if c.retrySafety != retryKeyed {
		return false
	}
	for _, a := range r.attempts {
		if a.mayHaveRun && !c.sameKeyGroup(&servers[a.server], to) {
			return true
		}
	}
	return false
}

// sameKeyGroup reports whether an idempotency key that is known to server a is known to server b.
func (c *classConfig) sameKeyGroup(a, b *server) bool {
	switch c.keyGroup {
	case groupZone:
		return a.Zone == b.Zone
	case groupCell:
		return a.Cell == b.Cell
	}
	return true
}
