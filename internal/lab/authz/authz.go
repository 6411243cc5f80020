// Package authz is the laboratory's fake of an external authorizer. It serves Envoy's Authorization service (ext_authz,
// version 3) over gRPC on loopback. It allows or denies requests. Its faults, whose random draws come from a seed, are slow
// answers, failed calls, malformed answers and restarts.
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
	// randomStream is the second word of the random generator's seed.
	randomStream = 11
	// relistenInterval is the time between two attempts to listen after a restart.
	relistenInterval = 10 * time.Millisecond
	// malformedCode is a status code that gRPC does not define.
	malformedCode = 99
	// customerBase is the base of the customer number in a check, customerBits its maximum size in bits.
	customerBase = 16
	customerBits = 64
)

// Config configures a Server. Probabilities are 0 to 1.
type Config struct {
	Seed                 uint64
	DenyEvery            uint64        // the server denies customers whose number is divisible by DenyEvery; 0 denies none
	MeanDelay            time.Duration // mean of the exponential delay of each answer
	SlowProbability      float64       // probability that an answer is delayed by SlowDelay in addition
	SlowDelay            time.Duration // additional delay of a slow answer
	DropProbability      float64       // probability that a call fails
	MalformedProbability float64       // probability of a malformed answer
	Uptime               time.Duration // time from each start to the next restart; 0 means no restarts
	Downtime             time.Duration // time that the server is down at each restart
}

// Server is a fake authorizer. Its methods are safe for concurrent use.
type Server struct {
	auth.UnimplementedAuthorizationServer

	config Config
	addr   string
	stop   chan struct{}  // Close closes this channel.
	done   sync.WaitGroup // Close waits here for the goroutine of run.

	// mu guards the fields below.
	mu         sync.Mutex
	random     *rand.Rand      // generator of the faults
	lastAnswer map[string]bool // whether the last answer allowed the request, by request ID
	counts     Counts
}

// Counts counts the events of an authorizer.
type Counts struct {
	EndedCalls int64 // calls with a valid customer that ended, including failed ones
	Starts     int64 // starts, including the first one
}

// NotLoopbackError is the error for an address that is not a loopback address.
type NotLoopbackError struct{ Addr string }

// Error names the address.
func (e *NotLoopbackError) Error() string { return e.Addr + " is not a loopback address" }

// Start starts an authorizer on a loopback address, "host:port". Port 0 stands for a free port. For an address that is not a
// loopback address the error is a *NotLoopbackError. The caller must call Close, which ends the authorizer's goroutine.
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

// serve serves until the end of Config.Uptime or until Close. Calls in flight then fail. It returns true at the end of
// Config.Uptime and false at Close.
func (s *Server) serve(listener net.Listener) (restart bool) {
	server := grpc.NewServer()
	auth.RegisterAuthorizationServer(server, s)
	s.mu.Lock()
	s.counts.Starts++
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // Serve returns after Stop, which closes the listener.
	defer server.Stop()
	var uptimeEnded <-chan time.Time
	if s.config.Uptime > 0 {
		uptimeEnded = time.After(s.config.Uptime)
	}
	select {
	case <-s.stop:
		return false
	case <-uptimeEnded:
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

// wait waits for the duration d. It returns false if Close is called before the end of d.
func (s *Server) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// LastAnswer returns whether the last answer for a request ID allowed the request, and whether there was an answer. The
// caller of the check may have timed out before the answer.
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

// callFaults are the faults of one call.
type callFaults struct {
	delay     time.Duration // time before the answer
	drop      bool          // whether the call fails
	malformed bool          // whether the answer is malformed
}

// drawFaults draws the faults of a call.
func (s *Server) drawFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := callFaults{delay: time.Duration(s.random.ExpFloat64() * float64(s.config.MeanDelay))}
	if s.random.Float64() < s.config.SlowProbability {
		faults.delay += s.config.SlowDelay
	}
	faults.drop, faults.malformed = s.random.Float64() < s.config.DropProbability, s.random.Float64() < s.config.MalformedProbability
	return faults
}

// Check implements the Authorization service. It ignores the end of the caller's context, as a slow authorizer would.
func (s *Server) Check(_ context.Context, r *auth.CheckRequest) (*auth.CheckResponse, error) {
	attributes := r.GetAttributes()
	customer, err := strconv.ParseUint(attributes.GetContextExtensions()["customer"], customerBase, customerBits)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "no customer")
	}
	faults := s.drawFaults()
	time.Sleep(faults.delay)
	allowed := s.config.DenyEvery == 0 || customer%s.config.DenyEvery != 0
	s.mu.Lock()
	s.counts.EndedCalls++
	if !faults.drop && !faults.malformed {
		s.lastAnswer[attributes.GetRequest().GetHttp().GetId()] = allowed
	}
	s.mu.Unlock()
	switch {
	case faults.drop:
		return nil, status.Error(codes.Unavailable, "dropped")
	case faults.malformed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: malformedCode}}, nil
	case allowed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)}}, nil
	}
	return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.PermissionDenied)}}, nil
}
