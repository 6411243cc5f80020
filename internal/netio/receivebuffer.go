package netio

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ReceiveBufferControl returns a function for net.ListenConfig.Control and net.Dialer.Control that sets the kernel's receive buffer of
// a socket to size bytes. Connections inherit the size from their listener. It returns nil, which sets nothing, for a size of 0. A
// failure leaves the kernel's default.
func ReceiveBufferControl(size int) func(network, address string, conn syscall.RawConn) error {
	if size == 0 {
		return nil
	}
	return func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) { setReceiveBuffer(fd, size) })
	}
}

// setReceiveBuffer sets the size of a socket's receive buffer in bytes. 0 leaves the kernel's default, and so does a failure.
func setReceiveBuffer(fd uintptr, size int) {
	if size > 0 {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}
}

// clientSegment is the largest TCP segment of a client connection, in bytes. A client's kernel sizes its send buffer by the segment, and
// on loopback, with segments of 64 KiB, lets the client queue megabytes. A close with unread input resets the connection, and on
// loopback the closing process then frees that queue. Ten segments, the initial window of RFC 6928, hold the largest body, so that a
// request and the client's close behind it arrive without a round trip.
const clientSegment = 7 << 10

// ListenerControl returns a function for net.ListenConfig.Control that sets the receive buffer and the segment size of accepted
// connections, which inherit both from their listener. A receive buffer of 0 leaves the kernel's default, and so does a failure.
func ListenerControl(receiveBuffer int) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			setReceiveBuffer(fd, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, clientSegment)
		})
	}
}
