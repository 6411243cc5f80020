package decision

import (
	"testing"
)

// TestFreshNodeBoundsWhatIsOut sends a crowd at a node that has seen nothing yet.
func TestFreshNodeBoundsWhatIsOut(t *testing.T) {
	n := New(7, Settings{
		"nodes": "1", "tick": "10", "band.count": "1", "band.0.contract": "6000",
		"band.0.repeats": "replayable", "plan.count": "1", "plan.0.rate": "1000", "plan.0.depth": "1000",
		"executions": "3",
	}, Second)
	n.UpdateEndpoints(CachedList, []Endpoint{{Server: 5, State: Ready, Weight: 1}, {Server: 9, State: Ready, Weight: 1}})
	for id := range RequestID(50) {
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
	}
	sent, bounced := 0, 0
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		switch d.Action {
		case Forward:
			sent++
		case Reject:
			bounced++
		}
	}
	if sent < 2*coldStartAttempts || sent > 4*coldStartAttempts || sent+bounced != 50 {
		t.Fatalf("sent %d, bounced %d of 50", sent, bounced)
	}
}

// A restarted node sees the shortest answers first; by them every later latency is a jam.
func TestFirstShortAnswersDoNotSetT(t *testing.T) {
	n := plain(10, nil)
	for id := range RequestID(4) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	for _, d := range pull(n, Forward)[:2] {
		n.SetTime(Second + 100)
		n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 100, Final: true})
	}
	n.SetTime(2*Second + 10)
	pull(n, LogSummary)
	if n.admission.throughput.executionTime != 0 || n.admission.rate != 0 {
		t.Fatalf("T is %.0f after two ends", n.admission.throughput.executionTime)
	}
}

// When every server stands still, what hangs there must go on to count, or the node fills them up.
func TestStandstillOfAllServersBoundsWhatIsOut(t *testing.T) {
	n := plain(6, nil)
	now, id, out := Second, RequestID(0), 0
	var sent []Decision
	for ; now < 12*Second; now += 100 {
		n.SetTime(now)
		for range 2 {
			id++
			n.AddRequest(Request{ID: id, Timeout: 8 * Second, Units: 1, Spread: 1})
		}
		if now < 4*Second { // every execution takes 20 ms until all stand still
			for _, d := range sent {
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 200, Final: true})
			}
			sent = sent[:0]
		}
		sent = append(sent, pull(n, Forward)...)
		out = max(out, len(sent))
	}
	if out > 36 { // six a server; without the guard it is hundreds
		t.Fatalf("%d out at six servers that stand still", out)
	}
}
