package emulator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/lab/appserver"
	"cherrygap/internal/operatorfile"
)

// Server is one emulated app server. Its methods may be called from several goroutines.
type Server struct {
	id         int // number in the fleet, from 0
	cfg        operatorfile.Emulator
	schedule   Schedule
	fleetStart time.Time
	log        zerolog.Logger

	mu         sync.Mutex // guards the fields up to listener
	addr       string     // host:port; the port is fixed by the first open
	rng        *rand.Rand // draws faults and service times
	stats      Stats      // without the listener's counts
	bootedAt   time.Time  // of the present incarnation
	draining   bool
	httpServer *http.Server // nil while the server is down
	listener   *cappedListener

	executions appserver.Executions // by request ID
	workSlots  chan struct{}        // holds one element for each request in work
	waiting    atomic.Int64         // requests queued
	working    atomic.Int64         // requests in work
}

// Addr returns the server's address, host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stats returns the counts since the fleet's start. Connections and Refused are those since the last restart.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.listener != nil {
		stats.Connections, stats.Refused = s.listener.accepted.Load(), s.listener.refused.Load()
	}
	return stats
}

// TimesBegun returns how often the server began to execute the request with this ID.
func (s *Server) TimesBegun(id string) int {
	return s.executions.Times(id)
}

// Drain makes the server reject new requests and answer health checks with 503, while it still accepts connections.
// Requests in flight may finish within the configured grace. After that the server closes, with all connections.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	drained := s.httpServer
	s.mu.Unlock()
	if drained == nil {
		return
	}
	time.AfterFunc(milliseconds(s.cfg.DrainMs), func() {
		s.mu.Lock()
		same := s.httpServer == drained
		s.mu.Unlock()
		if same {
			s.close()
		}
	})
}

// open listens at the server's address and starts a new incarnation, which warms up. The goroutine that accepts
// connections ends with close.
func (s *Server) open() error {
	listener, err := net.Listen("tcp", s.Addr())
	if err != nil {
		return err
	}
	capped := &cappedListener{Listener: listener, maxOpen: int64(s.cfg.Connections)}
	server := &http.Server{
		Handler:     s,
		IdleTimeout: time.Duration(s.cfg.IdleS * float64(time.Second)),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connUsedKey{}, &atomic.Bool{})
		},
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed || state == http.StateHijacked {
				capped.open.Add(-1)
			}
		},
	}
	s.mu.Lock()
	s.addr, s.httpServer, s.listener, s.bootedAt, s.draining = listener.Addr().String(), server, capped, time.Now(), false
	s.mu.Unlock()
	go func() { _ = server.Serve(capped) }() // returns http.ErrServerClosed after close
	return nil
}

// close closes the listener and all connections. It does nothing if the server is down.
func (s *Server) close() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// count changes the counts under the lock.
func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	change(&s.stats)
	s.mu.Unlock()
}

// isDraining reports whether the server rejects new requests.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// milliseconds converts a number of milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
