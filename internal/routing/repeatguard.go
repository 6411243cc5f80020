package routing

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// RepeatFault is why an attempt that the engine decided on is held back; empty: it is not.
type RepeatFault string

// The faults of an attempt that would break the promise on repeats.
const (
	RepeatFaultNone     RepeatFault = ""
	RepeatFaultTogether RepeatFault = "an attempt is out"
	RepeatFaultUnsafe   RepeatFault = "an attempt of an unsafe request may have run"
	RepeatFaultGroup    RepeatFault = "an attempt may have run in another group"
	RepeatFaultWindow   RepeatFault = "an attempt may have run too long ago"
	RepeatFaultRefusal  RepeatFault = "a rejection though an attempt may have run"
)

// repeatRule is the settings' rule on repeats for a request class.
type repeatRule struct {
	safety settings.RetrySafety
	group  settings.IdempotencyGroup // servers that share idempotency keys
	window time.Duration             // time for which a server knows a key
}

// newRepeatRules returns the rules of all classes, by number.
func newRepeatRules(set *settings.Settings) []repeatRule {
	rules := make([]repeatRule, set.Classes.Len())
	for i := range rules {
		class := set.Classes.At(i)
		rules[i] = repeatRule{class.RetrySafety, class.IdempotencyGroup, class.IdempotencyWindow.Truncated()}
	}
	return rules
}

// repeatGuard keeps a request's attempts from running twice, by what it has seen of them itself: it shares no state with
// the engine, whose decisions it checks.
type repeatGuard struct {
	rule    repeatRule
	out     bool // an attempt is in flight,
	current ranAttempt
	ran     []ranAttempt // that are not proven never to have run
}

// ranAttempt is when and where an attempt was decided on.
type ranAttempt struct {
	at   time.Time
	zone string
	cell int
}

// reset readies the guard for a request.
func (g *repeatGuard) reset(rule repeatRule) {
	g.rule, g.out, g.ran = rule, false, g.ran[:0]
}

// check returns what an attempt at a server would break now.
func (g *repeatGuard) check(to *Server, now time.Time) RepeatFault {
	if g.out {
		return RepeatFaultTogether
	}
	for _, earlier := range g.ran {
		switch {
		case g.rule.safety == settings.RetrySafe:
		case g.rule.safety != settings.RetryKeyed:
			return RepeatFaultUnsafe
		case g.rule.group == settings.GroupZone && earlier.zone != to.zone,
			g.rule.group == settings.GroupCell && earlier.cell != to.cell:
			return RepeatFaultGroup
		case !now.Before(earlier.at.Add(g.rule.window)):
			return RepeatFaultWindow
		}
	}
	return RepeatFaultNone
}

// checkRejection returns what a rejection, which promises that trying again is harmless, would break.
func (g *repeatGuard) checkRejection() RepeatFault {
	knownEverywhere := g.rule.safety == settings.RetryKeyed && g.rule.group != settings.GroupZone && g.rule.group != settings.GroupCell
	if g.rule.safety == settings.RetrySafe || knownEverywhere || len(g.ran) == 0 && !g.out {
		return RepeatFaultNone
	}
	return RepeatFaultRefusal
}

// finishBy is when the attempt that begins has to be whole at its server; zero: no earlier one sets a bound.
func (g *repeatGuard) finishBy() time.Time {
	if g.rule.safety != settings.RetryKeyed || len(g.ran) == 0 {
		return time.Time{}
	}
	return g.ran[0].at.Add(g.rule.window)
}

// begin notes an attempt that goes out now.
func (g *repeatGuard) begin(to *Server, now time.Time) {
	g.out, g.current = true, ranAttempt{now, to.zone, to.cell}
}

// end notes how the attempt ended that is out.
func (g *repeatGuard) end(outcome protocol.Outcome) {
	if g.out && !outcome.NeverRan() {
		g.ran = append(g.ran, g.current)
	}
	g.out = false
}
