// Package authz is the laboratory's stand-in for an external authorizer with Envoy's Authorization service (gRPC), on
// loopback. It allows or denies requests. By its configuration it also delays, drops or malforms responses, and restarts.
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
	randomStream   = 11                    // second half of the random seed
	relistenDelay  = 10 * time.Millisecond // between two attempts to listen again after a restart
	malformedCode  = 99                    // not a status code of gRPC
	customerRadix  = 16                    // of the customer's number in a check
	customerLength = 64                    // bits
)

// Config configures an authorizer. Probabilities are 0 to 1.
type Config struct {
	Seed                 uint64
	DenyEvery            uint64        // customers whose number is a multiple are denied; 0 for none
	MeanDelay            time.Duration // of responses; the delay is exponentially distributed
	SlowProbability      float64       // of a response with the additional delay SlowDelay
	SlowDelay            time.Duration
	DropProbability      float64       // of a call that fails
	MalformedProbability float64       // of a response with an invalid status
	Uptime               time.Duration // until each restart; 0 for no restarts
	Downtime             time.Duration // of each restart
}

// Server is a stand-in authorizer. Its methods may be called from several goroutines.
type Server struct {
	auth.UnimplementedAuthorizationServer

	config Config
	addr   string
	stop   chan struct{}  // closed by Close
	done   sync.WaitGroup // counts run

	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	lastAnswer map[string]bool // whether the last response allowed the request, by request ID
	counts     Counts
}

// Counts counts the responses and starts of an authorizer.
type Counts struct {
	Answers int64 // dropped and malformed ones included
	Starts  int64
}

// NotLoopbackError is the error of an address that other hosts could reach.
type NotLoopbackError struct{ Addr string }

// Error returns a text with the address.
func (e *NotLoopbackError) Error() string { return e.Addr + " is not a loopback address" }

// Start starts an authorizer on a loopback address (port 0 for a free one). It returns a *NotLoopbackError for any other
// address. The authorizer's goroutine ends with Close.
func Start(addr string, cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if local, ok := listener.Addr().(*net.TCPAddr); !ok || !local.IP.IsLoopback() {
		_ = listener.Close() // it has accepted no connection
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

// Addr returns the authorizer's address, host:port, which restarts do not change.
func (s *Server) Addr() string { return s.addr }

// Close stops the authorizer and waits for its goroutine. Calls in flight fail. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	s.done.Wait()
}

// run serves calls and executes the restarts until Close.
func (s *Server) run(listener net.Listener) {
	defer s.done.Done()
	for listener != nil && s.serve(listener) {
		if !s.wait(s.config.Downtime) {
			return
		}
		listener = s.listenAgain()
	}
}

// serve serves calls until the uptime or Close. It reports whether a restart follows. Calls in flight at the end fail.
func (s *Server) serve(listener net.Listener) (restart bool) {
	server := grpc.NewServer()
	auth.RegisterAuthorizationServer(server, s)
	s.mu.Lock()
	s.counts.Starts++
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Stop, which closes the listener
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

// listenAgain opens the same address, and retries while another process uses it. It returns nil after Close.
func (s *Server) listenAgain() net.Listener {
	for {
		if listener, err := net.Listen("tcp", s.addr); err == nil {
			return listener
		}
		if !s.wait(relistenDelay) {
			return nil
		}
	}
}

// wait waits for a time. It returns false if Close is called before.
func (s *Server) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// LastAnswer returns the last answer to a check of the request with this ID. answered is false if there was none, or if it
// was dropped or malformed.
func (s *Server) LastAnswer(id string) (allowed, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed, answered = s.lastAnswer[id]
	return allowed, answered
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// callFaults holds the faults of a call.
type callFaults struct {
	delay     time.Duration
	drop      bool
	malformed bool
}

// drawFaults draws the faults of a call.
func (s *Server) drawFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := callFaults{delay: time.Duration(s.random.ExpFloat64() * float64(s.config.MeanDelay))}
	if s.random.Float64() < s.config.SlowProbability {
		f.delay += s.config.SlowDelay
	}
	f.drop = s.random.Float64() < s.config.DropProbability
	f.malformed = s.random.Float64() < s.config.MalformedProbability
	return f
}

// Check answers a call, also if the caller's context has ended meanwhile. It implements auth.AuthorizationServer.
func (s *Server) Check(_ context.Context, r *auth.CheckRequest) (*auth.CheckResponse, error) {
	attributes := r.GetAttributes()
	customer, err := strconv.ParseUint(attributes.GetContextExtensions()["customer"], customerRadix, customerLength)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "no customer")
	}
	f := s.drawFaults()
	time.Sleep(f.delay)
	allowed := s.config.DenyEvery == 0 || customer%s.config.DenyEvery != 0
	s.mu.Lock()
	s.counts.Answers++
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
