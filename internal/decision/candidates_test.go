package decision

import (
	"slices"
	"testing"
)

// A keyed request that may have run is retried only at servers of the same cell, few of which are tracked. The retry must
// consider the untracked servers of the cell too. Otherwise most such requests would fail. Attempts at these servers count
// as in flight.
func TestKeyedRequestsFindTheirCell(t *testing.T) {
	engine := newZonedEngine(830, 13000, 12)
	engine.config.classes[0].retrySafety, engine.config.classes[0].keyGroup, engine.config.classes[0].keyWindow = retryKeyed, groupCell, 60*Second
	engine.config.maxAttempts = 3
	engine.retries.left = 99
	retried := 0
	for id := range RequestID(60) {
		engine.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: 4 * Second, Units: 1, Spread: 1})
		attempts := takeDecisions(engine, Forward)
		if len(attempts) != 1 {
			t.Fatalf("request %d has %d first attempts, want 1", id, len(attempts))
		}
		engine.AttemptEnded(AttemptResult{Request: id, Server: attempts[0].Server, Outcome: ConnectionReset, Duration: Second / 50})
		if retries := takeDecisions(engine, Forward); len(retries) == 1 {
			a, b := engine.endpoints.slots.find(attempts[0].Server), engine.endpoints.slots.find(retries[0].Server)
			if retried++; a == b || engine.endpoints.servers[a].Cell != engine.endpoints.servers[b].Cell || !slices.Contains(engine.endpoints.tracked, b) || engine.endpoints.servers[b].inFlight != 1 {
				t.Fatalf("request %d: first attempt at slot %d in cell %d, retry at slot %d in cell %d (tracked %v, %d in flight); "+
					"want another slot in the same cell (tracked true, 1 in flight)",
					id, a, engine.endpoints.servers[a].Cell, b, engine.endpoints.servers[b].Cell, slices.Contains(engine.endpoints.tracked, b), engine.endpoints.servers[b].inFlight)
			}
			engine.AttemptEnded(AttemptResult{Request: id, Attempt: 1, Server: retries[0].Server, Duration: Second / 50, Final: true})
		}
	}
	if retried < 50 {
		t.Errorf("%d of 60 keyed requests were retried at another server in their cell, want at least 50", retried)
	}
}
