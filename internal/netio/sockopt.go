package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// ErrorPause is how long to wait after a socket's error that is none of the node's own making.
const ErrorPause = 10 * time.Millisecond

// PastDeadline is a deadline that ends the read or write which waits on a connection.
var PastDeadline = time.Unix(1, 0)

// The setters below drop their error: a deadline or option can't be set only on a connection that is closed already,
// which the next read or write reports. closeConn's is dropped as the descriptor is given back in any case, and
// everything that has to reach the other side was written, and checked, before.

// SetDeadline sets the deadline of reads and writes.
func SetDeadline(conn net.Conn, at time.Time) { _ = conn.SetDeadline(at) }

// SetReadDeadline sets the deadline of reads.
func SetReadDeadline(conn readDeadliner, at time.Time) { _ = conn.SetReadDeadline(at) }

// SetWriteDeadline sets the deadline of writes.
func SetWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// SetAcceptDeadline sets the deadline of Accept.
func SetAcceptDeadline(ln *net.TCPListener, at time.Time) { _ = ln.SetDeadline(at) }

// CloseConn closes a connection or listener.
func CloseConn(conn io.Closer) { _ = conn.Close() }

// readDeadliner is what a RingBuffer needs of the connection that it reads.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// TimedOut reports whether an error is that a deadline of the node's own passed. ETIMEDOUT of a system call, whose Timeout
// method says true as well, is none: the connection broke, or accept(2) hands on what befell one that waited.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Earlier is the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
