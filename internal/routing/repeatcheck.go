package routing

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// RepeatViolation is the reason why the repeat check forbids an attempt or a rejection, as a text for the log.
type RepeatViolation string

// The violations that the repeat check finds.
const (
	RepeatViolationNone      RepeatViolation = ""
	RepeatViolationInFlight  RepeatViolation = "an attempt is in flight"
	RepeatViolationUnsafe    RepeatViolation = "an attempt of an unsafe request may have run"
	RepeatViolationGroup     RepeatViolation = "an attempt may have run in another key group"
	RepeatViolationWindow    RepeatViolation = "an attempt may have run and its key window is over"
	RepeatViolationRejection RepeatViolation = "a rejection though an attempt may have run"
)

// repeatRule is the rule of a request class on repeated attempts, from the settings.
type repeatRule struct {
	safety settings.RetrySafety
	group  settings.IdempotencyGroup // servers that share idempotency keys
	window time.Duration             // time for which a server remembers a key
}

// newRepeatRules returns the rules of all classes, by class number.
func newRepeatRules(set *settings.Settings) []repeatRule {
	rules := make([]repeatRule, set.Classes.Len())
	for i := range rules {
		class := set.Classes.At(i)
		rules[i] = repeatRule{class.RetrySafety, class.IdempotencyGroup, class.IdempotencyWindow.Truncated()}
	}
	return rules
}

// repeatCheck checks the engine's decisions on one request against the rule of its class. At most one attempt is in
// flight, and an attempt that may have run is repeated only if the class allows it. The check shares no state with the
// engine, so that a bug there does not hide a violation. Router.mu guards the check.
type repeatCheck struct {
	rule       repeatRule
	inFlight   bool
	current    attemptRecord   // attempt in flight, if inFlight is set
	mayHaveRun []attemptRecord // ended attempts without proof that they never ran
}

// attemptRecord is the time at which an attempt was decided on, with the zone and the cell of its server.
type attemptRecord struct {
	decidedAt time.Time
	zone      string
	cell      int
}

// reset prepares the check for a new request.
func (c *repeatCheck) reset(rule repeatRule) {
	c.rule, c.inFlight, c.mayHaveRun = rule, false, c.mayHaveRun[:0]
}

// checkAttempt returns the violation that an attempt at the server would be at the time now.
func (c *repeatCheck) checkAttempt(server *Server, now time.Time) RepeatViolation {
	if c.inFlight {
		return RepeatViolationInFlight
	}
	for _, earlier := range c.mayHaveRun {
		if violation := c.rule.checkRepeat(earlier, server, now); violation != RepeatViolationNone {
			return violation
		}
	}
	return RepeatViolationNone
}

// checkRepeat returns the violation that an attempt at the server would be after an earlier one that may have run.
func (r *repeatRule) checkRepeat(earlier attemptRecord, server *Server, now time.Time) RepeatViolation {
	switch {
	case r.safety == settings.RetrySafe:
		return RepeatViolationNone
	case r.safety != settings.RetryKeyed:
		return RepeatViolationUnsafe
	case r.group == settings.GroupZone && earlier.zone != server.zone,
		r.group == settings.GroupCell && earlier.cell != server.cell:
		return RepeatViolationGroup
	case !now.Before(earlier.decidedAt.Add(r.window)):
		return RepeatViolationWindow
	}
	return RepeatViolationNone
}

// checkRejection returns the violation that a rejection would be now. A rejection promises the client that a retry is
// harmless at every server.
func (c *repeatCheck) checkRejection() RepeatViolation {
	neverRan := len(c.mayHaveRun) == 0 && !c.inFlight
	if neverRan || c.rule.allowsRepeatAnywhere() {
		return RepeatViolationNone
	}
	return RepeatViolationRejection
}

// allowsRepeatAnywhere reports whether a repeat is harmless at every server.
func (r *repeatRule) allowsRepeatAnywhere() bool {
	groupHasAllServers := r.group != settings.GroupZone && r.group != settings.GroupCell
	return r.safety == settings.RetrySafe || r.safety == settings.RetryKeyed && groupHasAllServers
}

// finishBy returns the time by which a server must have received the whole request. That is the end of the key window of
// the first attempt that may have run. Without a limit, finishBy returns the zero Time.
func (c *repeatCheck) finishBy() time.Time {
	if c.rule.safety != settings.RetryKeyed || len(c.mayHaveRun) == 0 {
		return time.Time{}
	}
	return c.mayHaveRun[0].decidedAt.Add(c.rule.window)
}

// begin records that an attempt at the server starts at the time now.
func (c *repeatCheck) begin(server *Server, now time.Time) {
	c.inFlight, c.current = true, attemptRecord{now, server.zone, server.cell}
}

// end records the outcome of the attempt in flight. Without such an attempt it has no effect.
func (c *repeatCheck) end(outcome protocol.Outcome) {
	if c.inFlight && !outcome.NeverRan() {
		c.mayHaveRun = append(c.mayHaveRun, c.current)
	}
	c.inFlight = false
}
