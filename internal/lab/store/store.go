// Package store is the laboratory's stand-in for a shared store with Redis's protocol (RESP2, by package redcon). It
// executes the commands that the project uses, on loopback, with faults on a schedule. It follows the protocol's public
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

// ErrNotLoopback is the error of an address that other hosts could reach.
var ErrNotLoopback = errors.New("not a loopback address")

// Server is a stand-in store. Its methods may be called from several goroutines.
type Server struct {
	redcon   *redcon.Server
	listener net.Listener
	started  time.Time
	stop     chan struct{} // closed by Close

	mu      sync.Mutex          // guards the fields below and the data; held while a command is executed
	random  *rand.Rand          // draws lost writes
	halves  [2]*data            // the same, unless split
	faults  map[FaultKind]Fault // active ones
	conns   map[redcon.Conn]bool
	applied map[string]int64 // executed commands, by name
}

// client is the state of a connection. Only the connection's goroutine uses it.
type client struct {
	name   string     // by CLIENT SETNAME
	multi  bool       // in a transaction
	queued [][]string // commands of the transaction
}

// Start starts a store on a loopback address (port 0 for a free one). The times of the faults count from now. The goroutines
// of connections and of faults end with Close.
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
	go func() { _ = s.redcon.Serve(listener) }() // ends with Close
	return s, nil
}

// Addr returns the store's address, host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, its faults and its connections. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	_ = s.redcon.Close() // fails if the listener is closed already
}

// Applied returns the number of executed commands, by name.
func (s *Server) Applied() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.applied)
}

// accept reports whether a new connection is accepted. It is not under the fault cut.
func (s *Server) accept(c redcon.Conn) bool {
	c.SetContext(&client{})
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.isActive(cut)
	s.conns[c] = accepted
	return accepted
}

// closed removes a closed connection.
func (s *Server) closed(c redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// handle executes or queues a command. It is called on the connection's goroutine, which the faults stall and slow block.
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

// exec executes a transaction.
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
	if s.isActive(full) {
		c.WriteError("EXECABORT Transaction discarded because of: " + replyFull)
		return
	}
	c.WriteArray(len(queued))
	for _, words := range queued {
		s.run(c, cl, words)
	}
}
