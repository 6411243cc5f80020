package decision

import (
	"slices"
	"testing"
)

// After a pause, the last requests still have time left and are forwarded first. Those past their objective are
// rejected at once, and the tokens cover the pause.
func TestLastRequestsOfAPauseComeFirst(t *testing.T) {
	n := plain(10, nil)
	n.admission.rate, n.admission.throughput.baseLatency, n.timers.intervalAt = 40, 500, 9*Second
	n.admission.throughput.times, n.admission.throughput.rates = []float64{500}, []float64{40}
	n.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	pull(n, Forward)
	n.SetTime(Second + Second) // 1 s without a turn; the objective is 0.6 s
	for id := range RequestID(20) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	var first, rejected []RequestID
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		switch d.Action {
		case Forward:
			first = append(first, d.Request)
		case Reject:
			rejected = append(rejected, d.Request)
		}
	}
	if len(first) < 9 || first[0] != 19 || slices.Contains(first, 0) || !slices.Contains(rejected, 0) ||
		len(first)+len(rejected) != 20 {
		t.Fatalf("sent %v, rejected %v", first, rejected)
	}
}

// A request past its objective after a pause is rejected even if limit and quota would admit it.
func TestRequestsLateAfterAPauseAreRejected(t *testing.T) {
	n := plain(10, nil)
	n.admission.rate, n.admission.throughput.baseLatency, n.timers.intervalAt = 4000, 500, 9*Second
	n.admission.throughput.times, n.admission.throughput.rates = []float64{500}, []float64{4000}
	n.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	pull(n, Forward)
	n.SetTime(2 * Second)
	for id := range RequestID(20) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	rejected := 0
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == Reject {
			if rejected++; d.Request > 12 {
				t.Errorf("request %d of 20, which is in time yet, was rejected", d.Request)
			}
		}
	}
	if rejected < 8 {
		t.Fatalf("%d of 20 rejected, of which half waited past the objective", rejected)
	}
}

func TestPauseOrder(t *testing.T) {
	p := pause{}
	if p.observe(Second, Second+1500, 6000); p.endedAt != 0 {
		t.Error("a quarter of an objective is a pause")
	}
	if p.observe(Second, Second+4000, 6000); p.length != 4000 || p.endedAt != Second+4000 {
		t.Errorf("%+v", p)
	}
	now := p.endedAt
	table := requestTable{all: []request{{arrived: 7}, {arrived: now}, {arrived: now}}, pending: []requestSlot{0, 1, 2}}
	p.arrived = 2
	p.reorder(&table, now)
	if !slices.Equal(table.pending, []requestSlot{0, 2, 1}) || table.all[1].arrived != now-3000 || table.all[2].arrived != now-1000 ||
		table.all[0].arrived != 7 || p.arrived != 0 {
		t.Errorf("%v, %+v", table.pending, table.all)
	}
}
