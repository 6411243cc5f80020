package frontend

import (
	"time"

	"cherrygap/internal/netio"
)

// evict closes the first evictable connection in the order of evictedBefore, and skips connections whose close would lose
// data. It closes none until the last evicted connection has released its slot.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicting {
		return
	}
	var skipped map[*clientConn]bool // nil until a connection is skipped
	for first := s.firstToEvict(nil); first != nil; first = s.firstToEvict(skipped) {
		if !first.closeWouldLoseData() && first.check.tryClose(first.evictionPolicy()) {
			s.evicting, first.evicted = true, true
			first.close(netio.ReasonEvicted)
			return
		}
		if skipped == nil {
			skipped = map[*clientConn]bool{}
		}
		skipped[first] = true
	}
}

// firstToEvict returns the first evictable connection in the order of evictedBefore that is not in skipped. It returns nil
// if there is none.
func (s *Server) firstToEvict(skipped map[*clientConn]bool) *clientConn {
	var first *clientConn
	for client := range s.clients {
		if !skipped[client] && client.evictable() && (first == nil || client.evictedBefore(first)) {
			first = client
		}
	}
	return first
}

// evictionRank orders idle connections for eviction. The lowest rank is evicted first.
type evictionRank int

const (
	rankNeverRequested evictionRank = iota // connection without a complete request, at least firstRequestGrace old
	rankRequested                          // connection that has sent a complete request
	rankNew                                // connection without a complete request, younger than firstRequestGrace
)

func (c *clientConn) evictionRank() evictionRank {
	switch {
	case c.hasRequested.Load():
		return rankRequested
	case time.Since(c.acceptedAt) >= firstRequestGrace:
		return rankNeverRequested
	}
	return rankNew
}

// evictedBefore reports whether c is evicted before other: by rank, then by idle time.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	if mine, others := c.evictionRank(), other.evictionRank(); mine != others {
		return mine < others
	}
	return c.idleSinceTime().Before(other.idleSinceTime())
}

// evictionPolicy returns the partialPolicy for an eviction. A partly read request keeps its connection open, unless it is
// the connection's first.
func (c *clientConn) evictionPolicy() partialPolicy {
	if c.hasRequested.Load() {
		return keepPartial
	}
	return dropPartial
}

// evictable reports whether the connection may be closed to free its slot.
func (c *clientConn) evictable() bool { return c.check.mayClose(c.evictionPolicy()) }
