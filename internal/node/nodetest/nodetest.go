// Package nodetest helps tests that run nodes. It has configurations and requests. It opens sockets, and closes them and ends
// processes at the end of the test.
package nodetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// GoodConfig is a valid platform configuration in which every top-level key has a value other than its zero value.
const GoodConfig = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.5:7946"],
	"peers_all":"127.0.0.6:7946","known":{"rev":41,"all":true,"targets":[]},
	"settings":{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}}`

// ConfigAt returns GoodConfig with the given addresses of the HTTP listener, the discovery service and the peer socket.
func ConfigAt(listen, discovery, peer string) string {
	return strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", discovery, "127.0.0.4:7946", peer).Replace(GoodConfig)
}

// LoopbackAddr is a loopback address with port 0, for which the kernel chooses a port.
const LoopbackAddr = "127.0.0.1:0"

// GoodSettings is the value of the key settings in GoodConfig.
const GoodSettings = `{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}`

// WriteFile writes text to a file that only its owner may read and write.
func WriteFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// CloseAtEnd closes a file, listener or connection at the end of the test. The test may close it earlier.
func CloseAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// ListenPacket opens a UDP socket on a free port of the loopback address. It is closed at the end of the test.
func ListenPacket(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	return conn
}

// FreeAddress returns a loopback address whose TCP port is free, with another host at each call. The port is found without listening: a
// process that another test forks meanwhile holds the socket until it executes its program, and connections would be accepted at the
// address until then.
func FreeAddress(t *testing.T) string {
	t.Helper()
	host := nettest.UnusedLoopbackHost()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("socket: %v", err)
	}
	defer func() { _ = syscall.Close(fd) }() // fails only for an unknown descriptor
	// The listener that takes the port has this option too, so it may bind while the socket is still open in a forked process.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatalf("set SO_REUSEADDR: %v", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		t.Fatalf("bind to a free port of %v: %v", host, err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatalf("getsockname: %v", err)
	}
	return netip.AddrPortFrom(host, uint16(bound.(*syscall.SockaddrInet4).Port)).String()
}

// CloseNow closes a file, listener or connection, and fails the test on an error.
func CloseNow(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// ServeHTTP serves HTTP requests with a handler on a new listener, which is closed at the end of the test.
func ServeHTTP(t *testing.T, handler http.HandlerFunc) net.Listener {
	t.Helper()
	ln := nettest.Listen(t)
	go func() { _ = http.Serve(ln, handler) }() // ends when the listener is closed
	return ln
}

// Dial opens a TCP connection, which is closed at the end of the test.
func Dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	return conn
}

// Eventually waits until reached returns true, and fails the test after limit. state completes the message "waiting for".
func Eventually(t *testing.T, limit time.Duration, state string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", limit, state)
		}
	}
}

// Accepts reports whether a listener accepts connections at an address now. A connection of a socket to itself does not count;
// the kernel makes one if it gives the dialing socket the port that it dials.
func Accepts(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	selfConnected := conn.LocalAddr().String() == conn.RemoteAddr().String()
	return conn.Close() == nil && !selfConnected
}

// SignalSelf sends a signal to the test's own process.
func SignalSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
		t.Fatalf("send the signal %v to the test's own process: %v", sig, err)
	}
}

// Signal sends a signal to a process that a test started.
func Signal(t *testing.T, p *os.Process, sig syscall.Signal) {
	t.Helper()
	if err := p.Signal(sig); err != nil {
		t.Fatalf("send the signal %v to process %d: %v", sig, p.Pid, err)
	}
}

// KillAtEnd kills a process at the end of the test, if it still runs, and waits until it has ended.
func KillAtEnd(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // the process may have ended
		_ = cmd.Wait()
	})
}

// NodeConfig returns a valid configuration of a node with one app server, one request class and one plan.
func NodeConfig(t *testing.T, server net.Addr, listenOn, discovery string) string {
	t.Helper()
	return strings.NewReplacer(`"targets":[]`, `"targets":[{"uid":"s","endpoint":"`+server.String()+`","state":"in_service"}]`,
		`"slot_no":2`, `"replicas_of_me":1,"tick":2000,"services":[{"name":"seats","slo":2000000,"semantics":"at_most_once"}],
		"tiers_of_service":[{"name":"team"}]`).Replace(ConfigAt(listenOn, discovery, LoopbackAddr))
}

// RequestBody is the body of RequestText.
const RequestBody = "body"

// RequestText returns an HTTP request of the class and plan in NodeConfig, with RequestBody and a time budget of timeout.
func RequestText(id string, timeout time.Duration) string {
	lines := protocol.AppendRequestLines(nil, &protocol.Request{
		Method: http.MethodPost, URI: protocol.RequestPath("seats", 5), Host: "a", ID: id, Plan: "team", Timeout: timeout, Units: 1, Spread: 1,
	})
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", lines, len(RequestBody), RequestBody)
}

// SendRequest opens a connection, writes RequestText to it, and returns the connection. It is closed at the end of the test.
func SendRequest(t *testing.T, address, id string, timeout time.Duration) net.Conn {
	t.Helper()
	conn := Dial(t, address)
	if _, err := io.WriteString(conn, RequestText(id, timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}
