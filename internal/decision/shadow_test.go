package decision

import (
	"maps"
	"reflect"
	"testing"

	"cherrygap/internal/settings"
)

// shadowedRun runs 400 requests of one customer, of which some fail, and returns the decisions.
func shadowedRun(own, other Settings) (did []Decision, n *Engine) {
	n = plain(6, own)
	if other != nil {
		all := plainSettings(own)
		maps.Copy(all, other)
		n.StartShadow(all.parse())
	}
	for id := range RequestID(400) {
		n.SetTime(Second + Time(id)*200)
		n.AddRequest(Request{ID: id, Customer: CustomerID(id % 3), Timeout: Second, Units: 1, Spread: 1})
		for d, ok := n.Next(); ok; d, ok = n.Next() {
			d.Payload = nil
			did = append(did, d)
			if d.Action == Forward {
				r := AttemptResult{
					Request: d.Request, Attempt: len(n.requests.all[n.requests.slots.find(d.Request)].attempts) - 1, Server: d.Server,
					Duration: 400, Final: true,
				}
				if d.Request%7 == 0 && r.Attempt == 0 {
					r.Outcome, r.Final = Failed, false
				}
				n.AttemptEnded(r)
			}
		}
	}
	return did, n
}

// Shadow evaluation counts no difference under equal settings, counts a known one by its kind, and changes no decision.
func TestShadowCountsAndNeverActs(t *testing.T) {
	want, _ := shadowedRun(nil, nil)
	for _, c := range []struct {
		other Settings
		kind  string
		least int64
	}{
		{nil, "", 0},
		{Settings{
			settings.PlanKey(0, settings.PlanRate): "2", settings.PlanKey(0, settings.PlanBurst): "2",
		}, "forward_would_reject", 200},
		{Settings{settings.ClassKey(0, settings.ClassRetrySafety): settings.RetryUnsafe}, "forward_would_fail", 30},
		{Settings{settings.MaxAttempts: "1"}, "forward_would_reject", 30},
		{Settings{
			settings.PlanKey(0, settings.PlanCeilingRate): "1", settings.PlanKey(0, settings.PlanCeilingBurst): "1",
		}, "forward_would_reject", 200},
	} {
		other := c.other
		if other == nil {
			other = Settings{}
		}
		did, n := shadowedRun(nil, other)
		if !reflect.DeepEqual(did, want) {
			t.Errorf("%v: the shadow changed what was decided", other)
		}
		seen, differs := n.ShadowCounts()
		if seen < 400 || differs[c.kind] < c.least || (c.kind == "") != (len(differs) == 0) {
			t.Errorf("%v: of %d decisions %v", other, seen, differs)
		}
	}
	if seen, differs := plain(1, nil).ShadowCounts(); seen != 0 || differs != nil {
		t.Error("counted without a shadow")
	}
}

// Random days with shadow evaluation keep the rules and have the same decisions as without it.
func TestShadowChangesNoDecision(t *testing.T) {
	for seed := range int64(12) {
		a, b := newHost(seed), newHost(seed)
		other := maps.Clone(b.set)
		maps.Copy(other, Settings{
			settings.Nodes: "60", settings.PlanKey(0, settings.PlanRate): "1",
			settings.PlanKey(2, settings.PlanMaxInFlight):   "1",
			settings.ClassKey(0, settings.ClassRetrySafety): settings.RetryUnsafe,
		})
		for range 600 {
			b.engine.StartShadow(other.parse())
			a.step()
			b.step()
		}
		if a.err != nil || b.err != nil || a.sent != b.sent || a.complete != b.complete || a.rejected != b.rejected {
			t.Fatalf("seed %d: %d, %d, %d without, %d, %d, %d with a shadow: %v", seed, a.sent, a.complete, a.rejected,
				b.sent, b.complete, b.rejected, b.err)
		}
	}
}

// In a large fleet, equal settings count no difference: the buckets at an owner are charged for the requests that it
// grants to others.
func TestShadowWithQuotaOwners(t *testing.T) {
	for _, other := range []Settings{
		{}, {settings.PlanKey(0, settings.PlanRate): "1", settings.PlanKey(0, settings.PlanBurst): "3"},
	} {
		f := newFleet(t, Settings{
			settings.PlanKey(0, settings.PlanRate): "4", settings.PlanKey(0, settings.PlanBurst): "12",
		})
		for k, n := range f.nodes {
			all := maps.Clone(f.sets[k])
			maps.Copy(all, other)
			n.StartShadow(all.parse())
		}
		f.ask(10, Second, 9*Second)
		differs := int64(0)
		for _, n := range f.nodes {
			_, kinds := n.ShadowCounts()
			for _, k := range kinds {
				differs += k
			}
		}
		if (len(other) == 0) != (differs == 0) {
			t.Errorf("%v: %d differences", other, differs)
		}
	}
}

// BenchmarkDecision measures the time of a request at a node with a hundred servers and two thousand customers, without
// and with shadow evaluation.
func BenchmarkDecision(b *testing.B) {
	for _, on := range []bool{false, true} {
		name := "off"
		if on {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			n := plain(100, nil)
			for k := range CustomerID(2000) {
				n.customers.findOrAdd(customerRef{id: k, spread: 1}, n.now)
			}
			if on {
				n.StartShadow(plainSettings(nil).parse())
			}
			b.ReportAllocs()
			for i := range b.N {
				n.SetTime(Second + Time(i)*100)
				n.AddRequest(Request{ID: RequestID(i), Customer: CustomerID(i % 2000), Timeout: Second, Units: 1, Spread: 1})
				for _, d := range pull(n, Forward) {
					n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 400, Final: true})
				}
			}
		})
	}
}
