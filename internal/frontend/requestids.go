package frontend

import (
	"sync"
	"time"
)

const (
	minIDRetention = 8 * time.Second // shortest time for which the id of an answered request is kept
	maxRecentIDs   = 4 << 10         // size of requestIDs.recent at which ids are dropped before minIDRetention
)

// requestIDs holds the ids of requests that are in flight or were answered lately. A second request under such an id is
// rejected: the app servers would count its attempts as those of the first.
type requestIDs struct {
	mu               sync.Mutex          // guards all below
	open             map[string]struct{} // of requests in flight
	recent, previous map[string]struct{} // of answered requests; previous is dropped when recent takes its place
	rotatedAt        time.Time           // when recent became previous
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}, rotatedAt: time.Now()}
}

// claim marks an id as in flight, and reports whether it was unknown.
func (ids *requestIDs) claim(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for _, known := range [...]map[string]struct{}{ids.open, ids.recent, ids.previous} {
		if _, found := known[id]; found {
			return false
		}
	}
	ids.open[id] = struct{}{}
	return true
}

// release marks an id as answered.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	if len(ids.recent) >= maxRecentIDs || time.Since(ids.rotatedAt) >= minIDRetention {
		ids.previous, ids.recent, ids.rotatedAt = ids.recent, make(map[string]struct{}, len(ids.recent)), time.Now()
	}
	ids.recent[id] = struct{}{}
}
