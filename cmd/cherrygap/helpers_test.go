package main

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
)

// goodConfig is a platform configuration in which each key has a value that is used.
const goodConfig = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.5:7946"],
	"peers_all":"127.0.0.6:7946","known":{"rev":41,"all":true,"targets":[]},
	"settings":{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}}`

// noEnv is an environment in which nothing is set.
func noEnv(string) string { return "" }

// mustParse reads a configuration without an environment.
func mustParse(t *testing.T, text string) *config {
	t.Helper()
	c, err := parseConfig([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// closeAtEnd closes what a test opened, at its end. It may be closed already.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// listen opens a listener on a free port of the loopback address, until the test's end.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ln)
	return ln
}

// listenPacket opens a UDP socket on a free port of the loopback address, until the test's end.
func listenPacket(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	return conn
}

// freeAddress is an address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	closeNow(t, ln)
	return ln.Addr().String()
}

func closeNow(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// serveHTTP answers with a handler on a listener of its own, until the test's end.
func serveHTTP(t *testing.T, handler http.HandlerFunc) net.Listener {
	t.Helper()
	ln := listen(t)
	go func() { _ = http.Serve(ln, handler) }() // ends when the listener is closed
	return ln
}

// dial opens a connection, until the test's end.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	return conn
}

// eventually waits until a condition holds, for a limit at most.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen in time: " + what)
		}
	}
}

// accepts reports whether connections to an address are accepted now.
func accepts(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// signalSelf sends a signal to the test's own process.
func signalSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
}

// send sends a signal to a process that a test started.
func send(t *testing.T, p *os.Process, sig syscall.Signal) {
	t.Helper()
	if err := p.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// killAtEnd kills a process at the test's end, should it still run, and waits until it has ended.
func killAtEnd(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
}

// nodeText is a good configuration of a node that takes requests of one class and plan on a free port, and sends them to
// one app server.
func nodeText(t *testing.T, server net.Addr, listenOn, discovery string) string {
	t.Helper()
	return strings.NewReplacer("127.0.0.4:9000", listenOn, "127.0.0.9:8500", discovery, "127.0.0.4:7946", "127.0.0.1:0",
		`"targets":[]`, `"targets":[{"uid":"s","endpoint":"`+server.String()+`","state":"in_service"}]`,
		`"slot_no":2`, `"replicas_of_me":1,"tick":2000,"services":[{"name":"seats","slo":2000000,"semantics":"at_most_once"}],
		"tiers_of_service":[{"name":"team"}]`).Replace(goodConfig)
}

// requestText is a request of that class and plan, with a body.
func requestText(id string, timeout time.Duration) string {
	return fmt.Sprintf("POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Tariff: team\r\nX-Budget-Ms: %d\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nbody", id, timeout.Milliseconds())
}

// sendRequest writes such a request on a connection of its own and returns that.
func sendRequest(t *testing.T, address, id string, timeout time.Duration) net.Conn {
	t.Helper()
	conn := dial(t, address)
	if _, err := io.WriteString(conn, requestText(id, timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// startNode runs a node in the test's own process. The channel gives what it ended with.
func startNode(c *config) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- runServer(c) }() // ends once a test has sent SIGTERM
	return ended
}
