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

// controlBytes is the size of the buffer for the control data of a read. The data contains one timestamp.
const controlBytes = 64

// stampedConn reads data from a connection together with the kernel's arrival timestamps. So the times of an attempt do not
// depend on the time at which the server reads it.
type stampedConn struct {
	*net.TCPConn
	raw         syscall.RawConn
	firstByteAt time.Time // time at which the first byte since beginMessage arrived
	lastByteAt  time.Time // time at which the last byte that was read arrived
}

// newStampedConn wraps a connection whose listener enableTimestamps has prepared.
func newStampedConn(conn *net.TCPConn) (*stampedConn, error) {
	raw, err := conn.SyscallConn()
	return &stampedConn{TCPConn: conn, raw: raw}, err
}

// enableTimestamps enables arrival timestamps for the connections of a listener.
func enableTimestamps(listener net.Listener) error {
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

// beginMessage marks the start of the next message. The first byte is then read alone, as each read returns only the timestamp of
// its last byte.
func (c *stampedConn) beginMessage() { c.firstByteAt = time.Time{} }

// Read reads like net.Conn, and records the arrival times.
func (c *stampedConn) Read(p []byte) (int, error) {
	if c.firstByteAt.IsZero() {
		p = p[:1]
	}
	var control [controlBytes]byte
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
	c.lastByteAt = timestampOf(control[:controlLength])
	if c.firstByteAt.IsZero() {
		c.firstByteAt = c.lastByteAt
	}
	return n, nil
}

// timestampOf returns the timestamp in the control data of a read, with a reading of this process's monotonic clock. If the data
// contains no timestamp, it returns the time of the call.
func timestampOf(control []byte) time.Time {
	now := time.Now()
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return now
	}
	for _, m := range messages {
		if m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= 16 {
			timestamp := time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
			return now.Add(-max(0, now.Round(0).Sub(timestamp)))
		}
	}
	return now
}
