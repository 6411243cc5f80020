package authz

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newPolicy returns a policy of two classes. The first one fails open, the second one closed.
func newPolicy(maxInFlight int) *Policy {
	return New(Config{
		Classes: []Class{
			{LatencyObjective: 400 * time.Millisecond, FailOpen: true},
			{LatencyObjective: 800 * time.Millisecond},
		},
		MaxInFlight: maxInFlight, MaxRetryAfter: time.Second,
	})
}

// The outcome of the check decides on a request. Without an answer its class decides.
func TestVerdictFollowsOutcomeOrClass(t *testing.T) {
	for class, unanswered := range []Verdict{Allow, Reject} {
		for outcome, want := range map[Outcome]Verdict{
			Allowed: Allow, Denied: Deny, TimedOut: unanswered, Failed: unanswered, ClientGone: Reject,
		} {
			t.Run(fmt.Sprintf("class %d, outcome %d", class, outcome), func(t *testing.T) {
				p := newPolicy(4)
				if d := p.Begin(0, class, time.Hour); d.Verdict != CheckNeeded || d.Timeout != p.config.Classes[class].LatencyObjective/4 {
					t.Fatalf("%+v", d)
				}
				if v := p.End(0, class, outcome, p.config.Classes[class].LatencyObjective/4); v != want || p.InFlight() != 0 {
					t.Errorf("%v", v)
				}
			})
		}
		t.Run(fmt.Sprintf("class %d, no check may be in flight", class), func(t *testing.T) {
			p := newPolicy(0)
			if d := p.Begin(0, class, time.Hour); d.Verdict != unanswered || p.Counters().OverLimit != 1 {
				t.Errorf("%+v", d)
			}
		})
	}
}

// A request with little time left has a shorter timeout, which does not count against the authorizer.
func TestTimeoutOfRequestWithLittleTimeLeft(t *testing.T) {
	if d := newPolicy(4).Begin(0, 1, 100*time.Millisecond); d.Verdict != CheckNeeded || d.Timeout != 50*time.Millisecond {
		t.Errorf("little time left: %+v", d)
	}
	p := newPolicy(4)
	for range 3 * maxFailures {
		p.Begin(0, 1, 100*time.Millisecond)
		p.End(0, 1, TimedOut, 50*time.Millisecond)
	}
	if d := p.Begin(0, 1, time.Hour); d.Verdict != CheckNeeded {
		t.Errorf("after shortened timeouts: %+v", d)
	}
	if d := newPolicy(4).Begin(0, 1, -1); d.Verdict != Reject {
		t.Errorf("no time left: %+v", d)
	}
}

// An authorizer that does not answer gets one trial check at a time. Once it answers, all requests are checked again.
func TestUnresponsiveAuthorizerGetsTrialsOnly(t *testing.T) {
	p, random, checks := newPolicy(16), rand.New(rand.NewPCG(1, 1)), 0
	var timeouts []time.Duration // times at which the checks in flight time out
	for now := time.Duration(0); now < 30*time.Second; now += 5 * time.Millisecond {
		if d := p.Begin(now, 1, time.Second); d.Verdict == CheckNeeded {
			checks++
			timeouts = append(timeouts, now+d.Timeout)
		} else if d.Verdict != Reject {
			t.Fatalf("%+v", d)
		}
		for len(timeouts) > 0 && timeouts[0] <= now {
			timeouts = timeouts[1:]
			p.End(now, 1, TimedOut, 200*time.Millisecond)
		}
		if p.InFlight() > 16 {
			t.Fatalf("%d in flight", p.InFlight())
		}
	}
	if checks > 16+40 || p.Counters().BreakerOpened < 4 { // the limit in flight, then trials
		t.Errorf("%d checks in 30 s, %+v", checks, p.Counters())
	}
	for now := 30 * time.Second; now < 45*time.Second; now += 5 * time.Millisecond {
		if p.Begin(now, 1, time.Second).Verdict == CheckNeeded {
			p.End(now, 1, []Outcome{Allowed, Denied, ClientGone}[random.IntN(3)], 0)
		}
	}
	if d := p.Begin(45*time.Second, 1, time.Second); d.Verdict != CheckNeeded || p.breaker.consecutiveFailures > 0 {
		t.Errorf("after answers: %+v, %d consecutive failures", d, p.breaker.consecutiveFailures)
	}
	if after := p.RetryAfter(45*time.Second, 1); after != 200*time.Millisecond {
		t.Errorf("retry after %v", after)
	}
}
