package frontend

import (
	"sync"
	"time"
)

const (
	idMemory         = 8 * time.Second // an answered request's id is remembered at least so long,
	maxRememberedIDs = 4 << 10         // unless more come than this
)

// requestIDs are the ids of requests that are open or were lately answered. Anyone may send an id that it has seen;
// an attempt under it would count as a second one of the request's own.
type requestIDs struct {
	mu               sync.Mutex // guards all below
	open             map[string]struct{}
	recent, previous map[string]struct{} // answered; recent becomes previous by and by, and is then forgotten
	rotatedAt        time.Time
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}, rotatedAt: time.Now()}
}

// claim notes an id as open and reports whether it was unknown.
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

// release notes that a request was answered.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	if len(ids.recent) >= maxRememberedIDs || time.Since(ids.rotatedAt) >= idMemory {
		ids.previous, ids.recent, ids.rotatedAt = ids.recent, make(map[string]struct{}, len(ids.recent)), time.Now()
	}
	ids.recent[id] = struct{}{}
}
