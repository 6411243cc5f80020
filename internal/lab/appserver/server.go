// Package appserver holds the parts that the laboratory's app servers share. These are the listener with its connections,
// functions that read a request and write a response, and the count of executions by request ID. The servers of a
// simulation add their own behaviour.
package appserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the pause after a failed accept, for example when the process has no free file descriptor.
const acceptRetryDelay = time.Millisecond

// Server listens at one address, which stays the same over restarts. It serves each connection on a goroutine of its own.
// Its methods may be called from several goroutines.
type Server struct {
	serve func(net.Conn)

	// mu guards the fields below.
	mu       sync.Mutex
	addr     string                // host:port; the first Listen fixes the port
	listener net.Listener          // current listener; nil before Listen and after Kill
	conns    map[net.Conn]struct{} // open connections
}

// New returns a server with the address addr (port 0 for a free port) that does not listen yet. The server calls serve on a
// new goroutine for each connection, and closes the connection when serve returns.
func New(addr string, serve func(net.Conn)) *Server {
	return &Server{serve: serve, addr: addr, conns: map[net.Conn]struct{}{}}
}

// Addr returns the address, host:port. A free port is known once Listen has returned.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Listen opens the server's address. After Kill, Listen opens the same address again. If prepare is not nil, Listen calls
// prepare with the listener before the first accept. The goroutine that accepts connections ends with Kill.
func (s *Server) Listen(prepare func(net.Listener) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("app server: %w", err)
	}
	if prepare != nil {
		if err := prepare(listener); err != nil {
			return errors.Join(fmt.Errorf("app server: prepare the listener at %s: %w", s.addr, err), listener.Close())
		}
	}
	s.listener, s.addr = listener, listener.Addr().String()
	go s.accept(listener)
	return nil
}

// Kill closes the listener and resets all connections, as if the process had been killed. It does nothing if the server does
// not listen. It does not wait for the connections' goroutines.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		ResetConn(conn)
	}
}

// accept accepts connections until the listener is closed.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(listener, conn) {
			ResetConn(conn)
			continue
		}
		go s.serveConn(conn)
	}
}

// track adds an accepted connection to conns. It returns false if Kill was called after the accept.
func (s *Server) track(listener net.Listener, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// serveConn serves a connection, closes it, and removes it from conns.
func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close() // Close fails only if the connection is already closed.
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	s.serve(conn)
}

// ResetConn closes a connection with a TCP reset, if it is a TCP connection.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // SetLinger fails only for a closed connection.
	}
	_ = conn.Close()
}
