package authz

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newPolicy returns a policy with two classes. Class 0 fails open, class 1 fails closed.
func newPolicy(maxInFlight int) *Policy {
	return New(Config{
		Classes: []Class{
			{LatencyObjective: 400 * time.Millisecond, FailOpen: true},
			{LatencyObjective: 800 * time.Millisecond},
		},
		MaxInFlight: maxInFlight, MaxRetryAfter: time.Second,
	})
}

// TestVerdictFollowsOutcomeOrClass checks that the outcome of the check decides on a request. Without an answer its class
// decides. A wrong verdict would let denied requests pass, or reject allowed ones.
func TestVerdictFollowsOutcomeOrClass(t *testing.T) {
	for class, unanswered := range []Verdict{Allow, Reject} {
		for outcome, want := range map[Outcome]Verdict{
			Allowed: Allow, Denied: Deny, TimedOut: unanswered, Failed: unanswered, ClientGone: Reject,
		} {
			t.Run(fmt.Sprintf("class %d, outcome %d", class, outcome), func(t *testing.T) {
				p := newPolicy(4)
				if d := p.Begin(0, class, time.Hour); d.Verdict != CheckNeeded || d.Timeout != p.config.Classes[class].LatencyObjective/4 {
					t.Fatalf("Begin() = %+v, want verdict %d (CheckNeeded) and timeout %v",
						d, CheckNeeded, p.config.Classes[class].LatencyObjective/4)
				}
				if v := p.End(0, class, outcome, p.config.Classes[class].LatencyObjective/4); v != want || p.InFlight() != 0 {
					t.Errorf("End() = verdict %d (1 is Allow, 2 Deny, 3 Reject), %d checks in flight after outcome %d (%d is Allowed, %d Denied, %d TimedOut, %d Failed, %d ClientGone); want %d, 0",
						v, p.InFlight(), outcome, Allowed, Denied, TimedOut, Failed, ClientGone, want)
				}
			})
		}
		t.Run(fmt.Sprintf("class %d, no check may be in flight", class), func(t *testing.T) {
			p := newPolicy(0)
			if d := p.Begin(0, class, time.Hour); d.Verdict != unanswered || p.Counters().OverLimit != 1 {
				t.Errorf("Begin() = %+v, OverLimit %d; want verdict %d (1 is Allow, 3 Reject) and OverLimit 1", d, p.Counters().OverLimit, unanswered)
			}
		})
	}
}

// TestTimeoutOfRequestWithLittleTimeLeft checks that the check of a request with little time left has a shorter timeout.
// If such a check times out, that does not count against the authorizer. Otherwise such requests could open the breaker
// although the authorizer is fast enough.
func TestTimeoutOfRequestWithLittleTimeLeft(t *testing.T) {
	if d := newPolicy(4).Begin(0, 1, 100*time.Millisecond); d.Verdict != CheckNeeded || d.Timeout != 50*time.Millisecond {
		t.Errorf("Begin() with 100ms left = %+v, want verdict %d (CheckNeeded) and timeout 50ms", d, CheckNeeded)
	}
	p := newPolicy(4)
	for range 3 * maxFailures {
		p.Begin(0, 1, 100*time.Millisecond)
		p.End(0, 1, TimedOut, 50*time.Millisecond)
	}
	if d := p.Begin(0, 1, time.Hour); d.Verdict != CheckNeeded {
		t.Errorf("Begin() after shortened timeouts = %+v, want verdict %d (CheckNeeded)", d, CheckNeeded)
	}
	if d := newPolicy(4).Begin(0, 1, -1); d.Verdict != Reject {
		t.Errorf("Begin() with no time left = %+v, want verdict %d (Reject)", d, Reject)
	}
}

// TestUnresponsiveAuthorizerGetsTrialsOnly checks that an authorizer that does not answer receives one trial check at a
// time. Once it answers, all requests are checked again. Without the limit, checks would pile up at an overloaded
// authorizer and keep it overloaded.
func TestUnresponsiveAuthorizerGetsTrialsOnly(t *testing.T) {
	p, random, checks := newPolicy(16), rand.New(rand.NewPCG(1, 1)), 0
	var timeouts []time.Duration // times at which the checks in flight time out
	for now := time.Duration(0); now < 30*time.Second; now += 5 * time.Millisecond {
		if d := p.Begin(now, 1, time.Second); d.Verdict == CheckNeeded {
			checks++
			timeouts = append(timeouts, now+d.Timeout)
		} else if d.Verdict != Reject {
			t.Fatalf("Begin() at %v = %+v, want verdict %d (CheckNeeded) or %d (Reject)", now, d, CheckNeeded, Reject)
		}
		for len(timeouts) > 0 && timeouts[0] <= now {
			timeouts = timeouts[1:]
			p.End(now, 1, TimedOut, 200*time.Millisecond)
		}
		if p.InFlight() > 16 {
			t.Fatalf("InFlight() at %v = %d, want at most 16", now, p.InFlight())
		}
	}
	if checks > 16+40 || p.Counters().BreakerOpened < 4 { // These are the checks up to the limit in flight, and the trials.
		t.Errorf("%d checks in 30 s, counters %+v; want at most 56 checks and BreakerOpened at least 4", checks, p.Counters())
	}
	for now := 30 * time.Second; now < 45*time.Second; now += 5 * time.Millisecond {
		if p.Begin(now, 1, time.Second).Verdict == CheckNeeded {
			p.End(now, 1, []Outcome{Allowed, Denied, ClientGone}[random.IntN(3)], 0)
		}
	}
	if d := p.Begin(45*time.Second, 1, time.Second); d.Verdict != CheckNeeded || p.breaker.consecutiveFailures > 0 {
		t.Errorf("Begin() after answers = %+v with %d consecutive failures, want verdict %d (CheckNeeded) and 0 failures",
			d, p.breaker.consecutiveFailures, CheckNeeded)
	}
	if after := p.RetryAfter(45*time.Second, 1); after != 200*time.Millisecond {
		t.Errorf("RetryAfter() with a closed breaker = %v, want the timeout 200ms", after)
	}
}
