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
	id         int // number of the server in the fleet, from 0
	cfg        operatorfile.Emulator
	schedule   Schedule
	fleetStart time.Time
	log        zerolog.Logger

	// mu guards the fields up to listener.
	mu         sync.Mutex
	addr       string           // host:port; the first open fixes the port
	rng        *rand.Rand       // generator of faults and service times
	stats      Stats            // counts, without those of the listener
	startedAt  time.Time        // start of the current incarnation
	draining   bool             // whether the server rejects new requests
	httpServer *http.Server     // HTTP server of the current incarnation; nil while the server is down
	listener   *limitedListener // listener of the current or last incarnation

	executions appserver.Executions // counts of executions by request ID
	workSlots  chan struct{}        // semaphore with one element for each executing request
	queued     atomic.Int64         // number of queued requests
	executing  atomic.Int64         // number of executing requests
}

// Addr returns the server's address, host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stats returns the counts since the fleet's start. Connections and Refused count only since the last restart.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.listener != nil {
		stats.Connections, stats.Refused = s.listener.accepted.Load(), s.listener.refused.Load()
	}
	return stats
}

// ExecutionCount returns how often the server began to execute the request with the given ID.
func (s *Server) ExecutionCount(id string) int {
	return s.executions.Count(id)
}

// Drain makes the server reject new requests and respond to health checks with 503, while it still accepts connections.
// Requests in flight may finish within the configured grace. After that the server closes with all its connections.
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
		sameIncarnation := s.httpServer == drained
		s.mu.Unlock()
		if sameIncarnation {
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
	limited := &limitedListener{Listener: listener, maxOpen: int64(s.cfg.Connections)}
	server := &http.Server{
		Handler:     s,
		IdleTimeout: time.Duration(s.cfg.IdleS * float64(time.Second)),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connUsedKey{}, &atomic.Bool{})
		},
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed || state == http.StateHijacked {
				limited.open.Add(-1)
			}
		},
	}
	s.mu.Lock()
	s.addr, s.httpServer, s.listener, s.startedAt, s.draining = listener.Addr().String(), server, limited, time.Now(), false
	s.mu.Unlock()
	go func() { _ = server.Serve(limited) }() // Serve returns http.ErrServerClosed after close.
	return nil
}

// close closes the listener and all connections of the server. It does nothing if the server is down.
func (s *Server) close() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// count calls change with the counts while it holds the lock.
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

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
