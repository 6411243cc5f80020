package frontend

import (
	"cmp"
	"slices"
	"time"

	"cherrygap/internal/cpubudget"
)

// maxEvictions is the largest number of connections that one call of evict closes. Their slots are released together, because the
// goroutine of a closed connection may have to wait for its turn.
const maxEvictions = 16

// maxCandidates is the largest number of connections whose pending input one call of evict checks, by system calls.
const maxCandidates = 4 * maxEvictions

// evict closes connections by rank and then by idle time, and skips those whose close would lose data, and active ones
// unless idle connections take half of the slots. It closes up to maxEvictions
// connections without a complete request, or else one other. If there is none, it gives up responses whose clients have stopped to
// read. It closes none until the connections that it closed last have released their slots.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicting > 0 {
		return
	}
	startedAt := time.Now()
	candidates := s.evictionOrderLocked()
	s.overhead.chargeWhole(cpubudget.Accept, time.Since(startedAt))
	for _, candidate := range candidates {
		client := candidate.client
		if s.evicting == maxEvictions || s.evicting > 0 && candidate.rank > rankNeverRequested {
			return
		}
		if candidate.rank == rankActive && !s.nearLimit() {
			break
		}
		if client.tryEnd(slotNeeded) {
			s.countEvictionLocked(client)
		}
	}
	if s.evicting == 0 {
		s.abortStalledWritersLocked()
	}
}

// evictIdle closes a connection that has just become idle, unless it is active, its close would lose data, or an eviction is pending.
func (s *Server) evictIdle(client *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicting == 0 && client.evictionRank(client.check.currentPhase(), time.Now()) == rankRequested && client.tryEnd(slotNeeded) {
		s.countEvictionLocked(client)
	}
}

// countEvictionLocked records that the server closes a connection to free its slot. The caller holds mu.
func (s *Server) countEvictionLocked(client *clientConn) {
	s.evicting++
	client.evicted = true
}

// abortStalledWritersLocked gives up responses whose clients have stopped to read, at most maxEvictions and the longest stalled
// first. The caller holds mu.
func (s *Server) abortStalledWritersLocked() {
	var stalled []*clientConn
	for client := range s.clients {
		if client.writing.Load() && client.halted() && !client.aborted.Load() {
			stalled = append(stalled, client)
		}
	}
	slices.SortFunc(stalled, func(a, b *clientConn) int { return a.writer.LastTransfer().Compare(b.writer.LastTransfer()) })
	for _, client := range stalled[:min(maxEvictions, len(stalled))] {
		if client.abort() {
			s.countEvictionLocked(client)
		}
	}
}

// evictionCandidate is an evictable connection with what its place in the order depends on.
type evictionCandidate struct {
	client    *clientConn
	rank      evictionRank
	idleSince time.Time
}

// compare orders candidates by rank and then by idle time.
func (e evictionCandidate) compare(other evictionCandidate) int {
	return cmp.Or(cmp.Compare(e.rank, other.rank), e.idleSince.Compare(other.idleSince))
}

// evictionOrderLocked returns the first maxCandidates evictable connections in the order of eviction. The caller holds mu.
func (s *Server) evictionOrderLocked() []evictionCandidate {
	candidates, now := make([]evictionCandidate, 0, maxCandidates+1), time.Now()
	for client := range s.clients {
		phase := client.check.currentPhase()
		if !phase.closable(slotNeeded.partialPolicy(client)) {
			continue
		}
		candidate := evictionCandidate{client, client.evictionRank(phase, now), client.idleSinceTime()}
		at, _ := slices.BinarySearchFunc(candidates, candidate, evictionCandidate.compare)
		candidates = slices.Insert(candidates, at, candidate)
		candidates = candidates[:min(len(candidates), maxCandidates)]
	}
	return candidates
}

// maxActiveIdle is the idle time up to which a connection is active: its client is likely to send the next request soon.
const maxActiveIdle = 500 * time.Millisecond

// evictionRank orders idle connections for eviction. The lowest rank is evicted first.
type evictionRank int

const (
	rankRejected       evictionRank = iota // connection whose request was rejected as invalid
	rankNeverRequested                     // connection without a complete request, at least firstRequestGrace old or with a deferred request
	rankRequested                          // other connection that has sent a complete request
	rankActive                             // connection that has had a response from an app server within maxActiveIdle
	rankNew                                // connection without a complete request, younger than firstRequestGrace
)

// evictionRank returns the rank of a connection in a phase.
func (c *clientConn) evictionRank(phase connPhase, now time.Time) evictionRank {
	switch {
	case phase == phaseLingering:
		return rankRejected
	case c.served.Load() && now.Sub(c.idleSinceTime()) < maxActiveIdle:
		return rankActive
	case c.hasRequested.Load():
		return rankRequested
	case phase == phaseDeferred, now.Sub(c.acceptedAt) >= firstRequestGrace:
		return rankNeverRequested
	}
	return rankNew
}
