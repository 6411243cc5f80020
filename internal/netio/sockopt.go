package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// ErrorRetryDelay is the wait before a failed accept, datagram read or dial is repeated. Without the wait, a persistent error would
// use a whole core.
const ErrorRetryDelay = 10 * time.Millisecond

// PastDeadline is a deadline in the past. It ends a read or write that waits on a connection.
var PastDeadline = time.Unix(1, 0)

// The functions below ignore the error of a setter. Setting a deadline fails only on a closed connection, which the next read
// or write reports.

// SetDeadline sets the deadline of reads and writes.
func SetDeadline(conn net.Conn, at time.Time) { _ = conn.SetDeadline(at) }

// SetReadDeadline sets the deadline of reads.
func SetReadDeadline(conn readDeadliner, at time.Time) { _ = conn.SetReadDeadline(at) }

// SetWriteDeadline sets the deadline of writes.
func SetWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// SetAcceptDeadline sets the deadline of Accept.
func SetAcceptDeadline(ln *net.TCPListener, at time.Time) { _ = ln.SetDeadline(at) }

// CloseConn closes a connection or listener. It ignores the error, because the descriptor is released in any case and the
// caller has already checked its writes.
func CloseConn(conn io.Closer) { _ = conn.Close() }

// readDeadliner is the part of a connection that a RingBuffer uses.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// TimedOut reports whether err means that a deadline set by this process passed. ETIMEDOUT from a system call does not count,
// although its Timeout method returns true. It means that the connection broke, or that accept(2) returned the error of a
// queued connection.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Earlier returns the earlier of two times. The zero time is earlier than all others.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
