package frontend

import (
	"net"
	"sync"
	"sync/atomic"
)

// Internals of the package for its external tests.

// FirstRequestGrace is firstRequestGrace.
const FirstRequestGrace = firstRequestGrace

// The phases of a connection that tests wait for.
const (
	PhaseIdle    = phaseIdle
	PhasePartial = phasePartial
	PhaseClosed  = phaseClosed
)

type (
	// ClientConn is one client connection.
	ClientConn = clientConn
	// CloseCheck is a client connection's closeCheck.
	CloseCheck = closeCheck
)

// Mutex is the lock of ClientConns.
func (s *Server) Mutex() *sync.Mutex { return &s.mu }

// ClientConns are the open connections. The caller holds Mutex.
func (s *Server) ClientConns() map[*ClientConn]struct{} { return s.clients }

// OpenClients is how many client connections are open.
func (s *Server) OpenClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// BlockEvictions makes Evict do nothing.
func (s *Server) BlockEvictions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicting = true
}

// Evict closes one idle connection, the first by evictedBefore.
func (s *Server) Evict() { s.evict() }

// CloseIdle closes the idle connections.
func (s *Server) CloseIdle() { s.closeIdle() }

// Draining is set while the server drains.
func (s *Server) Draining() *atomic.Bool { return &s.draining }

// ClosingIdle is set while idle connections are closed.
func (s *Server) ClosingIdle() *atomic.Bool { return &s.closingIdle }

// AtLimit is set while a new connection waits for a slot.
func (s *Server) AtLimit() *atomic.Bool { return &s.atLimit }

// Check is the connection's close check.
func (c *ClientConn) Check() *CloseCheck { return &c.check }

// Conn is the connection's socket.
func (c *ClientConn) Conn() *net.TCPConn { return c.conn }

// Is reports whether the connection is in a phase.
func (g *CloseCheck) Is(phase connPhase) bool { return g.is(phase) }

// RequestRead notes that a request was read completely, and how many bytes are buffered behind it.
func (g *CloseCheck) RequestRead(bytesBehind int) { g.requestRead(bytesBehind) }

// Answered notes that the request in flight has its response.
func (g *CloseCheck) Answered() { g.answered() }

// TryCloseWithResponse reports whether the response to the request in flight may close the connection. If so no more is
// read.
func (g *CloseCheck) TryCloseWithResponse() bool { return g.tryCloseWithResponse() }

// TryClose reports whether the connection may be closed now, with no request partly read. If so no more is read.
func (g *CloseCheck) TryClose() bool { return g.tryClose(keepPartial) }
