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

// controlSpace is room for the kernel's stamp of a read.
const controlSpace = 64

// stampedConn reads a connection with the kernel's stamps of when bytes came, so that a server that reads late, or this
// process being late itself, makes nothing look late.
type stampedConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	first time.Time // when the first byte since begin came
	last  time.Time // when the last one did
}

// newStampedConn makes a connection of a listener's that stampListener was called on.
func newStampedConn(conn *net.TCPConn) (*stampedConn, error) {
	raw, err := conn.SyscallConn()
	return &stampedConn{TCPConn: conn, raw: raw}, err
}

// stampListener has the kernel stamp what comes on the listener's connections.
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

// begin readies for the next message. Its first byte is read by itself, as a read has the stamp of the last.
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

// stampOf is the kernel's stamp in a read's control data, on this process's clock; now where there is none.
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
