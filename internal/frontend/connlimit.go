package frontend

import (
	"errors"
	"net"
	"sync"
	"time"

	"cherrygap/internal/netio"
)

// limitedListener bounds the number of open connections of another protocol's front end, and the processor time of accepting them.
// Further connections wait in the kernel's queue. The bound keeps file descriptors free for discovery and app servers, however many
// clients connect.
type limitedListener struct {
	net.Listener
	server    *Server
	slots     chan struct{} // semaphore that holds one element for each open connection
	closed    chan struct{} // closed by Close
	closeOnce sync.Once     // closes closed once
}

// LimitListener wraps the listener of a gRPC front end. At most Limits.GRPCConnections of the listener's connections are
// open at once. The server's own limit, Limits.HTTPConnections, leaves room for them. The connections are *LimitedConn, and what they cost
// until a request of theirs was forwarded comes from the server's processor budget.
func (s *Server) LimitListener(listener net.Listener) net.Listener {
	return &limitedListener{
		Listener: listener,
		server:   s,
		slots:    make(chan struct{}, s.limits.GRPCConnections()),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a slot, for the processor budget and then for a connection. It retries after each error, because a gRPC server
// stops when its listener returns an error. After Close it returns net.ErrClosed.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	for {
		l.server.awaitAccept()
		calledAt := time.Now()
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			<-l.slots
			return nil, net.ErrClosed
		case err != nil:
			l.server.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(netio.ErrorRetryDelay)
		case !l.server.dropEnded(conn.(*net.TCPConn), calledAt):
			return newLimitedConn(l, conn.(*net.TCPConn), calledAt), nil
		}
	}
}

// Close closes the listener, which ends Accept. It may be called more than once.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
