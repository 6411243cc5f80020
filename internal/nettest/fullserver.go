package nettest

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// FullServer starts an app server whose listen queue is full, so that connects to it time out. startAccepting returns a
// listener on the server's socket, with which the caller can accept connections.
func FullServer(t *testing.T) (addr netip.AddrPort, startAccepting func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("socket: %v", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatalf("bind to a free port of 127.0.0.1: %v", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatalf("listen: %v", err)
	}
	bound, _ := syscall.Getsockname(fd)
	addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*syscall.SockaddrInet4).Port))
	for range 4 { // The queue is full once a connect times out.
		conn, err := net.DialTimeout("tcp", addr.String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { Close(conn) })
	}
	closed := false
	t.Cleanup(func() {
		if !closed {
			_ = syscall.Close(fd) // The test has ended, so an error does not matter.
		}
	})
	return addr, func() net.Listener {
		closed = true
		if err := syscall.SetNonblock(fd, true); err != nil {
			t.Fatalf("set the listening socket non-blocking: %v", err)
		}
		file := os.NewFile(uintptr(fd), "full")
		defer Close(file)
		listener, err := net.FileListener(file)
		if err != nil {
			t.Fatalf("make a listener of the listening socket: %v", err)
		}
		t.Cleanup(func() { Close(listener) })
		return listener
	}
}
