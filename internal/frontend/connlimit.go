package frontend

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

// limitedListener bounds the open connections of another protocol's front end. Further ones wait in the kernel's queue.
// Protects the descriptors of discovery and of the app servers from crowds of clients.
type limitedListener struct {
	net.Listener
	log       *zerolog.Logger
	slots     chan struct{} // has an element for each open connection
	closed    chan struct{}
	closeOnce sync.Once // guards the close of closed
}

// LimitListener returns a listener for another protocol's front end that shares the server's limit of client connections.
func (s *Server) LimitListener(listener net.Listener) net.Listener {
	return &limitedListener{
		Listener: listener,
		log:      s.log,
		slots:    make(chan struct{}, s.limits.GRPCConnections()),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a slot and then for a connection. It retries after each error, because a server ends at an error of its
// listener. After Close it returns net.ErrClosed.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn().Err(err).Msg("accept failed")
		time.Sleep(netio.ErrorPause)
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close ends Accept.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
