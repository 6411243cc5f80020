package soak

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlSpace is the size of the control data of a read, in bytes. It holds one timestamp.
const controlSpace = 64

// stampedConn reads a connection together with the kernel's arrival timestamps. The times of an attempt do not depend on
// when the server, or this process, reads it.
type stampedConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	first time.Time // when the first byte since begin arrived
	last  time.Time // when the last byte arrived
}

// newStampedConn wraps a connection of a listener that stampListener has prepared.
func newStampedConn(conn *net.TCPConn) (*stampedConn, error) {
	raw, err := conn.SyscallConn()
	return &stampedConn{TCPConn: conn, raw: raw}, err
}

// stampListener enables timestamps for the connections of a listener.
func stampListener(listener net.Listener) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return errors.Join(err, optionErr)
}

// begin marks the begin of the next message. Its first byte is read by itself, as a read has the timestamp of its last byte.
func (c *stampedConn) begin() { c.first = time.Time{} }

func (c *stampedConn) Read(p []byte) (int, error) {
	if c.first.IsZero() {
		p = p[:1]
	}
	var control [controlSpace]byte
	n, controlLength := 0, 0
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, controlLength, _, _, readErr = unix.Recvmsg(int(fd), p, control[:], 0)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	c.last = stampOf(control[:controlLength])
	if c.first.IsZero() {
		c.first = c.last
	}
	return n, nil
}

// stampOf returns the timestamp in the control data of a read, by this process's monotonic clock. Without a timestamp it
// returns the time of the call.
func stampOf(control []byte) time.Time {
	now := time.Now()
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return now
	}
	for _, m := range messages {
		if m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= 16 {
			stamp := time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
			return now.Add(-max(0, now.Round(0).Sub(stamp)))
		}
	}
	return now
}
