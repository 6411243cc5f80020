package decision

import (
	"math/rand"
	"testing"
	"testing/quick"
)

// TestRulesHoldOnRandomRuns plays random days over settings of every kind and checks the rules on each
// decision.
func TestRulesHoldOnRandomRuns(t *testing.T) {
	sent, complete, bounced := 0, 0, 0
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
		sent, complete, bounced = sent+h.sent, complete+h.complete, bounced+h.bounced
		return true
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
	if complete == 0 || bounced == 0 || sent < complete {
		t.Fatalf("the runs show nothing: sent %d, completed %d, given up %d", sent, complete, bounced)
	}
}

// plain is a node of one replayable band and one plan, with some servers, and what a test adds.
func plain(servers int, more Settings) *Engine {
	n := New(7, plainSettings(more), Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i), State: Ready, Weight: 1})
	}
	n.UpdateEndpoints(CachedList, list)
	return n
}

func plainSettings(more Settings) Settings {
	set := Settings{
		"nodes": "3", "tick": "10", "band.count": "1", "band.0.contract": "6000",
		"band.0.repeats": "replayable", "plan.count": "1", "plan.0.rate": "1000", "plan.0.depth": "1000",
		"executions": "3", "withdraw": "true",
	}
	for k, v := range more {
		set[k] = v
	}
	return set
}

// pull gathers the decisions of one verb.
func pull(n *Engine, v Action) (out []Decision) {
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == v {
			d.Payload = append([]byte(nil), d.Payload...)
			out = append(out, d)
		}
	}
	return out
}

// Without a tick and with a very short contract time the next look must lie ahead, or decisions never end.
func TestDecisionsEndWhateverTheSettings(t *testing.T) {
	for _, set := range []Settings{{"tick": "0", "band.0.contract": "10"}, {"tick": "-5"}, {"tick": "0", "band.0.contract": "0"}} {
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
