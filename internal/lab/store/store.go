// Package store is the laboratory's fake of a shared store that speaks the Redis protocol (RESP2, with redcon). It supports the
// commands that the project uses, listens on loopback, and has scheduled faults. It is written from the protocol's public
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

// Server is a fake store. Its methods are safe for concurrent use.
type Server struct {
	redcon   *redcon.Server
	listener net.Listener
	started  time.Time
	stop     chan struct{} // Close closes this channel.

	// mu guards the fields below. The server holds it while a command runs.
	mu            sync.Mutex
	random        *rand.Rand
	halves        [2]*data             // both halves of the data; the same pointer twice unless the store is split
	faults        map[FaultKind]Fault  // active faults by kind
	conns         map[redcon.Conn]bool // open connections, with true for accepted ones
	commandCounts map[string]int64     // number of commands by name, including rejected and unknown ones
}

// client is the state of a client's connection. Only the goroutine of the connection uses it.
type client struct {
	name   string     // name set with CLIENT SETNAME; empty for none
	multi  bool       // whether a transaction is open
	queued [][]string // arguments of each command of the open transaction
}

// Start starts a store on a loopback address, "host:port". Port 0 stands for a free port. The times of the faults are relative
// to the call. The caller must call Close, which ends all goroutines of the store.
func Start(addr string, seed uint64, faults []Fault) (*Server, error) {
	for _, fault := range faults {
		if err := fault.Check(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("fake store: %w", err)
	}
	if !listener.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = listener.Close()
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, addr)
	}
	d := newData()
	s := &Server{
		listener:      listener,
		started:       time.Now(),
		stop:          make(chan struct{}),
		random:        rand.New(rand.NewPCG(seed, 3)),
		halves:        [2]*data{d, d},
		faults:        map[FaultKind]Fault{},
		conns:         map[redcon.Conn]bool{},
		commandCounts: map[string]int64{},
	}
	for _, fault := range faults {
		go s.runFault(fault)
	}
	s.redcon = redcon.NewServer("", s.handle, s.accept, s.closed)
	go func() { _ = s.redcon.Serve(listener) }() // Serve returns after Close.
	return s, nil
}

// Addr returns the store's "host:port".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the faults, and closes the listener and all connections. It must be called once.
func (s *Server) Close() {
	close(s.stop)
	_ = s.redcon.Close() // fails only if the listener is already closed
}

// CommandCounts returns the number of commands by name, including rejected and unknown ones. It does not count MULTI, EXEC and
// DISCARD, and it counts the commands of a transaction at EXEC.
func (s *Server) CommandCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.commandCounts)
}

// accept reports whether a new connection is accepted. It is rejected while the fault cut is active.
func (s *Server) accept(c redcon.Conn) bool {
	c.SetContext(&client{})
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.isActive(faultCut)
	s.conns[c] = accepted
	return accepted
}

// closed removes a closed connection from conns.
func (s *Server) closed(c redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// handle runs a command, or queues it in an open transaction. redcon calls it on the goroutine of the connection.
func (s *Server) handle(c redcon.Conn, received redcon.Command) {
	args := make([]string, len(received.Args))
	for i, arg := range received.Args {
		args[i] = string(arg)
	}
	args[0] = strings.ToUpper(args[0])
	sender := c.Context().(*client)
	switch args[0] {
	case "MULTI":
		sender.multi, sender.queued = true, nil
		c.WriteString("OK")
		return
	case "DISCARD":
		sender.multi, sender.queued = false, nil
		c.WriteString("OK")
		return
	case "EXEC":
		s.exec(c, sender)
		return
	}
	if sender.multi {
		sender.queued = append(sender.queued, args)
		c.WriteString("QUEUED")
		return
	}
	s.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCommand(c, sender, args)
}

// exec runs EXEC, which runs the commands of the open transaction.
func (s *Server) exec(c redcon.Conn, sender *client) {
	if !sender.multi {
		c.WriteError("ERR EXEC without MULTI")
		return
	}
	queued := sender.queued
	sender.multi, sender.queued = false, nil
	s.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isActive(faultFull) {
		c.WriteError("EXECABORT Transaction discarded because of: " + replyFull)
		return
	}
	c.WriteArray(len(queued))
	for _, args := range queued {
		s.runCommand(c, sender, args)
	}
}
