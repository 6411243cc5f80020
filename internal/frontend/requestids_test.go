package frontend

import (
	"strconv"
	"testing"
)

// Without a bound on the kept ids of answered requests, the node's memory would grow with each request.
func TestAnsweredIDsAreForgotten(t *testing.T) {
	ids := newRequestIDs()
	for i := range 5 * maxRecentIDs {
		id := strconv.Itoa(i)
		if !ids.claim(id) {
			t.Fatalf("claim(%q) of a new id = false, want true", id)
		}
		if ids.claim(id) {
			t.Fatalf("claim(%q) of an id in flight = true, want false", id)
		}
		ids.release(id)
		kept := len(ids.recent) + len(ids.previous) + len(ids.inFlight)
		if claimed := ids.claim(id); claimed || kept > 2*maxRecentIDs {
			t.Fatalf("after release(%q): claim of that id = %v, %d ids kept; want false, at most %d", id, claimed, kept, 2*maxRecentIDs)
		}
	}
}
