package frontend

import (
	"time"

	"cherrygap/internal/netio"
)

// evict closes one idle connection, the first by evictedBefore, and skips connections with bytes in transit. It closes none
// while the slot of an earlier evicted connection is not released yet.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicting {
		return
	}
	var skipped map[*clientConn]bool // allocated with the first entry
	for first := s.firstToEvict(nil); first != nil; first = s.firstToEvict(skipped) {
		if !first.mustStayOpen() && first.check.tryClose(first.evictionPolicy()) {
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

// firstToEvict returns the evictable connection that comes first by evictedBefore, except skipped ones, or nil.
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
	rankNeverRequested evictionRank = iota // older than firstRequestGrace and without a complete request
	rankRequested                          // with a complete request
	rankNew                                // younger than firstRequestGrace and without a complete request
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

// evictionPolicy returns the partialPolicy of an eviction: a partly read first request does not keep its connection open.
func (c *clientConn) evictionPolicy() partialPolicy {
	if c.hasRequested.Load() {
		return keepPartial
	}
	return dropPartial
}

// evictable reports whether the connection may be closed to free its slot.
func (c *clientConn) evictable() bool { return c.check.mayClose(c.evictionPolicy()) }
