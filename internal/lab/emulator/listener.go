package emulator

import (
	"net"
	"sync/atomic"
)

// cappedListener resets connections past its limit, as a full app server does.
type cappedListener struct {
	net.Listener
	maxOpen           int64
	open              atomic.Int64
	accepted, refused atomic.Int64
}

// Accept waits for a connection within the limit.
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

// resetConn closes a connection with a TCP reset. An error says that the client has done so already.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
