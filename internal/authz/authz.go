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
	waitOf    = 0.25 // of a band's contract time, that an answer is awaited
	leaveOf   = 0.5  // of what the ticket has left, that a check may take at most
	failsMost = 5    // checks in a row that came to nothing, until the authoriser is left alone
	aloneOf   = 2.0  // of the wait, that it is left alone first; doubled each time a trial fails
	aloneMost = 5 * time.Second
)

// Band is how a band is checked.
type Band struct {
	Contract time.Duration
	Open     bool // where no answer comes its tickets pass; else they are bounced
}

// Config is what a Gate is told at its start.
type Config struct {
	Bands []Band
	Most  int // checks out at once

	Advice time.Duration // longest advice on when to come back; 0 where none may be given
}

// Verdict is what holds for a ticket.
type Verdict uint8

// The verdicts. Shut means that none came and the band is closed then: nothing has run, so trying again is harmless.
const (
	Ask    Verdict = iota // not yet: ask, and report the end
	Pass                  // it may be executed
	Denied                // the authoriser says no
	Shut
)

// Outcome is how a check ended.
type Outcome uint8

// The outcomes. Any end but the first two leaves what holds without an answer.
const (
	Allowed Outcome = iota
	Refused
	Silent // none in time
	Broken // the call broke, or its answer makes no sense
	Left   // the client went first: says nothing of the authoriser
)

// Counters count what a Gate did, for the node's log.
type Counters struct {
	Asked, Allowed, Refused, Silent, Left int64
	Opened, Closed                        int64 // tickets that passed, and that were bounced, without an answer
	Overrun                               int64 // of those, for too many checks out; the others for silence
	Rests                                 int64 // times that the authoriser was left alone
}

// Gate is one node's part.
type Gate struct {
	cfg   Config
	out   int
	fails int
	alone time.Duration // until then
	trial bool          // one check is out after that
	count Counters
}

// New makes a Gate.
func New(cfg Config) *Gate { return &Gate{cfg: cfg} }

// Count is what the gate did so far.
func (g *Gate) Count() Counters { return g.count }

// Advice is when a ticket of a band that found the gate shut does best to come again; 0 where that may not be said.
func (g *Gate) Advice(now time.Duration, band int) time.Duration {
	return min(max(g.alone-now, time.Duration(waitOf*float64(g.cfg.Bands[band].Contract))), g.cfg.Advice)
}

// Out is how many checks are out.
func (g *Gate) Out() int { return g.out }

// Begin decides on a ticket of a band that has so much time left: a verdict at once, or Ask, with how long to wait.
func (g *Gate) Begin(now time.Duration, band int, left time.Duration) (Verdict, time.Duration) {
	b := g.cfg.Bands[band]
	wait := min(time.Duration(waitOf*float64(b.Contract)), time.Duration(leaveOf*float64(left)))
	switch {
	case wait <= 0:
		return g.silence(b), 0
	case g.fails >= failsMost && (now < g.alone || g.trial):
		return g.silence(b), 0
	case g.out >= g.cfg.Most:
		g.count.Overrun++
		return g.silence(b), 0
	}
	g.trial = g.fails >= failsMost
	g.out++
	g.count.Asked++
	return Ask, wait
}

// silence is what holds for a band without an answer.
func (g *Gate) silence(b Band) Verdict {
	if b.Open {
		g.count.Opened++
		return Pass
	}
	g.count.Closed++
	return Shut
}

// Ended reports how a check ended that Begin asked for, once for each, and gives the ticket's verdict. What comes after a
// check was given up must not be reported: its ticket has its verdict. Waited is what Begin gave it: silence within less
// than a band's usual wait, as of a ticket with little time left, tells nothing of the authoriser.
func (g *Gate) Ended(now time.Duration, band int, o Outcome, waited time.Duration) Verdict {
	g.out--
	b := g.cfg.Bands[band]
	g.trial = false
	switch o {
	case Allowed:
		g.fails = 0
		g.count.Allowed++
		return Pass
	case Refused:
		g.fails = 0
		g.count.Refused++
		return Denied
	case Left:
		g.count.Left++
		return Shut
	}
	g.count.Silent++
	if o == Silent && waited < time.Duration(waitOf*float64(b.Contract)) {
		return g.silence(b)
	}
	// A crowd whose checks were out together when it fell silent counts as one failure more, not as many.
	if g.fails++; g.fails >= failsMost && now >= g.alone {
		g.count.Rests++
		rest := aloneOf * waitOf * float64(b.Contract) * math.Exp2(float64(min(g.fails-failsMost, 10)))
		g.alone = now + min(time.Duration(rest), aloneMost)
	} else if g.fails > failsMost {
		g.fails--
	}
	return g.silence(b)
}
