package soak

import (
	"context"
	"net/http"
	"time"

	"cherrygap/internal/settings"
)

const (
	checkDelay    = 3 * time.Second // time from a request's deadline to its check
	checkInterval = 500 * time.Millisecond
)

// checkPeriodically checks the requests whose deadline passed checkDelay ago, until ctx ends.
func (c *checker) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		c.checkUntil(c.now().Add(-checkDelay))
	}
}

// checkUntil checks and removes the requests whose deadline was before a moment.
func (c *checker) checkUntil(moment time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		if r.deadline().Before(moment) {
			c.checkRequest(r)
			delete(c.requests, id)
		}
	}
}

// checkCeilings checks that the first attempts of each capped customer kept to the hard ceiling over the whole run.
func (c *checker) checkCeilings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, bucket := range c.ceilings {
		if bucket.minTokens < 0 {
			c.recordViolationLocked(ruleCeiling, -1, "", "the tokens of capped customer %d fell to %.1f, want 0 or more",
				i, bucket.minTokens)
		}
	}
}

// checkRequest checks a request's complete history. It does not check the times of an attempt that the server read late. Such an
// attempt has the time of the connection's close if the connection was closed before the read. The caller holds the lock.
func (c *checker) checkRequest(r *request) {
	c.checkResponse(r)
	for i, a := range r.attempts {
		if !a.readLate {
			c.checkTimes(r, a)
		}
		for _, earlier := range r.attempts[:i] {
			if !earlier.notExecuted {
				c.checkRetry(r, earlier, a)
			}
		}
	}
}

// checkResponse checks that a request has a response, and that a rejected unsafe request was not executed.
func (c *checker) checkResponse(r *request) {
	if !r.answered && r.clientClosedAt.IsZero() && r.waiver == "" {
		c.recordViolationLocked(ruleResponse, r.node, r.id, "class %s: no response after %d attempts",
			r.class.name, len(r.attempts))
	}
	if r.status == http.StatusConflict { // the node had read the request already when the client sent it again
		c.recordViolationLocked(ruleCloseAfterRead, r.node, r.id,
			"the node closed the connection without a response although it had read the request")
	}
	rejected := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if rejected && r.class.retrySafety == settings.RetryUnsafe && r.mayHaveExecuted() {
		c.recordViolationLocked(ruleRejection, r.node, r.id,
			"the response rejects the request with status %d although an attempt may have been executed", r.status)
	}
}

// checkTimes checks that an attempt did not begin after its client closed the connection, and that its timeout does not pass the
// deadline.
func (c *checker) checkTimes(r *request, a *attempt) {
	if !r.clientClosedAt.IsZero() {
		if late := a.receivedAt.Sub(r.clientClosedAt) - c.toleranceAt(clientCloseTolerance, a.receivedAt); late > 0 {
			c.recordViolationLocked(ruleClientClosed, r.node, r.id,
				"an attempt at server %d began %v later than the tolerance after the client closed the connection", a.server, late)
		}
	}
	if excess := a.timeout - r.deadline().Sub(a.receivedAt) - c.toleranceAt(deadlineTolerance, a.receivedAt); excess > 0 {
		c.recordViolationLocked(ruleDeadline, r.node, r.id, "the timeout of an attempt at server %d ends %v after the deadline and its tolerance: %s",
			a.server, excess, r.describe())
	}
}

// checkRetry checks an attempt against an earlier one that may have been executed.
func (c *checker) checkRetry(r *request, earlier, a *attempt) {
	unsafe := r.class.retrySafety == settings.RetryUnsafe
	if a.readLate || earlier.readLate { // without exact times, only the number of attempts can be checked
		if unsafe {
			c.recordViolationLocked(ruleRepeatedEffect, r.node, r.id,
				"class %s: the request was repeated although an attempt may have been executed: %s", r.class.name, r.describe())
		}
		return
	}
	interval := a.receivedAt.Sub(earlier.receivedAt)
	switch {
	case unsafe:
		c.recordViolationLocked(ruleRepeatedEffect, r.node, r.id,
			"class %s: the request was repeated %v after an attempt that may have been executed", r.class.name, interval)
	case r.class.retrySafety == settings.RetryKeyed && interval > r.class.idempotencyWindow+c.toleranceAt(graceTolerance, a.receivedAt):
		c.recordViolationLocked(ruleRepeatedEffect, r.node, r.id, "class %s: the request was repeated %v after an attempt, want within %v",
			r.class.name, interval, r.class.idempotencyWindow)
	}
	if earlier.endedAt.IsZero() || earlier.endedAt.Sub(a.receivedAt) > c.toleranceAt(concurrencyTolerance, a.receivedAt) {
		c.recordViolationLocked(ruleConcurrentAttempts, r.node, r.id, "class %s: two attempts were in flight at the same time: %s",
			r.class.name, r.describe())
	}
}
