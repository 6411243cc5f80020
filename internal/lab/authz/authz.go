// Package authz is the laboratory's stand-in for an external authorizer: Envoy's published Authorization service over
// gRPC on loopback, which allows, denies, is slow, errs, drops calls and restarts, from a seed and a schedule.
package authz

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	auth "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	randomStream   = 11                    // of the seed's, that this package draws from
	relistenAfter  = 10 * time.Millisecond // between two tries to listen again after a restart
	malformedCode  = 99                    // a status that gRPC doesn't have
	customerRadix  = 16                    // of the customer in a check
	customerLength = 64                    // in bits, at most
)

// Config is how it answers. Probabilities are 0 to 1.
type Config struct {
	Seed                 uint64
	DenyEvery            uint64        // customers whose number divides by it are denied; 0 for none
	MeanDelay            time.Duration // of each answer, mean of an exponential
	SlowProbability      float64       // that an answer takes SlowDelay on top
	SlowDelay            time.Duration
	DropProbability      float64       // that a call ends without an answer
	MalformedProbability float64       // of an answer that makes no sense
	Uptime               time.Duration // it restarts after so long, each time; 0 for never
	Downtime             time.Duration // for which it is gone then
}

// Server is a stand-in authorizer.
type Server struct {
	auth.UnimplementedAuthorizationServer

	config Config
	addr   string
	stop   chan struct{}  // closed by Close
	done   sync.WaitGroup // run

	mu         sync.Mutex // guards the rest
	random     *rand.Rand
	lastAnswer map[string]bool // by the request's id: what was answered last, whether or not in time
	answers    int64
	starts     int64
}

// NotLoopbackError is an address that isn't on this machine's loopback: the lab listens nowhere else.
type NotLoopbackError struct{ Addr string }

// Error has the address.
func (e *NotLoopbackError) Error() string { return e.Addr + " is not a loopback address" }

// Start starts one on a loopback address (port 0 for a free one); another is a *NotLoopbackError. Its goroutine ends with
// Close.
func Start(addr string, cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if local, ok := listener.Addr().(*net.TCPAddr); !ok || !local.IP.IsLoopback() {
		_ = listener.Close() // nothing has used it
		return nil, &NotLoopbackError{Addr: addr}
	}
	s := &Server{
		config: cfg, addr: listener.Addr().String(), stop: make(chan struct{}), lastAnswer: map[string]bool{},
		random: rand.New(rand.NewPCG(cfg.Seed, randomStream)),
	}
	s.done.Add(1)
	go s.run(listener)
	return s, nil
}

// Addr is where it listens, when it is up.
func (s *Server) Addr() string { return s.addr }

// Close ends it; calls in flight fail.
func (s *Server) Close() {
	close(s.stop)
	s.done.Wait()
}

// run serves, and restarts where the configuration wants it, until Close.
func (s *Server) run(listener net.Listener) {
	defer s.done.Done()
	for listener != nil && s.serve(listener) {
		if !s.wait(s.config.Downtime) {
			return
		}
		listener = s.listenAgain()
	}
}

// serve serves until the end of the uptime, and reports whether that came before Close. Calls in flight fail.
func (s *Server) serve(listener net.Listener) (restart bool) {
	server := grpc.NewServer()
	auth.RegisterAuthorizationServer(server, s)
	s.mu.Lock()
	s.starts++
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // until Stop, which closes the listener
	defer server.Stop()
	var up <-chan time.Time
	if s.config.Uptime > 0 {
		up = time.After(s.config.Uptime)
	}
	select {
	case <-s.stop:
		return false
	case <-up:
		return true
	}
}

// listenAgain listens at the same address, which another may hold for a while. It returns nil after Close.
func (s *Server) listenAgain() net.Listener {
	for {
		if listener, err := net.Listen("tcp", s.addr); err == nil {
			return listener
		}
		if !s.wait(relistenAfter) {
			return nil
		}
	}
}

// wait waits, and reports whether that was not cut short by Close.
func (s *Server) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// LastAnswer is what it answered for a request, and whether it did.
func (s *Server) LastAnswer(id string) (allowed, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed, answered = s.lastAnswer[id]
	return allowed, answered
}

// Counts is how many answers it gave, and how often it started.
func (s *Server) Counts() (answers, starts int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.starts
}

// fate is what becomes of one call.
type fate struct {
	delay           time.Duration
	drop, malformed bool
}

func (s *Server) drawFate() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fate{delay: time.Duration(s.random.ExpFloat64() * float64(s.config.MeanDelay))}
	if s.random.Float64() < s.config.SlowProbability {
		f.delay += s.config.SlowDelay
	}
	f.drop, f.malformed = s.random.Float64() < s.config.DropProbability, s.random.Float64() < s.config.MalformedProbability
	return f
}

// Check answers one call. It works on after the caller gave up, as a slow authorizer does.
func (s *Server) Check(_ context.Context, r *auth.CheckRequest) (*auth.CheckResponse, error) {
	attributes := r.GetAttributes()
	customer, err := strconv.ParseUint(attributes.GetContextExtensions()["customer"], customerRadix, customerLength)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "no customer")
	}
	f := s.drawFate()
	time.Sleep(f.delay)
	allowed := s.config.DenyEvery == 0 || customer%s.config.DenyEvery != 0
	s.mu.Lock()
	s.answers++
	if !f.drop && !f.malformed {
		s.lastAnswer[attributes.GetRequest().GetHttp().GetId()] = allowed
	}
	s.mu.Unlock()
	switch {
	case f.drop:
		return nil, status.Error(codes.Unavailable, "dropped")
	case f.malformed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: malformedCode}}, nil
	case allowed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)}}, nil
	}
	return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.PermissionDenied)}}, nil
}
