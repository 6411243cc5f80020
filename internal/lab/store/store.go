// Package store is the laboratory's stand-in for a shared store that speaks Redis's protocol (RESP2, by redcon): the few
// commands that the project uses, on loopback, with faults on a schedule. It is written from the protocol's public
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

// ErrNotLoopback is returned for an address that other hosts could reach.
var ErrNotLoopback = errors.New("not a loopback address")

// Server is a stand-in store.
type Server struct {
	redcon   *redcon.Server
	listener net.Listener
	started  time.Time
	stop     chan struct{} // closed by Close

	// mu guards what follows, with the data in halves. Commands are carried out one at a time under it.
	mu      sync.Mutex
	random  *rand.Rand
	halves  [2]*data // the same, unless split
	faults  map[FaultKind]Fault
	conns   map[redcon.Conn]bool
	applied map[string]int64
}

// client is the state of a connection. Only the connection's own goroutine uses it.
type client struct {
	name   string     // by CLIENT SETNAME
	multi  bool       // in a transaction
	queued [][]string // the commands of the transaction
}

// Start starts a store on a loopback address (port 0 for a free one); the times of the faults count from now. Connections
// are served by goroutines that end with their connection, at the latest with Close.
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
		_ = listener.Close() // nothing came over it
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
	go func() { _ = s.redcon.Serve(listener) }() // until Close, whose error it returns
	return s, nil
}

// Addr returns where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, its faults and its connections. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	_ = s.redcon.Close() // a listener that is closed already is as good
}

// Applied counts the commands carried out, by name.
func (s *Server) Applied() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.applied)
}

// accept accepts a connection, unless the store is cut off.
func (s *Server) accept(c redcon.Conn) bool {
	c.SetContext(&client{})
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.isOn(cut)
	s.conns[c] = accepted
	return accepted
}

func (s *Server) closed(c redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// handle processes a command. Each connection has its own goroutine, which a stall blocks.
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

// exec runs a transaction.
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
