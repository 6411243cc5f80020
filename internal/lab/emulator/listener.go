package emulator

import (
	"net"
	"sync/atomic"
)

// cappedListener limits the number of open connections. It resets further ones.
type cappedListener struct {
	net.Listener
	maxOpen  int64
	open     atomic.Int64 // open connections; decremented by the user of the listener
	accepted atomic.Int64
	refused  atomic.Int64 // connections reset because of the limit
}

// Accept returns the next connection within the limit.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.maxOpen {
			l.refused.Add(1)
			resetConn(conn)
			continue
		}
		l.open.Add(1)
		l.accepted.Add(1)
		return conn, nil
	}
}

// resetConn closes a connection with a TCP reset. It ignores errors, which mean that the connection is closed already.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
