// Package authz decides which requests an external authorizer checks, and what happens to a request without an answer. The
// authorizer may be slow, unreachable or overloaded.
//
//   - Inputs: requests with the time until their deadline, and the outcomes of the checks.
//   - State: the number of checks in flight, and a circuit breaker.
//   - Rule: a request is checked unless no time is left, too many checks are in flight, or the breaker is open. Without an
//     answer within the timeout, the request's class decides. It fails open (the request is allowed) or closed (the request
//     is rejected).
//   - Protects against: added latency from a slow authorizer, and an overload of the authorizer.
//   - Trade-off: requests of a class that fails open may pass unchecked.
//
// The package holds no I/O and no clock. The host passes the current time to each call, as the time since any fixed origin.
package authz

import (
	"time"

	"cherrygap/internal/numeric"
)

const (
	// timeoutObjectives is the timeout of a check, as a multiple of the latency objective of the request's class.
	timeoutObjectives = 0.25
	// maxTimeoutRatio is the longest timeout of a check, as a share of the time until the request's deadline.
	maxTimeoutRatio = 0.5
)

// Class is the policy for the requests of a class.
type Class struct {
	LatencyObjective time.Duration
	FailOpen         bool // whether a request without an answer is allowed; otherwise it is rejected
}

// Config configures a Policy.
type Config struct {
	Classes       []Class       // policies of the request classes, by class number
	MaxInFlight   int           // maximum number of checks in flight; with 0 no request is checked
	MaxRetryAfter time.Duration // longest result of Policy.RetryAfter; 0 for no Retry-After
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// CheckNeeded asks the caller to check the request with the authorizer, and to call End with the outcome.
	CheckNeeded Verdict = iota
	// Allow admits the request.
	Allow
	// Deny refuses the request because the authorizer denied it.
	Deny
	// Reject refuses the request because there was no answer. The client may retry it, because the request was not executed.
	Reject
)

// Outcome is the outcome of a check.
type Outcome uint8

const (
	// Allowed is an answer that allows the request.
	Allowed Outcome = iota
	// Denied is an answer that denies the request.
	Denied
	// TimedOut is a check without an answer within its timeout.
	TimedOut
	// Failed is a failed call, or a malformed answer.
	Failed
	// ClientGone is a check that ended because the client disconnected. It does not count against the authorizer.
	ClientGone
)

// Counters count events since New.
type Counters struct {
	Checks        int64 // checks begun
	Allowed       int64 // checks with the outcome Allowed
	Denied        int64 // checks with the outcome Denied
	Unanswered    int64 // checks with the outcome TimedOut or Failed
	ClientGone    int64 // checks with the outcome ClientGone
	FailedOpen    int64 // requests allowed without an answer
	FailedClosed  int64 // requests rejected without an answer
	OverLimit     int64 // requests that were not checked because of Config.MaxInFlight
	BreakerOpened int64 // times that the circuit breaker opened
}

// Policy decides on the checks of one node. It is not safe for concurrent use.
type Policy struct {
	config   Config
	inFlight int // checks between Begin and End
	breaker  breaker
	counters Counters
}

// New returns a Policy without checks in flight.
func New(cfg Config) *Policy { return &Policy{config: cfg} }

// Counters returns the counts since New.
func (p *Policy) Counters() Counters { return p.counters }

// InFlight returns the number of checks in flight.
func (p *Policy) InFlight() int { return p.inFlight }

// RetryAfter returns the Retry-After of a rejected request of a class. It is the time until the breaker allows a check, but
// at least the timeout of a check and at most Config.MaxRetryAfter.
func (p *Policy) RetryAfter(now time.Duration, class int) time.Duration {
	return min(max(p.breaker.openUntil-now, p.config.Classes[class].timeout()), p.config.MaxRetryAfter)
}

// timeout returns the full timeout of a check in this class. Begin shortens it for a request with little time left.
func (c Class) timeout() time.Duration {
	return numeric.Truncate[time.Duration](timeoutObjectives * float64(c.LatencyObjective))
}

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	Timeout time.Duration // timeout of the check; set only for CheckNeeded
}

// Begin decides on a request of a class. timeLeft is the time until the request's deadline. After CheckNeeded the caller
// must call End once, with the outcome of the check.
func (p *Policy) Begin(now time.Duration, class int, timeLeft time.Duration) Decision {
	c := p.config.Classes[class]
	timeout := min(c.timeout(), numeric.Truncate[time.Duration](maxTimeoutRatio*float64(timeLeft)))
	if timeout <= 0 || !p.breaker.allows(now) {
		return Decision{Verdict: p.unansweredVerdict(c)}
	}
	if p.inFlight >= p.config.MaxInFlight {
		p.counters.OverLimit++
		return Decision{Verdict: p.unansweredVerdict(c)}
	}
	p.breaker.begin()
	p.inFlight++
	p.counters.Checks++
	return Decision{Verdict: CheckNeeded, Timeout: timeout}
}

// unansweredVerdict returns the verdict on a request without an answer, and counts it.
func (p *Policy) unansweredVerdict(c Class) Verdict {
	if c.FailOpen {
		p.counters.FailedOpen++
		return Allow
	}
	p.counters.FailedClosed++
	return Reject
}

// End ends a check that Begin asked for, and returns the final verdict. timeout is the Decision's Timeout. The caller must
// discard an answer that arrives after End. A check that timed out counts against the authorizer only if its timeout was the
// full one of its class.
func (p *Policy) End(now time.Duration, class int, outcome Outcome, timeout time.Duration) Verdict {
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
	shortened := outcome == TimedOut && timeout < c.timeout()
	if !shortened && p.breaker.failed(now, c.LatencyObjective) {
		p.counters.BreakerOpened++
	}
	return p.unansweredVerdict(c)
}
