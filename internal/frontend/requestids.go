package frontend

import (
	"sync"
	"time"
)

const (
	minIDRetention = 8 * time.Second // shortest time to keep the id of an answered request
	maxRecentIDs   = 4 << 10         // size of requestIDs.recent at which release rotates before minIDRetention has passed
)

// requestIDs holds the ids of requests that are in flight or were answered recently. The front ends reject a second request
// with such an id, because the app servers would count its attempts as those of the first request.
type requestIDs struct {
	mu               sync.Mutex          // guards the fields below
	inFlight         map[string]struct{} // ids of requests in flight
	recent, previous map[string]struct{} // ids of answered requests; release rotates them: recent becomes previous
	rotatedAt        time.Time           // time of the last rotation
}

func newRequestIDs() *requestIDs {
	return &requestIDs{inFlight: map[string]struct{}{}, recent: map[string]struct{}{}, rotatedAt: time.Now()}
}

// claim marks an id as in flight and returns true. It returns false if the id is already known.
func (ids *requestIDs) claim(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for _, known := range [...]map[string]struct{}{ids.inFlight, ids.recent, ids.previous} {
		if _, found := known[id]; found {
			return false
		}
	}
	ids.inFlight[id] = struct{}{}
	return true
}

// release marks an id as answered. Rotations drop the oldest ids.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.inFlight, id)
	if len(ids.recent) >= maxRecentIDs || time.Since(ids.rotatedAt) >= minIDRetention {
		ids.previous, ids.recent, ids.rotatedAt = ids.recent, make(map[string]struct{}, len(ids.recent)), time.Now()
	}
	ids.recent[id] = struct{}{}
}
