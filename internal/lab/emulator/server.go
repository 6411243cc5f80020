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

// Server is one emulated app server.
type Server struct {
	id         int
	cfg        operatorfile.Emulator
	schedule   Schedule
	fleetStart time.Time
	log        zerolog.Logger

	mu         sync.Mutex // guards what follows
	addr       string     // with the port that the first open got
	rng        *rand.Rand
	begunByID  map[string]int // requests begun, by request id
	stats      Stats
	bootedAt   time.Time
	draining   bool
	httpServer *http.Server // nil while it is down
	listener   *cappedListener

	workSlots chan struct{} // requests at work
	waiting   atomic.Int64
	working   atomic.Int64
}

// Addr is the server's address, host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stats gives a copy of the server's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.listener != nil {
		stats.Connections, stats.Refused = s.listener.accepted.Load(), s.listener.refused.Load()
	}
	return stats
}

// TimesBegun returns how often the server began to execute the request with this id.
func (s *Server) TimesBegun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begunByID[id]
}

// Drain makes the server reject new requests (503 with protocol.HeaderRejected) and answer health checks with 503, while it still
// accepts connections. What it holds may finish within the grace, after which it closes everything.
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

// open listens at the server's address and starts it cold. Its goroutine ends with close.
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
	go func() { _ = server.Serve(capped) }() // it returns an error always: that of close
	return nil
}

// close breaks all connections and refuses new ones.
func (s *Server) close() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// count changes the counts.
func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	change(&s.stats)
	s.mu.Unlock()
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
