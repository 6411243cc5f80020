package frontend

import (
	"time"

	"cherrygap/internal/netio"
)

// Drain shuts the server down gracefully. It answers each request with a close and accepts connections for another accept
// duration. Then it closes the listener, after its queue is accepted, and idle connections. It returns when all connections
// are closed.
func (s *Server) Drain(accept time.Duration) {
	s.draining.Store(true)
	netio.SetAcceptDeadline(s.listener, time.Now().Add(accept))
	select {
	case <-s.acceptDone:
	case <-time.After(accept + 2*firstByteTimeout): // acceptLoop waits for a slot
		netio.CloseConn(s.listener)
	}
	closed := make(chan struct{})
	go func() { // ends with the last connection, which the loop below waits for
		s.conns.Wait()
		close(closed)
	}()
	for s.closingIdle.Store(true); ; {
		s.closeIdle()
		select {
		case <-closed:
			return
		case <-time.After(firstByteTimeout / 10):
		}
	}
}

// closeIdle closes idle connections. It keeps new connections, partly read requests, and connections with pending input.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.clients {
		if !client.mayStillSend() && !client.mustStayOpen() && client.check.tryClose(keepPartial) {
			client.close(netio.ReasonNodeDraining)
		}
	}
}

// mayStillSend reports whether a connection is new and its first request may be in transit.
func (c *clientConn) mayStillSend() bool {
	return !c.hasRequested.Load() && time.Since(c.acceptedAt) < firstByteTimeout
}
