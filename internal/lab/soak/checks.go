package soak

import (
	"context"
	"net/http"
	"time"

	"cherrygap/internal/settings"
)

const (
	checkDelay    = 3 * time.Second // from a request's deadline to its check
	checkInterval = 500 * time.Millisecond
)

// checkPeriodically checks the requests that are over, until ctx ends.
func (c *checker) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		c.checkUntil(c.now().Add(-checkDelay))
	}
}

// checkUntil checks and forgets the requests whose deadline was before a moment.
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

// checkCeilings checks the first attempts of each customer under the capped plan, over the whole run.
func (c *checker) checkCeilings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, ceiling := range c.ceilings {
		if ceiling.lowest < 0 {
			c.violate(ruleCeiling, -1, "", "customer %d's tokens fell to %.1f", i, ceiling.lowest)
		}
	}
}

// checkRequest checks a request's complete history. It skips the times of attempts that the server read late: if the connection
// was closed before the read, they are the time of its close. The caller holds the lock.
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

// checkResponse checks that a request has a response, and that a rejection is one.
func (c *checker) checkResponse(r *request) {
	if !r.answered && r.clientClosedAt.IsZero() && r.waiver == "" {
		c.violate(ruleAnswer, r.node, r.id, "%s: no response, %d attempts", r.class.name, len(r.attempts))
	}
	if r.status == http.StatusConflict { // the node had read the request before its client sent it again
		c.violate(ruleUnreadClose, r.node, r.id, "its connection was closed without a response, though it had been read")
	}
	rejected := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if rejected && r.class.retrySafety == settings.RetryUnsafe && r.mayHaveExecuted() {
		c.violate(ruleRejection, r.node, r.id, "status %d though an attempt may have been executed", r.status)
	}
}

// checkTimes checks an attempt against its client's close and deadline.
func (c *checker) checkTimes(r *request, a *attempt) {
	if !r.clientClosedAt.IsZero() {
		if late := a.begunAt.Sub(r.clientClosedAt) - c.slackAt(clientCloseSlack, a.begunAt); late > 0 {
			c.violate(ruleClientClosed, r.node, r.id, "an attempt began %v past the slack after its client had closed", late)
		}
	}
	if excess := a.timeout - r.deadline().Sub(a.begunAt) - c.slackAt(deadlineSlack, a.begunAt); excess > 0 {
		c.violate(ruleDeadline, r.node, r.id, "an attempt's timeout ended %v past the deadline and slack: %s", excess, r.describe())
	}
}

// checkRetry checks an attempt against an earlier one that may have been executed.
func (c *checker) checkRetry(r *request, earlier, a *attempt) {
	unsafe := r.class.retrySafety == settings.RetryUnsafe
	if a.readLate || earlier.readLate { // without exact times only the number of attempts counts
		if unsafe {
			c.violate(ruleRepeatedEffect, r.node, r.id, "%s: repeated: %s", r.class.name, r.describe())
		}
		return
	}
	after := a.begunAt.Sub(earlier.begunAt)
	switch {
	case unsafe:
		c.violate(ruleRepeatedEffect, r.node, r.id, "%s: repeated %v after an attempt that may have been executed", r.class.name, after)
	case r.class.retrySafety == settings.RetryKeyed && after > r.class.window+c.slackAt(graceSlack, a.begunAt):
		c.violate(ruleRepeatedEffect, r.node, r.id, "%s: repeated %v after an attempt, past its key's window", r.class.name, after)
	}
	if earlier.endedAt.IsZero() || earlier.endedAt.Sub(a.begunAt) > c.slackAt(concurrencySlack, a.begunAt) {
		c.violate(ruleConcurrentAttempts, r.node, r.id, "%s: two attempts in flight: %s", r.class.name, r.describe())
	}
}
