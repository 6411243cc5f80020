package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

// minIDRetention is the shortest time for which the id of a forwarded request is known.
const minIDRetention = 8 * time.Second

// idMemory is the memory of one known id in bytes, with the room that a map needs to grow.
const idMemory = 48

// Bounds of the number of ids that are kept for minIDRetention.
const (
	minRecentIDs = 4 << 10
	maxRecentIDs = 128 << 10
)

// requestID is the hash of a request's id.
type requestID uint64

// requestIDs holds the ids of requests that are in flight or were forwarded recently. The front ends reject a second request
// with such an id, because the app servers would count its attempts as those of the first request. The ids of requests that were not
// forwarded are forgotten at their end, so a client can't displace the others by requests that are rejected.
type requestIDs struct {
	seed  maphash.Seed
	limit int // largest number of ids in recent
	now   func() time.Time

	mu               sync.Mutex             // guards the fields below
	inFlight         map[requestID]struct{} // requests in flight
	recent, previous map[requestID]struct{} // forwarded requests; after minIDRetention recent becomes previous
	rotatedAt        time.Time              // time of the last rotation
}

// newRequestIDs returns an empty set that keeps at most limit ids for each span of minIDRetention.
func newRequestIDs(limit int, now func() time.Time) *requestIDs {
	return &requestIDs{
		seed: maphash.MakeSeed(), limit: limit, now: now, inFlight: map[requestID]struct{}{}, recent: map[requestID]struct{}{}, rotatedAt: now(),
	}
}

// claim marks an id as in flight, unless it is known or the set is full.
func (ids *requestIDs) claim(id string) IDClaim {
	key := requestID(maphash.String(ids.seed, id))
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for _, known := range [...]map[requestID]struct{}{ids.inFlight, ids.recent, ids.previous} {
		if _, found := known[key]; found {
			return IDKnown
		}
	}
	ids.rotateLocked()
	if len(ids.recent)+len(ids.inFlight) >= ids.limit {
		return IDsFull
	}
	ids.inFlight[key] = struct{}{}
	return IDClaimed
}

// release ends a request that claimed its id. forwarded reports whether the request was forwarded.
func (ids *requestIDs) release(id string, forwarded bool) {
	key := requestID(maphash.String(ids.seed, id))
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.inFlight, key)
	if forwarded {
		ids.rotateLocked()
		ids.recent[key] = struct{}{}
	}
}

// rotateLocked drops the oldest ids once minIDRetention has passed. The caller holds mu.
func (ids *requestIDs) rotateLocked() {
	if now := ids.now(); now.Sub(ids.rotatedAt) >= minIDRetention {
		ids.previous, ids.recent, ids.rotatedAt = ids.recent, map[requestID]struct{}{}, now
	}
}
