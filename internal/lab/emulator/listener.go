package emulator

import (
	"net"
	"sync/atomic"

	"cherrygap/internal/lab/appserver"
)

// limitedListener limits the number of open connections. Like a full app server it resets each connection beyond the limit.
type limitedListener struct {
	net.Listener
	maxOpen  int64
	open     atomic.Int64 // number of open connections; Server.open sets a ConnState that subtracts the closed ones
	accepted atomic.Int64 // number of connections accepted within the limit
	refused  atomic.Int64 // number of connections reset at the limit
}

// Accept returns the next connection within the limit, and so implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.maxOpen {
			l.refused.Add(1)
			appserver.ResetConn(conn)
			continue
		}
		l.open.Add(1)
		l.accepted.Add(1)
		return conn, nil
	}
}
