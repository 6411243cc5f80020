// Package nodetest helps tests that run nodes: configurations, requests, listeners and processes that end with the test.
package nodetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// GoodConfig is a platform configuration that gives every key a value other than its default.
const GoodConfig = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.5:7946"],
	"peers_all":"127.0.0.6:7946","known":{"rev":41,"all":true,"targets":[]},
	"settings":{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}}`

// ConfigAt returns GoodConfig with other addresses of the node's HTTP listener, discovery and the peer socket.
func ConfigAt(listen, discovery, peer string) string {
	return strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", discovery, "127.0.0.4:7946", peer).Replace(GoodConfig)
}

// AnyPort is a loopback address whose port the kernel chooses.
const AnyPort = "127.0.0.1:0"

// GoodSettings are the settings in GoodConfig.
const GoodSettings = `{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}`

// WriteFile writes a text file that only its owner reads.
func WriteFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// CloseAtEnd closes a file, listener or connection with the test. It may be closed already.
func CloseAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// ListenPacket opens a UDP socket on a free port of the loopback address, until the test's end.
func ListenPacket(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	return conn
}

// FreeAddress returns a loopback address that was free a moment ago.
func FreeAddress(t *testing.T) string {
	t.Helper()
	ln := nettest.Listen(t)
	CloseNow(t, ln)
	return ln.Addr().String()
}

// CloseNow closes a file, listener or connection now, which must succeed.
func CloseNow(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// ServeHTTP answers with a handler on a listener of its own, until the test's end.
func ServeHTTP(t *testing.T, handler http.HandlerFunc) net.Listener {
	t.Helper()
	ln := nettest.Listen(t)
	go func() { _ = http.Serve(ln, handler) }() // ends when the listener is closed
	return ln
}

// Dial opens a connection, until the test's end.
func Dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	return conn
}

// Eventually waits until ok returns true, and fails the test after a limit. what names the awaited state.
func Eventually(t *testing.T, limit time.Duration, state string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen in time: " + state)
		}
	}
}

// Accepts reports whether a listener accepts connections at an address now. A connection to itself, which the kernel makes
// where the dialing socket is given the very port that it dials, is none.
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
		t.Fatal(err)
	}
}

// Signal sends a signal to a process that a test started.
func Signal(t *testing.T, p *os.Process, sig syscall.Signal) {
	t.Helper()
	if err := p.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// KillAtEnd kills a process at the test's end, should it still run, and waits until it has ended.
func KillAtEnd(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
}

// NodeConfig returns a valid configuration of a node with one app server, one request class and one plan.
func NodeConfig(t *testing.T, server net.Addr, listenOn, discovery string) string {
	t.Helper()
	return strings.NewReplacer(`"targets":[]`, `"targets":[{"uid":"s","endpoint":"`+server.String()+`","state":"in_service"}]`,
		`"slot_no":2`, `"replicas_of_me":1,"tick":2000,"services":[{"name":"seats","slo":2000000,"semantics":"at_most_once"}],
		"tiers_of_service":[{"name":"team"}]`).Replace(ConfigAt(listenOn, discovery, AnyPort))
}

// RequestBody is the body of RequestText.
const RequestBody = "body"

// RequestText is a request of NodeConfig's class and plan, with a body and a request budget.
func RequestText(id string, timeout time.Duration) string {
	lines := protocol.AppendRequestLines(nil, &protocol.Request{
		Method: http.MethodPost, URI: protocol.RequestPath("seats", 5), Host: "a", ID: id, Plan: "team", Timeout: timeout, Units: 1, Spread: 1,
	})
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", lines, len(RequestBody), RequestBody)
}

// SendRequest opens a connection, writes a RequestText on it, and returns the connection.
func SendRequest(t *testing.T, address, id string, timeout time.Duration) net.Conn {
	t.Helper()
	conn := Dial(t, address)
	if _, err := io.WriteString(conn, RequestText(id, timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}
