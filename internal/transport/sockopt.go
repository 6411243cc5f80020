package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// errorPause is how long to wait after a socket's error that is none of the node's own making.
const errorPause = 10 * time.Millisecond

// pastDeadline, set as a deadline, ends the read or write that is waiting on a connection.
var pastDeadline = time.Unix(1, 0)

// The setters below drop their error: a deadline or option can't be set only on a connection that is closed already,
// which the next read or write reports. closeConn's is dropped as the descriptor is given back in any case, and
// everything that has to reach the other side was written, and checked, before.

func setDeadline(conn net.Conn, at time.Time)             { _ = conn.SetDeadline(at) }
func setReadDeadline(conn readDeadliner, at time.Time)    { _ = conn.SetReadDeadline(at) }
func setWriteDeadline(conn net.Conn, at time.Time)        { _ = conn.SetWriteDeadline(at) }
func setAcceptDeadline(ln *net.TCPListener, at time.Time) { _ = ln.SetDeadline(at) }
func closeConn(conn io.Closer)                            { _ = conn.Close() }

// readDeadliner is what a ringBuffer needs of the connection that it reads.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// timedOut reports whether an error is that a deadline of the node's own passed. ETIMEDOUT of a system call, whose Timeout
// method says true as well, is none: the connection broke, or accept(2) hands on what befell one that waited.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// earlier is the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
