package frontend

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

// limitedListener is a listener of another protocol's front end that takes no more connections at once than its part
// of the clients' descriptors; the rest wait in the kernel. It keeps discovery's descriptors and the app servers' from
// crowds that come that way.
type limitedListener struct {
	net.Listener
	log       *zerolog.Logger
	slots     chan struct{} // holds one for each open connection
	closed    chan struct{}
	closeOnce sync.Once
}

// LimitListener limits the connections of another protocol's front end.
func (s *Server) LimitListener(listener net.Listener) net.Listener {
	return &limitedListener{
		Listener: listener,
		log:      s.log,
		slots:    make(chan struct{}, s.limits.GRPCConnections()),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a slot first, so that no connection is accepted over the limit. After Close the error is net.ErrClosed;
// no other is returned, as the front end's server would end at it, however soon it passes.
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

// limitedConn gives its slot back once it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
