package authz

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newPolicy is a policy of two classes, of which the first fails open.
func newPolicy(maxInFlight int) *Policy {
	return New(Config{
		Classes: []Class{
			{LatencyObjective: 400 * time.Millisecond, FailOpen: true},
			{LatencyObjective: 800 * time.Millisecond},
		},
		MaxInFlight: maxInFlight, MaxRetryAfter: time.Second,
	})
}

// Each request gets one verdict, after its check where one was asked for; no answer leaves what its class says.
func TestVerdicts(t *testing.T) {
	for class, unanswered := range []Verdict{Allow, Reject} {
		for outcome, want := range map[Outcome]Verdict{
			Allowed: Allow, Denied: Deny, TimedOut: unanswered, Failed: unanswered, ClientGone: Reject,
		} {
			t.Run(fmt.Sprintf("class %d, outcome %d", class, outcome), func(t *testing.T) {
				p := newPolicy(4)
				if v, wait := p.Begin(0, class, time.Hour); v != CheckNeeded || wait != p.config.Classes[class].LatencyObjective/4 {
					t.Fatalf("%v, %v", v, wait)
				}
				if v := p.End(0, class, outcome, p.config.Classes[class].LatencyObjective/4); v != want || p.InFlight() != 0 {
					t.Errorf("%v", v)
				}
			})
		}
		t.Run(fmt.Sprintf("class %d, none may be in flight", class), func(t *testing.T) {
			p := newPolicy(0)
			if v, _ := p.Begin(0, class, time.Hour); v != unanswered || p.Counters().OverLimit != 1 {
				t.Errorf("%v", v)
			}
		})
	}
}

func TestLittleTimeLeft(t *testing.T) {
	if v, wait := newPolicy(4).Begin(0, 1, 100*time.Millisecond); v != CheckNeeded || wait != 50*time.Millisecond {
		t.Errorf("little time left: %v, %v", v, wait)
	}
	p := newPolicy(4)
	for range 3 * maxFailures { // clients with little time left say nothing of the authorizer
		p.Begin(0, 1, 100*time.Millisecond)
		p.End(0, 1, TimedOut, 50*time.Millisecond)
	}
	if v, _ := p.Begin(0, 1, time.Hour); v != CheckNeeded {
		t.Errorf("after clients with little time left: %v", v)
	}
	if v, _ := newPolicy(4).Begin(0, 1, -1); v != Reject {
		t.Errorf("no time left: %v", v)
	}
}

// An authorizer that does not answer is left alone, then tried by one check at a time, and asked again once it answers.
func TestSilentAuthorizerIsLeftAlone(t *testing.T) {
	p, random, checks := newPolicy(16), rand.New(rand.NewPCG(1, 1)), 0
	var timeouts []time.Duration // of the checks in flight
	for now := time.Duration(0); now < 30*time.Second; now += 5 * time.Millisecond {
		if v, wait := p.Begin(now, 1, time.Second); v == CheckNeeded {
			checks++
			timeouts = append(timeouts, now+wait)
		} else if v != Reject {
			t.Fatal(v)
		}
		for len(timeouts) > 0 && timeouts[0] <= now {
			timeouts = timeouts[1:]
			p.End(now, 1, TimedOut, 200*time.Millisecond)
		}
		if p.InFlight() > 16 {
			t.Fatalf("%d in flight", p.InFlight())
		}
	}
	if checks > 16+40 || p.Counters().BreakerOpened < 4 { // the first ones at once, then trials
		t.Errorf("%d checks in 30 s, %+v", checks, p.Counters())
	}
	for now := 30 * time.Second; now < 45*time.Second; now += 5 * time.Millisecond {
		if v, _ := p.Begin(now, 1, time.Second); v == CheckNeeded {
			p.End(now, 1, []Outcome{Allowed, Denied, ClientGone}[random.IntN(3)], 0)
		}
	}
	if v, _ := p.Begin(45*time.Second, 1, time.Second); v != CheckNeeded || p.breaker.consecutiveFailures > 0 {
		t.Error("it answers again and is not asked")
	}
	if after := p.RetryAfter(45*time.Second, 1); after != 200*time.Millisecond {
		t.Errorf("retry after %v", after)
	}
}
