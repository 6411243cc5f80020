// Package authz decides how tickets are checked by an outside authoriser that may be late, gone or overrun: whether a ticket
// is asked for, how long its answer is awaited, how many checks are out at once, and what holds where none came. It holds
// no I/O and no clock. A ticket is executed only once its check is final; what a check took is gone from the ticket's time.
package authz

import (
	"math"
	"time"
)

// Tuned values, as ratios to settings.
const (
	waitShare    = 0.25 // of a band's contract time, that an answer is awaited
	timeoutShare = 0.5  // of what the ticket has left, that a check may take at most
	maxFailures  = 5    // checks in a row that came to nothing, until the authoriser is left alone
	openWaits    = 2.0  // of the wait, that it is left alone first; doubled each time a trial fails
	maxOpen      = 5 * time.Second
)

// Class is how a band is checked.
type Class struct {
	LatencyObjective time.Duration
	FailOpen         bool // where no answer comes its tickets pass; else they are bounced
}

// Config is what a Gate is told at its start.
type Config struct {
	Classes     []Class
	MaxInFlight int // checks out at once

	MaxRetryAfter time.Duration // longest advice on when to come back; 0 where none may be given
}

// Verdict is what holds for a ticket.
type Verdict uint8

// The verdicts. Shut means that none came and the band is closed then: nothing has run, so trying again is harmless.
const (
	CheckNeeded Verdict = iota // not yet: ask, and report the end
	Allow                      // it may be executed
	Deny                       // the authoriser says no
	Reject
)

// Outcome is how a check ended.
type Outcome uint8

// The outcomes. Any end but the first two leaves what holds without an answer.
const (
	Allowed Outcome = iota
	Denied
	TimedOut   // none in time
	Failed     // the call broke, or its answer makes no sense
	ClientGone // the client went first: says nothing of the authoriser
)

// Counters count what a Gate did, for the node's log.
type Counters struct {
	Checks, Allowed, Denied, Unanswered, ClientGone int64
	FailedOpen, FailedClosed                        int64 // tickets that passed, and that were bounced, without an answer
	OverLimit                                       int64 // of those, for too many checks out; the others for silence
	BreakerOpened                                   int64 // times that the authoriser was left alone
}

// Policy is one node's part.
type Policy struct {
	config              Config
	inFlight            int
	consecutiveFailures int
	openUntil           time.Duration // until then
	trialInFlight       bool          // one check is out after that
	counters            Counters
}

// New makes a Gate.
func New(cfg Config) *Policy { return &Policy{config: cfg} }

// Counters is what the gate did so far.
func (g *Policy) Counters() Counters { return g.counters }

// RetryAfter is when a ticket of a band that found the gate shut does best to come again; 0 where that may not be said.
func (g *Policy) RetryAfter(now time.Duration, band int) time.Duration {
	return min(max(g.openUntil-now, time.Duration(waitShare*float64(g.config.Classes[band].LatencyObjective))), g.config.MaxRetryAfter)
}

// InFlight is how many checks are out.
func (g *Policy) InFlight() int { return g.inFlight }

// Begin decides on a ticket of a band that has so much time left: a verdict at once, or Ask, with how long to wait.
func (g *Policy) Begin(now time.Duration, band int, left time.Duration) (Verdict, time.Duration) {
	b := g.config.Classes[band]
	wait := min(time.Duration(waitShare*float64(b.LatencyObjective)), time.Duration(timeoutShare*float64(left)))
	switch {
	case wait <= 0:
		return g.withoutAnswer(b), 0
	case g.consecutiveFailures >= maxFailures && (now < g.openUntil || g.trialInFlight):
		return g.withoutAnswer(b), 0
	case g.inFlight >= g.config.MaxInFlight:
		g.counters.OverLimit++
		return g.withoutAnswer(b), 0
	}
	g.trialInFlight = g.consecutiveFailures >= maxFailures
	g.inFlight++
	g.counters.Checks++
	return CheckNeeded, wait
}

// withoutAnswer is what holds for a band without an answer.
func (g *Policy) withoutAnswer(b Class) Verdict {
	if b.FailOpen {
		g.counters.FailedOpen++
		return Allow
	}
	g.counters.FailedClosed++
	return Reject
}

// End reports how a check ended that Begin asked for, once for each, and gives the ticket's verdict. What comes after a
// check was given up must not be reported: its ticket has its verdict. Waited is what Begin gave it: silence within less
// than a band's usual wait, as of a ticket with little time left, tells nothing of the authoriser.
func (g *Policy) End(now time.Duration, band int, o Outcome, waited time.Duration) Verdict {
	g.inFlight--
	b := g.config.Classes[band]
	g.trialInFlight = false
	switch o {
	case Allowed:
		g.consecutiveFailures = 0
		g.counters.Allowed++
		return Allow
	case Denied:
		g.consecutiveFailures = 0
		g.counters.Denied++
		return Deny
	case ClientGone:
		g.counters.ClientGone++
		return Reject
	}
	g.counters.Unanswered++
	if o == TimedOut && waited < time.Duration(waitShare*float64(b.LatencyObjective)) {
		return g.withoutAnswer(b)
	}
	// A crowd whose checks were out together when it fell silent counts as one failure more, not as many.
	if g.consecutiveFailures++; g.consecutiveFailures >= maxFailures && now >= g.openUntil {
		g.counters.BreakerOpened++
		rest := openWaits * waitShare * float64(b.LatencyObjective) * math.Exp2(float64(min(g.consecutiveFailures-maxFailures, 10)))
		g.openUntil = now + min(time.Duration(rest), maxOpen)
	} else if g.consecutiveFailures > maxFailures {
		g.consecutiveFailures--
	}
	return g.withoutAnswer(b)
}
