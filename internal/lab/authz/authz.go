// Package authz is the laboratory's stand-in for an external authorizer. It serves Envoy's Authorization service (ext_authz,
// version 3) over gRPC on loopback. It allows and denies requests, and has faults from a seed: slow answers, failed calls,
// malformed answers and restarts.
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
	// randomStream is the second word of the seed.
	randomStream = 11
	// relistenInterval is the time between two attempts to listen after a restart.
	relistenInterval = 10 * time.Millisecond
	// malformedCode is a status code that gRPC does not define.
	malformedCode = 99
	// customerBase and customerBits are the base and the maximum size of the customer in a check.
	customerBase = 16
	customerBits = 64
)

// Config configures a Server. Probabilities are 0 to 1.
type Config struct {
	Seed                 uint64
	DenyEvery            uint64        // customers whose number is divisible by it are denied; 0 for none
	MeanDelay            time.Duration // mean of the exponential delay of each answer
	SlowProbability      float64       // probability that an answer is delayed by SlowDelay in addition
	SlowDelay            time.Duration
	DropProbability      float64       // probability that a call fails
	MalformedProbability float64       // probability of a malformed answer
	Uptime               time.Duration // time from each start to the next restart; 0 for no restarts
	Downtime             time.Duration // duration of a restart
}

// Server is a stand-in authorizer. Its methods are safe for concurrent use.
type Server struct {
	auth.UnimplementedAuthorizationServer

	config Config
	addr   string
	stop   chan struct{}  // closed by Close
	done   sync.WaitGroup // run

	mu         sync.Mutex      // guards the fields below
	random     *rand.Rand      // of the draws
	lastAnswer map[string]bool // whether the last answer allowed the request, by request id
	counts     Counts
}

// Counts counts the events of an authorizer.
type Counts struct {
	Answers int64 // calls that ended, including failed ones
	Starts  int64
}

// NotLoopbackError is the error for an address that is not a loopback address.
type NotLoopbackError struct{ Addr string }

// Error names the address.
func (e *NotLoopbackError) Error() string { return e.Addr + " is not a loopback address" }

// Start starts an authorizer on a loopback address, "host:port". Port 0 stands for a free port. For another address the error
// is a *NotLoopbackError. The caller must call Close, which ends the authorizer's goroutine.
func Start(addr string, cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if local, ok := listener.Addr().(*net.TCPAddr); !ok || !local.IP.IsLoopback() {
		_ = listener.Close()
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

// Addr returns the "host:port" of the authorizer, which stays the same over restarts.
func (s *Server) Addr() string { return s.addr }

// Close closes the authorizer. Calls in flight fail. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	s.done.Wait()
}

// run serves until Close, with the configured restarts.
func (s *Server) run(listener net.Listener) {
	defer s.done.Done()
	for listener != nil && s.serve(listener) {
		if !s.wait(s.config.Downtime) {
			return
		}
		listener = s.listenAgain()
	}
}

// serve serves until the end of Config.Uptime or until Close. It returns true for the former. Calls in flight fail.
func (s *Server) serve(listener net.Listener) (restart bool) {
	server := grpc.NewServer()
	auth.RegisterAuthorizationServer(server, s)
	s.mu.Lock()
	s.counts.Starts++
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

// listenAgain listens at the same address again. It retries while the address is in use, and returns nil after Close.
func (s *Server) listenAgain() net.Listener {
	for {
		if listener, err := net.Listen("tcp", s.addr); err == nil {
			return listener
		}
		if !s.wait(relistenInterval) {
			return nil
		}
	}
}

// wait waits for a time. It returns false if Close is called before the end.
func (s *Server) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// LastAnswer returns whether the last answer for a request allowed it, and whether there was an answer. The caller of the check
// may have timed out before the answer.
func (s *Server) LastAnswer(id string) (allowed, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed, answered = s.lastAnswer[id]
	return allowed, answered
}

// Counts returns the counts since Start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// drawnCall is the random part of a call.
type drawnCall struct {
	delay     time.Duration
	drop      bool // whether the call fails
	malformed bool // whether the answer is malformed
}

// draw draws the random part of a call.
func (s *Server) draw() drawnCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := drawnCall{delay: time.Duration(s.random.ExpFloat64() * float64(s.config.MeanDelay))}
	if s.random.Float64() < s.config.SlowProbability {
		drawn.delay += s.config.SlowDelay
	}
	drawn.drop, drawn.malformed = s.random.Float64() < s.config.DropProbability, s.random.Float64() < s.config.MalformedProbability
	return drawn
}

// Check implements the Authorization service. It does not stop when the caller's context ends, as a slow authorizer would not.
func (s *Server) Check(_ context.Context, r *auth.CheckRequest) (*auth.CheckResponse, error) {
	attributes := r.GetAttributes()
	customer, err := strconv.ParseUint(attributes.GetContextExtensions()["customer"], customerBase, customerBits)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "no customer")
	}
	drawn := s.draw()
	time.Sleep(drawn.delay)
	allowed := s.config.DenyEvery == 0 || customer%s.config.DenyEvery != 0
	s.mu.Lock()
	s.counts.Answers++
	if !drawn.drop && !drawn.malformed {
		s.lastAnswer[attributes.GetRequest().GetHttp().GetId()] = allowed
	}
	s.mu.Unlock()
	switch {
	case drawn.drop:
		return nil, status.Error(codes.Unavailable, "dropped")
	case drawn.malformed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: malformedCode}}, nil
	case allowed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)}}, nil
	}
	return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.PermissionDenied)}}, nil
}
