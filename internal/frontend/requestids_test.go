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
		if !ids.claim(id) || ids.claim(id) {
			t.Fatalf("claim(%q) of a new id returned false, or a second call returned true; want true, then false", id)
		}
		ids.release(id)
		if kept := len(ids.recent) + len(ids.previous) + len(ids.inFlight); ids.claim(id) || kept > 2*maxRecentIDs {
			t.Fatalf("after release(%q): %d ids kept, want at most %d, and claim of that id must return false", id, kept, 2*maxRecentIDs)
		}
	}
}
