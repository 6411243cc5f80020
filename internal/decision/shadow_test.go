package decision

import (
	"maps"
	"reflect"
	"testing"
)

// watchedRun plays 400 tickets of one customer, of which some fail, and tells what was decided.
func watchedRun(own, other Settings) (did []Decision, n *Engine) {
	n = plain(6, own)
	if other != nil {
		all := plainSettings(own)
		maps.Copy(all, other)
		n.StartShadow(all)
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

// A watch counts none where settings are equal, a known difference by its kind, and never changes a decision.
func TestWatchCountsAndNeverActs(t *testing.T) {
	want, _ := watchedRun(nil, nil)
	for _, c := range []struct {
		other Settings
		kind  string
		least int64
	}{
		{nil, "", 0},
		{Settings{"plan.0.rate": "2", "plan.0.depth": "2"}, "send_would_bounce", 200},
		{Settings{"band.0.repeats": "single-use"}, "send_would_break_off", 30},
		{Settings{"executions": "1"}, "send_would_bounce", 30},
		{Settings{"plan.0.ceiling.rate": "1", "plan.0.ceiling.depth": "1"}, "send_would_bounce", 200},
	} {
		other := c.other
		if other == nil {
			other = Settings{}
		}
		did, n := watchedRun(nil, other)
		if !reflect.DeepEqual(did, want) {
			t.Errorf("%v: the watch changed what was decided", other)
		}
		seen, differs := n.ShadowCounts()
		if seen < 400 || differs[c.kind] < c.least || (c.kind == "") != (len(differs) == 0) {
			t.Errorf("%v: of %d decisions %v", other, seen, differs)
		}
	}
	if seen, differs := plain(1, nil).ShadowCounts(); seen != 0 || differs != nil {
		t.Error("counted with no watch")
	}
}

// Random days with a watch on keep the rules and go as without it, whatever it watches.
func TestWatchedDaysGoAsOthers(t *testing.T) {
	for seed := range int64(12) {
		a, b := newHost(seed), newHost(seed)
		other := maps.Clone(b.set)
		maps.Copy(other, Settings{"nodes": "60", "plan.0.rate": "1", "plan.2.open": "1", "band.0.repeats": "single-use"})
		for range 600 {
			b.n.StartShadow(other)
			a.step()
			b.step()
		}
		if a.err != nil || b.err != nil || a.sent != b.sent || a.complete != b.complete || a.bounced != b.bounced {
			t.Fatalf("seed %d: %d, %d, %d without, %d, %d, %d with a watch: %v", seed, a.sent, a.complete, a.bounced,
				b.sent, b.complete, b.bounced, b.err)
		}
	}
}

// Over a wide fleet too, equal settings count none: the stores at a home are charged for what it lets pass elsewhere.
func TestWatchOverAWideFleet(t *testing.T) {
	for _, other := range []Settings{{}, {"plan.0.rate": "1", "plan.0.depth": "3"}} {
		f := newFleet(t, Settings{"plan.0.rate": "4", "plan.0.depth": "12"})
		for k, n := range f.nodes {
			all := maps.Clone(f.sets[k])
			maps.Copy(all, other)
			n.StartShadow(all)
		}
		f.ask(5, 10, Second, 9*Second)
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

// BenchmarkDecision is what a ticket costs at a node of a hundred servers and two thousand customers, without and
// with a watch.
func BenchmarkDecision(b *testing.B) {
	for _, on := range []bool{false, true} {
		name := "off"
		if on {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			n := plain(100, nil)
			for k := range CustomerID(2000) {
				n.customers.slot(n.config, n.now, k, 0, 1, 0)
			}
			if on {
				n.StartShadow(plainSettings(nil))
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
