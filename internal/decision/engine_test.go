package decision

import (
	"math/rand"
	"testing"
	"testing/quick"

	"cherrygap/internal/settings"
)

// TestRulesHoldOnRandomRuns simulates random days under random settings and checks the rules on each decision.
func TestRulesHoldOnRandomRuns(t *testing.T) {
	sent, complete, rejected := 0, 0, 0
	run := func(seed int64) bool {
		h := newHost(seed)
		for range 1500 {
			if h.step(); h.err != nil {
				t.Logf("seed %d, settings %v: %v", seed, h.set, h.err)
				return false
			}
		}
		for h.idle = true; len(h.order) > 0; {
			if h.step(); h.err != nil {
				t.Logf("seed %d, settings %v: %v", seed, h.set, h.err)
				return false
			}
		}
		sent, complete, rejected = sent+h.sent, complete+h.complete, rejected+h.rejected
		return true
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
	if complete == 0 || rejected == 0 || sent < complete {
		t.Fatalf("the runs show nothing: sent %d, completed %d, rejected %d", sent, complete, rejected)
	}
}

// plain returns a node with one safe class, one plan and a number of ready servers. The additional settings may be nil.
func plain(servers int, more Settings) *Engine {
	n := New(7, plainSettings(more).parse(), Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i), State: Ready, Weight: 1})
	}
	n.UpdateEndpoints(CachedList, list)
	return n
}

func plainSettings(more Settings) Settings {
	set := Settings{
		settings.Nodes: "3", settings.Tick: "10", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On,
	}
	for k, v := range more {
		set[k] = v
	}
	return set
}

// pull calls Next until it returns false, and returns the decisions with the action.
func pull(n *Engine, action Action) (out []Decision) {
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == action {
			d.Payload = append([]byte(nil), d.Payload...)
			out = append(out, d)
		}
	}
	return out
}

// Without a tick and with a very short objective, the next attempt check is in the future. Otherwise Next would never
// return false.
func TestDecisionsEndWhateverTheSettings(t *testing.T) {
	objective := settings.ClassKey(0, settings.ClassLatencyObjective)
	for _, set := range []Settings{
		{settings.Tick: "0", objective: "10"}, {settings.Tick: "-5"}, {settings.Tick: "0", objective: "0"},
	} {
		n := plain(2, set)
		for now := Second; now < Second+50; now++ {
			n.SetTime(now)
			k := 0
			for _, ok := n.Next(); ok; _, ok = n.Next() {
				if k++; k > 100 {
					t.Fatalf("decisions without end with %v", set)
				}
			}
		}
	}
}
