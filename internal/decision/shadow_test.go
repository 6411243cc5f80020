package decision

import (
	"maps"
	"reflect"
	"testing"

	"cherrygap/internal/settings"
)

// shadowedRun sends 400 requests of three customers, some with a failed first attempt. It returns the decisions and the
// engine. Shadow evaluation is off if other is nil.
func shadowedRun(own, other Settings) (decisions []Decision, engine *Engine) {
	engine = newTestEngine(6, own)
	if other != nil {
		all := testSettings(own)
		maps.Copy(all, other)
		engine.StartShadow(all.parse())
	}
	for id := range RequestID(400) {
		engine.SetTime(Second + Time(id)*200)
		engine.AddRequest(Request{ID: id, Customer: CustomerID(id % 3), Timeout: Second, Units: 1, Spread: 1})
		for d, ok := engine.Next(); ok; d, ok = engine.Next() {
			d.Payload = nil
			decisions = append(decisions, d)
			if d.Action == Forward {
				r := AttemptResult{
					Request: d.Request, Attempt: len(engine.requests.all[engine.requests.slots.find(d.Request)].attempts) - 1, Server: d.Server,
					Duration: 400, Final: true,
				}
				if d.Request%7 == 0 && r.Attempt == 0 {
					r.Outcome, r.Final = Failed, false
				}
				engine.AttemptEnded(r)
			}
		}
	}
	return decisions, engine
}

// Shadow evaluation changes no decision. It counts no difference under equal settings, and counts the differences under
// shadow settings by kind.
func TestShadowCountsAndNeverActs(t *testing.T) {
	want, _ := shadowedRun(nil, nil)
	for _, c := range []struct {
		other     Settings
		wantKind  string
		wantLeast int64
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
		decisions, engine := shadowedRun(nil, other)
		if !reflect.DeepEqual(decisions, want) {
			t.Errorf("shadow settings %v changed the decisions of the node, want the same as without shadow evaluation", other)
		}
		compared, differences := engine.ShadowCounts()
		if compared < 400 || differences[c.wantKind] < c.wantLeast || (c.wantKind == "") != (len(differences) == 0) {
			t.Errorf("shadow settings %v: ShadowCounts() = %d compared, differences %v; want at least 400 compared, and at least %d differences of kind %q (no difference if the kind is empty)",
				other, compared, differences, c.wantLeast, c.wantKind)
		}
	}
	if compared, differences := newTestEngine(1, nil).ShadowCounts(); compared != 0 || differences != nil {
		t.Errorf("ShadowCounts() without shadow evaluation = %d, %#v, want 0 and a nil map", compared, differences)
	}
}

// Random runs with shadow evaluation keep the rules and send, complete and reject as much as without it. The test fails if
// the evaluation changes the engine's state, such as its random numbers.
func TestShadowChangesNoDecision(t *testing.T) {
	for seed := range int64(12) {
		a, b := newSimulatedHost(seed), newSimulatedHost(seed)
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
		if a.err != nil || b.err != nil || a.sent != b.sent || a.completed != b.completed || a.rejected != b.rejected {
			t.Fatalf("seed %d: without shadow evaluation %d sent, %d completed, %d rejected, error %v; with it %d, %d, %d, error %v; want equal numbers and no errors",
				seed, a.sent, a.completed, a.rejected, a.err, b.sent, b.completed, b.rejected, b.err)
		}
	}
}

// With quota owners, shadow evaluation counts no difference under equal settings. That holds only if the shadow buckets at an
// owner are charged for the requests of other nodes that the owner grants.
func TestShadowWithQuotaOwners(t *testing.T) {
	for _, other := range []Settings{
		{}, {settings.PlanKey(0, settings.PlanRate): "1", settings.PlanKey(0, settings.PlanBurst): "3"},
	} {
		f := newFleet(t, Settings{
			settings.PlanKey(0, settings.PlanRate): "4", settings.PlanKey(0, settings.PlanBurst): "12",
		})
		for k, engine := range f.nodes {
			all := maps.Clone(f.nodeSettings[k])
			maps.Copy(all, other)
			engine.StartShadow(all.parse())
		}
		f.sendRequests(10, Second, 9*Second)
		differences := int64(0)
		for _, engine := range f.nodes {
			_, byKind := engine.ShadowCounts()
			for _, count := range byKind {
				differences += count
			}
		}
		if (len(other) == 0) != (differences == 0) {
			t.Errorf("shadow evaluation with the changed settings %v counts %d differences, want 0 differences: %v", other, differences, len(other) == 0)
		}
	}
}

// BenchmarkDecision measures the time of a request at a node with 100 servers and 2000 customers, without and with shadow
// evaluation.
func BenchmarkDecision(b *testing.B) {
	for _, on := range []bool{false, true} {
		name := "off"
		if on {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			engine := newTestEngine(100, nil)
			for k := range CustomerID(2000) {
				engine.customers.findOrAdd(customerRef{id: k, spread: 1}, engine.now)
			}
			if on {
				engine.StartShadow(testSettings(nil).parse())
			}
			b.ReportAllocs()
			for i := range b.N {
				engine.SetTime(Second + Time(i)*100)
				engine.AddRequest(Request{ID: RequestID(i), Customer: CustomerID(i % 2000), Timeout: Second, Units: 1, Spread: 1})
				for _, d := range takeDecisions(engine, Forward) {
					engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 400, Final: true})
				}
			}
		})
	}
}
