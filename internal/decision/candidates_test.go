package decision

import (
	"slices"
	"testing"
)

// A keyed request that may have run is sent only to servers of the same cell, few of which are tracked. It finds the
// others too, and attempts at them count as in flight.
func TestKeyedRequestsFindTheirCell(t *testing.T) {
	n := fleetOf(830, 13000, 12)
	n.config.classes[0].retrySafety, n.config.classes[0].keyGroup, n.config.classes[0].keyWindow = retryKeyed, groupCell, 60*Second
	n.config.maxAttempts = 3
	n.retries.left = 99
	again := 0
	for id := range RequestID(60) {
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: 4 * Second, Units: 1, Spread: 1})
		first := pull(n, Forward)
		if len(first) != 1 {
			t.Fatalf("%d attempts", len(first))
		}
		n.AttemptEnded(AttemptResult{Request: id, Server: first[0].Server, Outcome: ConnectionReset, Duration: Second / 50})
		if next := pull(n, Forward); len(next) == 1 {
			a, b := n.endpoints.slots.find(first[0].Server), n.endpoints.slots.find(next[0].Server)
			if again++; a == b || n.endpoints.servers[a].Cell != n.endpoints.servers[b].Cell || !slices.Contains(n.endpoints.tracked, b) || n.endpoints.servers[b].inFlight != 1 {
				t.Fatalf("a keyed request of cell %d went on in %d", n.endpoints.servers[a].Cell, n.endpoints.servers[b].Cell)
			}
			n.AttemptEnded(AttemptResult{Request: id, Attempt: 1, Server: next[0].Server, Duration: Second / 50, Final: true})
		}
	}
	if again < 50 {
		t.Errorf("%d of 60 keyed requests found a second server in their cell", again)
	}
}
