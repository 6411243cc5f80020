package frontend

import (
	"math"
	"time"

	"cherrygap/internal/netio"
)

// closeIdleInterval is the time between two passes of Drain over the open connections.
const closeIdleInterval = firstRequestGrace / 10

// Drain shuts the server down gracefully. From its call on, each response closes its connection unless pipelined bytes were
// read. The listener stays open for acceptFor, and then until the connections in its queue are accepted. After that Drain
// closes idle connections, and no more pipelined bytes are read. It returns when all connections are closed. Requests that begin
// during the drain have their responses by Config.DrainLimit, and those that are not complete by then are closed. The limit counts from the
// earliest time at which the signal for the drain may have been sent.
func (s *Server) Drain(acceptFor time.Duration) {
	if s.drainLimit > 0 {
		s.drainDeadline.Store(int64(s.earliestSignal(time.Now()).Add(s.drainLimit).Sub(s.startedAt)))
	}
	s.draining.Store(true)
	netio.SetAcceptDeadline(s.listener, time.Now().Add(acceptFor))
	select {
	case <-s.acceptDone:
	case <-time.After(acceptFor + 2*firstRequestGrace): // acceptLoop still waits for a slot
		netio.CloseConn(s.listener)
	}
	closed := make(chan struct{})
	go func() { // ends with the last connection, for which the loop below waits
		s.conns.Wait()
		close(closed)
	}()
	for s.closingIdle.Store(true); ; {
		if s.drainTimeLeft(time.Now()) > 0 {
			s.closeIdle()
		} else {
			s.closeUnanswered()
		}
		select {
		case <-closed:
			return
		case <-time.After(closeIdleInterval):
		}
	}
}

// closeIdle closes idle connections. It keeps new connections and those with a partly read request, pending input or an
// unacknowledged response.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.clients {
		client.tryEnd(drainIdle)
	}
}

// closeUnanswered closes all connections without a request in flight, and gives up responses that their clients don't read. It is for
// the end of the drain, when SIGKILL would end the connections anyway.
func (s *Server) closeUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.clients {
		if !client.writing.Load() {
			client.tryEnd(drainOver)
		} else if client.halted() {
			client.abortWrite()
		}
	}
}

// noDrainLimit is the result of drainTimeLeft while there is no limit.
const noDrainLimit time.Duration = math.MaxInt64

// drainTimeLeft returns the time from the given moment to the end of the drain. Right after a pause of the process, the signal for a drain
// may be pending, so the result is then the time to the end of that drain.
func (s *Server) drainTimeLeft(from time.Time) time.Duration {
	if deadline := s.drainDeadline.Load(); deadline != 0 {
		return s.startedAt.Add(time.Duration(deadline)).Sub(from)
	}
	now := time.Now()
	if earliest := s.earliestSignal(now); s.drainLimit > 0 && earliest.Before(now) {
		return earliest.Add(s.drainLimit).Sub(from)
	}
	return noDrainLimit
}
