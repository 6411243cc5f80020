// Package store is the laboratory's stand-in for a shared store that speaks the Redis protocol (RESP2, with redcon). It has the
// commands that the project uses, listens on loopback, and has faults on a schedule. It is written from the protocol's public
// specification and contains no code of a store.
package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// ErrNotLoopback is wrapped by the error for an address that is not a loopback address.
var ErrNotLoopback = errors.New("not a loopback address")

// Server is a stand-in store. Its methods are safe for concurrent use.
type Server struct {
	redcon   *redcon.Server
	listener net.Listener
	started  time.Time
	stop     chan struct{} // closed by Close

	mu      sync.Mutex // guards the fields below; held while a command runs
	random  *rand.Rand
	halves  [2]*data             // both the same unless the store is split
	faults  map[FaultKind]Fault  // active faults
	conns   map[redcon.Conn]bool // open connections, by whether they were accepted
	applied map[string]int64     // number of commands run, by name
}

// client is the state of a connection. Only the goroutine of the connection uses it.
type client struct {
	name   string     // set by CLIENT SETNAME
	multi  bool       // whether a transaction is open
	queued [][]string // commands of the open transaction
}

// Start starts a store on a loopback address, "host:port". Port 0 stands for a free port. The times of the faults count from
// now. The caller must call Close, which ends all goroutines of the store.
func Start(addr string, seed uint64, faults []Fault) (*Server, error) {
	for _, fault := range faults {
		if err := fault.Check(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in store: %w", err)
	}
	if !listener.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = listener.Close()
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, addr)
	}
	d := newData()
	s := &Server{
		listener: listener,
		started:  time.Now(),
		stop:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 3)),
		halves:   [2]*data{d, d},
		faults:   map[FaultKind]Fault{},
		conns:    map[redcon.Conn]bool{},
		applied:  map[string]int64{},
	}
	for _, fault := range faults {
		go s.runFault(fault)
	}
	s.redcon = redcon.NewServer("", s.handle, s.accept, s.closed)
	go func() { _ = s.redcon.Serve(listener) }() // returns an error after Close
	return s, nil
}

// Addr returns the store's "host:port".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the faults, and closes the listener and all connections. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	_ = s.redcon.Close() // fails only if the listener is closed already
}

// Applied returns the number of commands run, by name.
func (s *Server) Applied() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.applied)
}

// accept reports whether a new connection is accepted: unless the fault cut is active.
func (s *Server) accept(c redcon.Conn) bool {
	c.SetContext(&client{})
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.isOn(cut)
	s.conns[c] = accepted
	return accepted
}

// closed forgets a connection that is closed.
func (s *Server) closed(c redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// handle runs a command, or queues it in a transaction. redcon calls it on the goroutine of the connection.
func (s *Server) handle(c redcon.Conn, received redcon.Command) {
	words := make([]string, len(received.Args))
	for i, arg := range received.Args {
		words[i] = string(arg)
	}
	words[0] = strings.ToUpper(words[0])
	cl := c.Context().(*client)
	switch words[0] {
	case "MULTI":
		cl.multi, cl.queued = true, nil
		c.WriteString("OK")
		return
	case "DISCARD":
		cl.multi, cl.queued = false, nil
		c.WriteString("OK")
		return
	case "EXEC":
		s.exec(c, cl)
		return
	}
	if cl.multi {
		cl.queued = append(cl.queued, words)
		c.WriteString("QUEUED")
		return
	}
	s.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run(c, cl, words)
}

// exec runs EXEC: the commands of the open transaction.
func (s *Server) exec(c redcon.Conn, cl *client) {
	if !cl.multi {
		c.WriteError("ERR EXEC without MULTI")
		return
	}
	queued := cl.queued
	cl.multi, cl.queued = false, nil
	s.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOn(full) {
		c.WriteError("EXECABORT Transaction discarded because of: " + replyFull)
		return
	}
	c.WriteArray(len(queued))
	for _, words := range queued {
		s.run(c, cl, words)
	}
}
