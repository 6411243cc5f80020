// Package authz decides how requests are checked by an external authorizer that may be late, gone or overloaded: whether it
// is asked about a request, how long its answer is awaited, how many checks are in flight, and what holds where none came.
// It holds no I/O and no clock: times are given, as spans since any moment that stays the same. A request is sent to an app
// server only once its check is final; what a check took is gone from the request's time.
package authz

import "time"

// Tuned values, as ratios to settings.
const (
	waitShare    = 0.25 // of a class's latency objective, that an answer is awaited
	timeoutShare = 0.5  // of the time that the request has left, that a check may take at most
)

// Class is how the requests of a class are checked.
type Class struct {
	LatencyObjective time.Duration
	FailOpen         bool // where no answer comes its requests pass; else they are rejected
}

// Config is what a Policy starts from.
type Config struct {
	Classes       []Class       // by their numbers
	MaxInFlight   int           // checks at once
	MaxRetryAfter time.Duration // the longest time that a rejection may name; 0 where it may name none
}

// Verdict is what holds for a request.
type Verdict uint8

// The verdicts. Reject means that no answer came and the class fails closed: nothing has run, so that trying again is
// harmless.
const (
	CheckNeeded Verdict = iota // not yet: check it, and report the outcome to End
	Allow                      // it may be sent to an app server
	Deny                       // the authorizer says no
	Reject
)

// Outcome is how a check ended.
type Outcome uint8

// The outcomes. Any but the first two leaves what holds without an answer.
const (
	Allowed Outcome = iota
	Denied
	TimedOut
	Failed     // the call failed, or its answer makes no sense
	ClientGone // before the answer: says nothing of the authorizer
)

// Counters count what a Policy did, for the node's log.
type Counters struct {
	Checks, Allowed, Denied, Unanswered, ClientGone int64
	FailedOpen, FailedClosed                        int64 // requests that passed, and that were rejected, without an answer
	OverLimit                                       int64 // of those, for too many checks in flight
	BreakerOpened                                   int64 // times that the authorizer was left alone after failures
}

// Policy is one node's part. Its methods must not run at the same time.
type Policy struct {
	config   Config
	inFlight int
	breaker  breaker
	counters Counters
}

// New makes a Policy.
func New(cfg Config) *Policy { return &Policy{config: cfg} }

// Counters are what the policy did so far.
func (p *Policy) Counters() Counters { return p.counters }

// InFlight is how many checks are in flight.
func (p *Policy) InFlight() int { return p.inFlight }

// RetryAfter is when a rejected request of a class does best to come again; 0 where that may not be said.
func (p *Policy) RetryAfter(now time.Duration, class int) time.Duration {
	return min(max(p.breaker.openUntil-now, p.config.Classes[class].wait()), p.config.MaxRetryAfter)
}

// wait is how long an answer is awaited for a request with time enough.
func (c Class) wait() time.Duration { return time.Duration(waitShare * float64(c.LatencyObjective)) }

// Begin decides on a request of a class that has so much time left: a verdict at once, or CheckNeeded, with how long to
// wait for the answer.
func (p *Policy) Begin(now time.Duration, class int, left time.Duration) (Verdict, time.Duration) {
	c := p.config.Classes[class]
	wait := min(c.wait(), time.Duration(timeoutShare*float64(left)))
	if wait <= 0 || !p.breaker.allows(now) {
		return p.withoutAnswer(c), 0
	}
	if p.inFlight >= p.config.MaxInFlight {
		p.counters.OverLimit++
		return p.withoutAnswer(c), 0
	}
	p.breaker.begin()
	p.inFlight++
	p.counters.Checks++
	return CheckNeeded, wait
}

// withoutAnswer is what holds for a class without an answer.
func (p *Policy) withoutAnswer(c Class) Verdict {
	if c.FailOpen {
		p.counters.FailedOpen++
		return Allow
	}
	p.counters.FailedClosed++
	return Reject
}

// End reports how a check ended that Begin asked for, once for each, and returns the request's verdict. What comes after a
// check was given up must not be reported: its request has its verdict. Waited is what Begin gave it: no answer within less
// than a class's usual wait, as for a request with little time left, says nothing of the authorizer.
func (p *Policy) End(now time.Duration, class int, outcome Outcome, waited time.Duration) Verdict {
	c := p.config.Classes[class]
	p.inFlight--
	p.breaker.ended()
	switch outcome {
	case Allowed:
		p.breaker.succeeded()
		p.counters.Allowed++
		return Allow
	case Denied:
		p.breaker.succeeded()
		p.counters.Denied++
		return Deny
	case ClientGone:
		p.counters.ClientGone++
		return Reject
	}
	p.counters.Unanswered++
	if hurried := outcome == TimedOut && waited < c.wait(); !hurried && p.breaker.failed(now, c.LatencyObjective) {
		p.counters.BreakerOpened++
	}
	return p.withoutAnswer(c)
}
