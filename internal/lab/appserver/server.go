// Package appserver holds the parts that the laboratory's app servers share: the listener with its connections, reading a
// request, writing a response, and counting executions by request ID. The servers of a simulation add their own behaviour.
package appserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the pause after a failed accept, for example for want of a descriptor.
const acceptRetryDelay = time.Millisecond

// Server listens at one address, over its restarts, and serves each connection on a goroutine of its own. Its methods may
// be called from several goroutines.
type Server struct {
	serve func(net.Conn)

	mu       sync.Mutex            // guards the fields below
	addr     string                // host:port; the port is fixed by the first Listen
	listener net.Listener          // nil while the server is killed
	conns    map[net.Conn]struct{} // open connections
}

// New returns a server of addr (port 0 for a free port) that does not listen yet. serve is called on a new goroutine for
// each connection; the server closes the connection when serve returns.
func New(addr string, serve func(net.Conn)) *Server {
	return &Server{serve: serve, addr: addr, conns: map[net.Conn]struct{}{}}
}

// Addr returns the address, host:port. The port is known once Listen has returned.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Listen opens the address, which is the same after each Kill. prepare, if not nil, is called with the listener before the
// first accept. The goroutine that accepts connections ends with Kill.
func (s *Server) Listen(prepare func(net.Listener) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("app server: %w", err)
	}
	if prepare != nil {
		if err := prepare(listener); err != nil {
			return errors.Join(fmt.Errorf("app server %s: %w", s.addr, err), listener.Close())
		}
	}
	s.listener, s.addr = listener, listener.Addr().String()
	go s.accept(listener)
	return nil
}

// Kill closes the listener and resets all connections, as if the process had been killed. It does nothing if the server does
// not listen, and does not wait for the connections' goroutines.
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

// serveConn serves a connection and closes it.
func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close() // fails if it is closed already
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	s.serve(conn)
}

// ResetConn closes a connection with a TCP reset.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails for a closed connection only
	}
	_ = conn.Close()
}
