// Package authz is the laboratory's stand-in for an external authoriser: Envoy's published Authorization service over
// gRPC on loopback, which allows, denies, lags, errs, drops calls and restarts, from a seed and a schedule.
package authz

import (
	"context"
	"fmt"
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

// Config is how it answers.
type Config struct {
	Seed                 uint64
	DenyEvery            uint64        // customers whose number divides by it are denied; 0 for none
	MeanDelay            time.Duration // of each answer, mean of an exponential
	SlowProbability      float64       // chance that an answer takes LagFor on top
	SlowDelay            time.Duration
	DropProbability      float64       // chance that a call ends without an answer
	MalformedProbability float64       // chance of an answer that makes no sense
	Uptime               time.Duration // it restarts after so long, each time; 0 for never
	Downtime             time.Duration
}

// Server is a stand-in authoriser.
type Server struct {
	auth.UnimplementedAuthorizationServer
	cfg  Config
	addr string
	stop chan struct{}
	done sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	server     *grpc.Server
	lastAnswer map[string]bool // by the ticket's id: what was answered last, whether or not in time
	answers    int64
	starts     int64
}

// Start starts one on a loopback address (port 0 for a free one).
func Start(addr string, cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if !ln.Addr().(*net.TCPAddr).IP.IsLoopback() {
		ln.Close()
		return nil, fmt.Errorf("%s is not a loopback address", addr)
	}
	s := &Server{
		cfg: cfg, addr: ln.Addr().String(), stop: make(chan struct{}), lastAnswer: map[string]bool{},
		random: rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
	s.done.Add(1)
	go s.run(ln)
	return s, nil
}

// Addr is where it listens, when it is up.
func (s *Server) Addr() string { return s.addr }

// run serves, and restarts where the configuration wants it: calls under way are broken off.
func (s *Server) run(ln net.Listener) {
	defer s.done.Done()
	for {
		server := grpc.NewServer()
		auth.RegisterAuthorizationServer(server, s)
		s.mu.Lock()
		s.server = server
		s.starts++
		s.mu.Unlock()
		go server.Serve(ln)
		up := make(<-chan time.Time)
		if s.cfg.Uptime > 0 {
			up = time.After(s.cfg.Uptime)
		}
		select {
		case <-s.stop:
			server.Stop()
			return
		case <-up:
			server.Stop()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(s.cfg.Downtime):
		}
		for err := error(nil); ; time.Sleep(10 * time.Millisecond) {
			if ln, err = net.Listen("tcp", s.addr); err == nil {
				break
			}
			select {
			case <-s.stop:
				return
			default:
			}
		}
	}
}

// Close ends it.
func (s *Server) Close() {
	close(s.stop)
	s.done.Wait()
}

// LastAnswer tells what it answered for a ticket, and whether it did.
func (s *Server) LastAnswer(id string) (allowed, said bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed, said = s.lastAnswer[id]
	return allowed, said
}

// Counts is how many answers it gave, and how often it started.
func (s *Server) Counts() (answers, starts int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.starts
}

// Check answers one call.
func (s *Server) Check(ctx context.Context, r *auth.CheckRequest) (*auth.CheckResponse, error) {
	a := r.GetAttributes()
	customer, err := strconv.ParseUint(a.GetContextExtensions()["customer"], 16, 64)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "no customer")
	}
	s.mu.Lock()
	wait := time.Duration(s.random.ExpFloat64() * float64(s.cfg.MeanDelay))
	if s.random.Float64() < s.cfg.SlowProbability {
		wait += s.cfg.SlowDelay
	}
	drop, odd := s.random.Float64() < s.cfg.DropProbability, s.random.Float64() < s.cfg.MalformedProbability
	s.mu.Unlock()
	time.Sleep(wait) // on after the caller gave up, as a slow one does
	allowed := s.cfg.DenyEvery == 0 || customer%s.cfg.DenyEvery != 0
	s.mu.Lock()
	s.answers++
	if !drop && !odd {
		s.lastAnswer[a.GetRequest().GetHttp().GetId()] = allowed
	}
	s.mu.Unlock()
	switch {
	case drop:
		return nil, status.Error(codes.Unavailable, "dropped")
	case odd:
		return &auth.CheckResponse{Status: &rpc.Status{Code: 99}}, nil
	case allowed:
		return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)}}, nil
	}
	return &auth.CheckResponse{Status: &rpc.Status{Code: int32(codes.PermissionDenied)}}, nil
}
