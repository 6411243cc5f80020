package routing

import (
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

// TestKnowsClassAndPlan checks that a request needs both a class and a plan of the settings.
func TestKnowsClassAndPlan(t *testing.T) {
	for _, c := range []struct {
		class, plan string
		want        bool
	}{{"seats", "team", true}, {"seats", "solo", false}, {"rows", "team", false}, {"", "", false}} {
		r, _, _ := startRouter(t, settings.RetrySafe, 0)
		if got := r.KnowsClassAndPlan(&protocol.Request{Class: c.class, Plan: c.plan}); got != c.want {
			t.Errorf("KnowsClassAndPlan(class %q, plan %q) = %t, want %t", c.class, c.plan, got, c.want)
		}
	}
}

// TestWithinLimits checks the limits of a request's units and set of nodes, also with missing and unreadable settings.
func TestWithinLimits(t *testing.T) {
	for _, c := range []struct {
		name            string
		nodes, maxUnits string // texts of the settings Nodes and MaxUnits
		request         protocol.Request
		want            bool
	}{
		{"all at the limit", "3", "6", protocol.Request{Units: 6, Spread: 3, FirstNode: 2}, true},
		{"too many units", "3", "6", protocol.Request{Units: 6.1, Spread: 1}, false},
		{"no limit of units", "3", "", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"a limit of 0 is none", "3", "0", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"an unreadable limit is none", "3", "six", protocol.Request{Units: 1e9, Spread: 1}, true},
		{"too many nodes in the set", "3", "6", protocol.Request{Units: 1, Spread: 4}, false},
		{"the set's first node does not exist", "3", "6", protocol.Request{Units: 1, Spread: 1, FirstNode: 3}, false},
		{"missing node count is one: spread 1", "", "6", protocol.Request{Units: 1, Spread: 1}, true},
		{"missing node count is one: spread 2", "", "6", protocol.Request{Units: 1, Spread: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := oneClassSettings(settings.RetrySafe)
			set[settings.Nodes], set[settings.MaxUnits] = c.nodes, c.maxUnits
			if got := newRouter(t, Config{Settings: settings.Parse(set)}).WithinLimits(&c.request); got != c.want {
				t.Errorf("WithinLimits(%+v) = %t, want %t", c.request, got, c.want)
			}
		})
	}
}

// sharedLease is a Quota whose units are shared by all tenants.
type sharedLease struct{ left, demand float64 }

func (l *sharedLease) RecordDemand(_ quota.Customer, units float64) { l.demand += units }
func (l *sharedLease) Available(quota.Customer) float64             { return l.left }
func (l *sharedLease) RecordUse(_ quota.Customer, units float64)    { l.left -= units }

// TestTheEngineAdmitsByTheLease guards against an engine that admits by its own token buckets although the quota is leased,
// and against retries that use units of the lease.
func TestTheEngineAdmitsByTheLease(t *testing.T) {
	set := oneClassSettings(settings.RetrySafe)
	set[settings.Nodes] = "3"
	set[settings.PlanKey(0, settings.PlanRate)], set[settings.PlanKey(0, settings.PlanBurst)] = "100", "100"
	lease := &sharedLease{left: 3}
	r := newRouter(t, Config{Settings: settings.Parse(set), Quota: lease})
	r.UpdateEndpoints(serverList(3, protocol.InService), FromCache)
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
		t.Errorf("admitted %d requests, %v units left, demand %v; want 5, 0, 20", admitted, lease.left, lease.demand)
	}
}

// TestPlansWithoutARateAreNotLeased checks that a plan without a readable, positive rate has no leased quota.
func TestPlansWithoutARateAreNotLeased(t *testing.T) {
	for _, rate := range []string{"", "0", "-1", "NaN", "fast"} {
		t.Run(rate, func(t *testing.T) {
			set := oneClassSettings(settings.RetrySafe)
			set[settings.PlanKey(0, settings.PlanRate)], set[settings.PlanKey(0, settings.PlanBurst)] = rate, "100"
			s := newRequestSettings(settings.Parse(set))
			if tenant, ok := s.leaseCustomer(0, &seatRequest); ok {
				t.Errorf("leaseCustomer with rate %q = %+v, true, want false", rate, tenant)
			}
		})
	}
}
