package decision

import (
	"testing"
)

// Where copies are barred a ticket that hangs on a silent server is called back, and sent elsewhere only
// once that execution has ended.
func TestHungExecutionIsCalledBackThenSentElsewhere(t *testing.T) {
	n := plain(4, nil)
	n.retries.left = 5
	n.classes[0].latency = decayingMean{sum: 30000, count: 100, at: Second}
	n.AddRequest(Request{ID: 1, Timeout: 2 * Second, Units: 1, Spread: 1})
	first := pull(n, Forward)
	n.SetTime(Second + 4000)
	if d := pull(n, CancelAttempt); len(d) != 1 || d[0].Request != 1 {
		t.Fatalf("not called back: %v", d)
	}
	n.SetTime(Second + 4010)
	n.AttemptEnded(AttemptResult{Request: 1, Server: first[0].Server, Outcome: Cancelled, Duration: 4010})
	again := pull(n, Forward)
	if len(again) != 1 || again[0].Server == first[0].Server {
		t.Fatalf("sent again to %v after %v", again, first)
	}
	if !n.outliers.ejected(&n.endpoints.servers[first[0].Server].byClass[0], 0, n.now) {
		t.Fatal("the silent server is in good standing")
	}
}
