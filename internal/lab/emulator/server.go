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

	"cherrygap/internal/operatorfile"
)

// Server is an emulated app server. Its methods are safe for concurrent use.
type Server struct {
	id         int // number in the fleet
	cfg        operatorfile.Emulator
	schedule   Schedule
	fleetStart time.Time
	log        zerolog.Logger

	mu         sync.Mutex      // guards the fields up to listener
	addr       string          // with the port of the first open
	rng        *rand.Rand      // of the draws
	begunByID  map[string]int  // executions by request id
	stats      Stats           // without the counts of listener
	bootedAt   time.Time       // time of the last open
	draining   bool            // whether new requests are rejected
	httpServer *http.Server    // nil while the server is down
	listener   *cappedListener // of the last open

	workSlots chan struct{} // holds an element for each executing request
	waiting   atomic.Int64  // queued requests
	working   atomic.Int64  // executing requests
}

// Addr returns the server's "host:port".
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stats returns the server's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.listener != nil {
		stats.Connections, stats.Refused = s.listener.accepted.Load(), s.listener.refused.Load()
	}
	return stats
}

// TimesBegun returns the number of executions of the request with an id.
func (s *Server) TimesBegun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begunByID[id]
}

// Drain starts the graceful shutdown. From then on the server rejects new requests, and responds to health checks with status
// 503. It still accepts connections and finishes its requests. After cfg.DrainMs it closes everything.
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
		stillOpen := s.httpServer == drained
		s.mu.Unlock()
		if stillOpen {
			s.close()
		}
	})
}

// open starts the server at its address, with a warm-up. Its goroutine ends with close.
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
	go func() { _ = server.Serve(capped) }() // always returns an error: http.ErrServerClosed after close
	return nil
}

// close closes the listener and all connections.
func (s *Server) close() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// count calls change with the counts, under the lock.
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

// milliseconds returns a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
