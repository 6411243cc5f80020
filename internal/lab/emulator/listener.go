package emulator

import (
	"net"
	"sync/atomic"

	"cherrygap/internal/lab/appserver"
)

// cappedListener limits the number of open connections. It resets each connection past the limit, as a full app server
// does.
type cappedListener struct {
	net.Listener
	maxOpen  int64
	open     atomic.Int64 // connections; ConnState of Server.open subtracts the closed ones
	accepted atomic.Int64
	refused  atomic.Int64 // reset at the limit
}

// Accept returns the next connection within the limit. It implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
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
