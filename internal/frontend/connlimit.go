package frontend

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

// limitedListener bounds the number of open connections of another protocol's front end. Further connections wait in the
// kernel's queue. The bound keeps file descriptors free for discovery and app servers, however many clients connect.
type limitedListener struct {
	net.Listener
	log       *zerolog.Logger
	slots     chan struct{} // semaphore that holds one element for each open connection
	closed    chan struct{} // closed by Close
	closeOnce sync.Once     // closes closed once
}

// LimitListener wraps the listener of a gRPC front end. At most Limits.GRPCConnections of the listener's connections are
// open at once. The server's own limit, Limits.HTTPConnections, leaves room for them.
func (s *Server) LimitListener(listener net.Listener) net.Listener {
	return &limitedListener{
		Listener: listener,
		log:      s.log,
		slots:    make(chan struct{}, s.limits.GRPCConnections()),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a slot and then for a connection. It retries after each error, because a gRPC server stops when its
// listener returns an error. After Close it returns net.ErrClosed.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn().Err(err).Msg("accept failed")
		time.Sleep(netio.ErrorRetryDelay)
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener, which ends Accept. It may be called more than once.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
