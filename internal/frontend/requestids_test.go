package frontend

import (
	"strconv"
	"testing"
)

func TestAnsweredIDsAreForgotten(t *testing.T) {
	ids := newRequestIDs()
	for i := range 5 * maxRecentIDs {
		id := strconv.Itoa(i)
		if !ids.claim(id) || ids.claim(id) {
			t.Fatalf("id %d", i)
		}
		ids.release(id)
		if remembered := len(ids.recent) + len(ids.previous) + len(ids.inFlight); ids.claim(id) || remembered > 2*maxRecentIDs {
			t.Fatalf("id %d, %d remembered", i, remembered)
		}
	}
}
