package routing

import (
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

func TestKnowsClassAndPlan(t *testing.T) {
	for _, c := range []struct {
		class, plan string
		want        bool
	}{{"seats", "team", true}, {"seats", "solo", false}, {"rows", "team", false}, {"", "", false}} {
		r, _, _ := startRouter(t, settings.RetrySafe, 0)
		if got := r.KnowsClassAndPlan(&protocol.Request{Class: c.class, Plan: c.plan}); got != c.want {
			t.Errorf("class %q and plan %q: %t", c.class, c.plan, got)
		}
	}
}

func TestWithinLimits(t *testing.T) {
	for _, c := range []struct {
		name           string
		nodes, largest string // settings
		request        protocol.Request
		want           bool
	}{
		{"all at the bound", "3", "6", protocol.Request{Units: 6, Spread: 3, FirstNode: 2}, true},
		{"too many units", "3", "6", protocol.Request{Units: 6.1, Spread: 1}, false},
		{"no bound to units", "3", "", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"a bound of 0 is none", "3", "0", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"a bound that can't be read is none", "3", "six", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"too wide a set", "3", "6", protocol.Request{Units: 1, Spread: 4}, false},
		{"a set that begins at no node", "3", "6", protocol.Request{Units: 1, Spread: 1, FirstNode: 3}, false},
		{"nodes missing are one", "", "6", protocol.Request{Units: 1, Spread: 1}, true},
		{"nodes missing are not two", "", "6", protocol.Request{Units: 1, Spread: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settingsOf(settings.RetrySafe)
			set[settings.Nodes], set[settings.MaxUnits] = c.nodes, c.largest
			if got := newRouter(t, Config{Settings: settings.Parse(set)}).WithinLimits(&c.request); got != c.want {
				t.Errorf("%+v: %t", c.request, got)
			}
		})
	}
}

// leaseOf is a Quota with a number of units left, shared by all tenants.
type leaseOf struct{ left, demand float64 }

func (l *leaseOf) RecordDemand(_ quota.Customer, units float64) { l.demand += units }
func (l *leaseOf) Available(quota.Customer) float64             { return l.left }
func (l *leaseOf) RecordUse(_ quota.Customer, units float64)    { l.left -= units }

// Where quotas are leased, the engine admits the available units, whatever its own token buckets hold. Retries use no units.
func TestTheEngineAdmitsByTheLease(t *testing.T) {
	set := settingsOf(settings.RetrySafe)
	set[settings.Nodes] = "3"
	set[settings.PlanKey(0, settings.PlanRate)], set[settings.PlanKey(0, settings.PlanBurst)] = "100", "100"
	lease := &leaseOf{left: 3}
	r := newRouter(t, Config{Settings: settings.Parse(set), Quota: lease})
	r.UpdateEndpoints(listOf(3, protocol.InService), FromCache)
	req, in, admitted := r.NewRequest(&cancelRecorder{}), seatRequest, 0
	in.Spread = 3
	for i := range 20 {
		if i == 10 {
			lease.left = 2
		}
		req.Start(&in, 2*time.Second)
		d := req.Next()
		if d.Action != Forward {
			continue
		}
		admitted++
		req.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
		if d = req.Next(); d.Action == Forward {
			req.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
		}
	}
	if admitted != 5 || lease.left != 0 || lease.demand != 20 {
		t.Errorf("%d admitted, %v left, demand %v", admitted, lease.left, lease.demand)
	}
}

// A plan without a readable rate is not leased.
func TestPlansWithoutARateAreNotLeased(t *testing.T) {
	for _, rate := range []string{"", "0", "-1", "NaN", "fast"} {
		t.Run(rate, func(t *testing.T) {
			set := settingsOf(settings.RetrySafe)
			set[settings.PlanKey(0, settings.PlanRate)], set[settings.PlanKey(0, settings.PlanBurst)] = rate, "100"
			s := newRequestSettings(settings.Parse(set))
			if tenant, ok := s.leaseCustomer(0, &seatRequest); ok {
				t.Errorf("leased: %+v", tenant)
			}
		})
	}
}
