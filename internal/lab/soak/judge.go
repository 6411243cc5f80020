package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	settleAfter   = 3 * time.Second // a request's time and this after it, it is judged
	sweepInterval = 500 * time.Millisecond
)

// sweep judges the requests that are long over, until ctx ends.
func (l *ledger) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(sweepInterval)
		l.judge(time.Now().Add(-settleAfter))
	}
}

// judge judges and forgets the requests whose time was over by a moment.
func (l *ledger) judge(over time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.requests {
		if r.deadline().Before(over) {
			l.judgeRequest(r)
			delete(l.requests, id)
		}
	}
}

// judgeCeilings judges what customers under the capped plan drew over the whole run.
func (l *ledger) judgeCeilings() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.ceilings {
		if c.worst < 0 {
			l.violate(ruleCeiling, -1, "", "customer %d's store fell to %.1f", i, c.worst)
		}
	}
}

func (l *ledger) judgeRequest(r *request) {
	if !r.answered && r.leftAt.IsZero() && r.void == "" {
		l.violate(ruleAnswer, r.node, r.id, "%s: no answer, %d attempts", r.class.name, len(r.attempts))
	}
	if r.status == http.StatusConflict {
		l.violate(ruleRead, r.node, r.id, "its connection was closed with no answer, though it had been read")
	}
	for i, a := range r.attempts {
		l.judgeAttempt(r, a)
		if i > 0 {
			l.judgeRetry(r, i)
		}
	}
	if rejected := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests; rejected &&
		r.class.semantics == semanticsUnsafe && r.mayHaveRun() {
		l.violate(ruleRefusal, r.node, r.id, "status %d though an attempt may have run", r.status)
	}
}

func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.neverRan {
			return true
		}
	}
	return false
}

// describe is a request's attempts, with times since it was sent.
func (r *request) describe() string {
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return at.Sub(r.sentAt).Round(time.Millisecond)
	}
	text := fmt.Sprintf("status %d, left %v;", r.status, since(r.leftAt))
	for _, a := range r.attempts {
		text += fmt.Sprintf(" server %d from %v to %v, told %v, never ran %v;", a.server, since(a.begunAt), since(a.endedAt), a.told, a.neverRan)
	}
	return text
}

func (l *ledger) judgeAttempt(r *request, a *attempt) {
	if a.readLate { // where its connection was closed by then, the kernel's stamp is that of the close
		return
	}
	if !r.leftAt.IsZero() {
		if late := a.begunAt.Sub(r.leftAt) - l.slackAt(leftSlack, a.begunAt); late > 0 {
			l.violate(ruleLeft, r.node, r.id, "an attempt began %v past the slack after its client had left", late)
		}
	}
	if more := a.told - r.deadline().Sub(a.begunAt) - l.slackAt(deadlineSlack, a.begunAt); more > 0 {
		l.violate(ruleDeadline, r.node, r.id, "a server was told %v more than was left and slack: %s", more, r.describe())
	}
}

func (l *ledger) judgeRetry(r *request, i int) {
	a := r.attempts[i]
	for _, earlier := range r.attempts[:i] {
		if earlier.neverRan {
			continue
		}
		if a.readLate || earlier.readLate { // its times are not known: only that there were two
			if r.class.semantics == semanticsUnsafe {
				l.violate(ruleRepeat, r.node, r.id, "%s: begun again: %s", r.class.name, r.describe())
			}
			continue
		}
		after := a.begunAt.Sub(earlier.begunAt)
		switch {
		case r.class.semantics == semanticsUnsafe:
			l.violate(ruleRepeat, r.node, r.id, "%s: begun again %v after an attempt that may have run", r.class.name, after)
		case r.class.semantics == semanticsKeyed && after > r.class.window+l.slackAt(graceSlack, a.begunAt):
			l.violate(ruleRepeat, r.node, r.id, "%s: begun again %v after an attempt, out of its window", r.class.name, after)
		}
		if earlier.endedAt.IsZero() || earlier.endedAt.Sub(a.begunAt) > l.slackAt(togetherSlack, a.begunAt) {
			l.violate(ruleTogether, r.node, r.id, "%s: two attempts out at once: %s", r.class.name, r.describe())
		}
	}
}
