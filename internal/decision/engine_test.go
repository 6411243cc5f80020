package decision

import (
	"math/rand"
	"testing"
	"testing/quick"

	"cherrygap/internal/settings"
)

// TestRulesHoldOnRandomRuns simulates random traffic and faults under random settings. It guards against decisions that
// break a rule of simulatedHost in a situation that no other test constructs.
func TestRulesHoldOnRandomRuns(t *testing.T) {
	sent, completed, rejected := 0, 0, 0
	run := func(seed int64) bool {
		h := newSimulatedHost(seed)
		for range 1500 {
			if h.step(); h.err != nil {
				t.Logf("random run with seed %d and settings %v broke a rule: %v", seed, h.set, h.err)
				return false
			}
		}
		for h.noNewRequests = true; len(h.openRequests) > 0; {
			if h.step(); h.err != nil {
				t.Logf("random run with seed %d and settings %v broke a rule: %v", seed, h.set, h.err)
				return false
			}
		}
		sent, completed, rejected = sent+h.sent, completed+h.completed, rejected+h.rejected
		return true
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal("a random run broke a rule, want none:", err)
	}
	if completed == 0 || rejected == 0 || sent < completed {
		t.Fatalf("the random runs sent %d attempts, completed %d and rejected %d requests; want completed and rejected above 0, and "+
			"no more completed than sent", sent, completed, rejected)
	}
}

// newTestEngine returns an engine with testSettings and a number of ready servers. The changed settings may be nil.
func newTestEngine(servers int, changes Settings) *Engine {
	engine := New(7, testSettings(changes).parse(), Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i), State: Ready, Weight: 1})
	}
	engine.UpdateEndpoints(CachedList, list)
	return engine
}

// testSettings returns settings with one safe class and one plan, and with the changes.
func testSettings(changes Settings) Settings {
	set := Settings{
		settings.Nodes: "3", settings.Tick: "10", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On,
	}
	for key, value := range changes {
		set[key] = value
	}
	return set
}

// takeDecisions takes all decisions of an engine, and returns those with the action.
func takeDecisions(engine *Engine, action Action) (decisions []Decision) {
	for d, ok := engine.Next(); ok; d, ok = engine.Next() {
		if d.Action == action {
			d.Payload = append([]byte(nil), d.Payload...)
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// Without a tick and with a very short objective, the next attempt check must still be later than now. Otherwise each call
// of Next would begin another check, and Next would never return false.
func TestDecisionsEndWhateverTheSettings(t *testing.T) {
	objective := settings.ClassKey(0, settings.ClassLatencyObjective)
	for _, set := range []Settings{
		{settings.Tick: "0", objective: "10"}, {settings.Tick: "-5"}, {settings.Tick: "0", objective: "0"},
	} {
		engine := newTestEngine(2, set)
		for now := Second; now < Second+50; now++ {
			engine.SetTime(now)
			k := 0
			for _, ok := engine.Next(); ok; _, ok = engine.Next() {
				if k++; k > 100 {
					t.Fatalf("settings %v, time %d in units of 0.1 ms: Next returned %d decisions in a row, want at most 100", set, now, k)
				}
			}
		}
	}
}
