package decision

import (
	"slices"
	"testing"
)

// After a pause, only the last requests have time left before their objective. They are forwarded first, and requests
// past their objective are rejected at once. In order of arrival, the requests forwarded first would have the least time
// left. The admission rate's tokens cover the pause.
func TestLastRequestsOfAPauseComeFirst(t *testing.T) {
	engine := newTestEngine(10, nil)
	engine.admission.rate, engine.admission.throughput.baseLatency, engine.timers.intervalAt = 40, 500, 9*Second
	engine.admission.throughput.meanDurations, engine.admission.throughput.rates = []float64{500}, []float64{40}
	engine.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	takeDecisions(engine, Forward)
	engine.SetTime(Second + Second) // a pause of 1 s, with an objective of 0.6 s
	for id := range RequestID(20) {
		engine.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	var first, rejected []RequestID
	for d, ok := engine.Next(); ok; d, ok = engine.Next() {
		switch d.Action {
		case Forward:
			first = append(first, d.Request)
		case Reject:
			rejected = append(rejected, d.Request)
		}
	}
	if len(first) < 9 || first[0] != 19 || slices.Contains(first, 0) || !slices.Contains(rejected, 0) ||
		len(first)+len(rejected) != 20 {
		t.Fatalf("after a pause, 20 requests were forwarded in the order %v and rejected in the order %v; "+
			"want at least 9 forwarded, request 19 first, request 0 rejected, and 20 decisions in all", first, rejected)
	}
}

// A request past its objective after a pause is rejected even if the admission limit and the quota allow it.
// Otherwise the servers would process requests whose clients may have disconnected.
func TestRequestsLateAfterAPauseAreRejected(t *testing.T) {
	engine := newTestEngine(10, nil)
	engine.admission.rate, engine.admission.throughput.baseLatency, engine.timers.intervalAt = 4000, 500, 9*Second
	engine.admission.throughput.meanDurations, engine.admission.throughput.rates = []float64{500}, []float64{4000}
	engine.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	takeDecisions(engine, Forward)
	engine.SetTime(2 * Second)
	for id := range RequestID(20) {
		engine.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	rejected := 0
	for d, ok := engine.Next(); ok; d, ok = engine.Next() {
		if d.Action == Reject {
			if rejected++; d.Request > 12 {
				t.Errorf("request %d of 20 was rejected, want only requests up to 12 rejected", d.Request)
			}
		}
	}
	if rejected < 8 {
		t.Fatalf("%d of 20 requests were rejected, want at least 8: half of them waited past the objective", rejected)
	}
}

// A gap of at most a quarter of the objective is no pause. After a pause, its requests are in reverse order, with arrival
// times evenly over the pause. Requests from before the pause stay as they are. If all had
// the pause's end as their arrival time, requests past their objective would be admitted.
func TestPauseOrder(t *testing.T) {
	detected := pause{}
	if detected.observe(Second, Second+1500, 6000); detected.endedAt != 0 {
		t.Errorf("a gap of 150 ms with an objective of 600 ms was recorded as a pause that ended at time %d, want 0 for no pause", detected.endedAt)
	}
	if detected.observe(Second, Second+4000, 6000); detected.length != 4000 || detected.endedAt != Second+4000 {
		t.Errorf("after a gap of 400 ms with an objective of 600 ms, pause = %+v, want length 4000 (in 0.1 ms), endedAt %d", detected, Second+4000)
	}
	now := detected.endedAt
	table := requestTable{all: []request{{arrivedAt: 7}, {arrivedAt: now}, {arrivedAt: now}}, pending: []requestSlot{0, 1, 2}}
	detected.arrived = 2
	detected.reorder(&table, now)
	if !slices.Equal(table.pending, []requestSlot{0, 2, 1}) || table.all[1].arrivedAt != now-3000 || table.all[2].arrivedAt != now-1000 ||
		table.all[0].arrivedAt != 7 || detected.arrived != 0 {
		t.Errorf("after reorder, pending = %v, want [0 2 1]; arrival times %d, %d, %d, want 7, %d, %d; %d requests to reorder, want 0",
			table.pending, table.all[0].arrivedAt, table.all[1].arrivedAt, table.all[2].arrivedAt, now-3000, now-1000, detected.arrived)
	}
}
