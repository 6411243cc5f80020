package decision

import "cherrygap/internal/numeric"

// retryBudget limits retries, and the cancellations of late attempts that lead to them.
//
//   - Inputs: first attempts, retries, the request's class, the outcomes of its attempts.
//   - State: the budget, in attempts.
//   - Rule: each first attempt earns retryBudgetRatio, each retry costs 1. A request that may have run is retried only
//     as its class allows. A late attempt at an ejected server is cancelled, and the request is retried once that
//     attempt has ended.
//   - Protects against: a storm of retries when many attempts fail.
//   - Trade-off: under light load, a few failed servers can use up the budget. Therefore it may grow to
//     maxRetryBudgetPerServer attempts for each usable server.
type retryBudget struct {
	config *config
	left   float64 // retries that the budget allows now
}

const (
	retryBudgetRatio        = 0.2  // retries that a first attempt earns
	maxRetryBudgetPerServer = 2    // largest retry budget, in attempts per usable server
	cancelDelayObjectives   = 0.33 // least age of a late attempt, in latency objectives
	cancelDelayLatencies    = 2.5  // least age of a late attempt, in usual latencies
)

// earn adds retryBudgetRatio for a first attempt. The budget's limit depends on the number of usable servers.
func (b *retryBudget) earn(usable int) {
	b.left = min(b.left+retryBudgetRatio, maxRetryBudgetPerServer*float64(usable))
}

// spend subtracts one retry from the budget.
func (b *retryBudget) spend() { b.left-- }

// allows reports whether a request may have another attempt now.
func (b *retryBudget) allows(r *request, now Time) bool { return b.denyReason(r, now) == ReasonNone }

// denyReason returns the reason for which a request may have no other attempt, or ReasonNone.
func (b *retryBudget) denyReason(r *request, now Time) Reason {
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

// repeatable reports whether a request of the class may run again at startBy, if the attempt may have run. A keyed
// request may run again while servers remember the idempotency key.
func (c *classConfig) repeatable(a *attempt, startBy Time) bool {
	switch c.retrySafety {
	case retryNever:
		return false
	case retryKeyed:
		return startBy < a.sentAt+c.keyWindow
	}
	return true
}

// cancelDelay returns the age from which an attempt at an ejected server is late. The usual latency is in units of Time.
func (b *retryBudget) cancelDelay(class ClassID, usualLatency float64) Time {
	objective := b.config.classes[class].latencyObjective
	return max(numeric.Truncate[Time](cancelDelayObjectives*float64(objective)), numeric.Truncate[Time](cancelDelayLatencies*usualLatency))
}

// cancelLateAttempts cancels a request's attempts that are late at ejected servers, unless its latency objective has
// passed or the request may have no other attempt. The request is retried once the cancelled attempt has ended.
func (e *Engine) cancelLateAttempts(r *request) {
	delay := e.retries.cancelDelay(r.class, e.usualLatency(r.class))
	objective := e.config.classes[r.class].latencyObjective
	if e.now >= r.arrivedAt+objective {
		return
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if !a.inFlight || e.now-a.sentAt < delay {
			continue
		}
		state := &e.endpoints.servers[a.server].byClass[r.class]
		if e.outliers.ejected(state, r.class, e.now) && e.retries.allows(r, e.now) {
			e.cancelAttempt(r, k)
		}
	}
}

// harmlessToRepeat reports whether the client may safely repeat a request after a rejection.
func (c *classConfig) harmlessToRepeat(r *request) bool {
	return c.retrySafety == retrySafe || c.retrySafety == retryKeyed && c.keyGroup == groupAll || !r.mayHaveRun()
}

// keyExcludes reports whether a keyed request must not go to a server. A server outside the key group of an attempt that
// may have run does not recognize the idempotency key.
func (c *classConfig) keyExcludes(r *request, to *server, servers []server) bool {
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
