package nettest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// eventuallyTimeout is the maximum wait of Eventually.
const eventuallyTimeout = 5 * time.Second

// Eventually waits until ok returns true, and fails the test after eventuallyTimeout. The failure message says that the test
// was waiting for condition.
func Eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", eventuallyTimeout, condition)
		}
	}
}

// Range of the addresses of this file: 127.200.0.1 to 127.231.255.251. Nothing else in this repository uses these addresses.
const (
	firstProcessNetwork = 200
	processNetworks     = 32
	processesPerNetwork = 256
)

// LoopbackAddr returns a loopback address of this test process, with port 0 for a free port. Test processes that run at the same
// time have different addresses, unless their process ids differ by a multiple of 8192. With a common address, one process
// could open a port that another has just closed. The first process would then receive connections of the other's clients, such
// as a discovery client whose server is closed.
func LoopbackAddr() string { return netip.AddrPortFrom(loopbackHost(listenersHost), 0).String() }

// Last bytes of a test process's addresses: one for LoopbackAddr, the others for UnusedLoopbackHost.
const (
	listenersHost   = 1
	firstUnusedHost = 2
	unusedHosts     = 250
)

// unusedHostCalls is the number of calls of UnusedLoopbackHost.
var unusedHostCalls atomic.Uint32

// UnusedLoopbackHost returns another loopback address at each call, so that a port that is free there stays free for the caller. Addresses
// repeat after unusedHosts calls.
func UnusedLoopbackHost() netip.Addr {
	return loopbackHost(firstUnusedHost + int(unusedHostCalls.Add(1)%unusedHosts))
}

// loopbackHost returns the address of this process with the given last byte.
func loopbackHost(lastByte int) netip.Addr {
	id := os.Getpid()
	network := firstProcessNetwork + id/processesPerNetwork%processNetworks
	return netip.AddrFrom4([4]byte{127, byte(network), byte(id % processesPerNetwork), byte(lastByte)})
}

// Listen opens a listener on an address of this process. The listener is closed when the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", LoopbackAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { Close(listener) })
	return listener
}

// ServeConns runs serve for each connection until the listener is closed, and closes the connection once serve returns.
func ServeConns(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { // This goroutine ends when serve returns.
			defer Close(conn)
			serve(conn)
		}()
	}
}

// http2PrefaceMethod is the method that an HTTP/1 server reads in the first bytes of an HTTP/2 connection. A node never sends
// such a method. It comes from a gRPC client of another test, which dials a port that now belongs to this app server.
const http2PrefaceMethod = "PRI"

// Handler answers one request and reports whether the connection stays open.
type Handler func(net.Conn, *http.Request) bool

// ServeRequests reads requests and passes each to serve, until serve returns false or no further request can be read.
func ServeRequests(conn net.Conn, serve Handler) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || request.Method == http2PrefaceMethod || !serve(conn, request) {
			return
		}
		DiscardAll(request.Body)
	}
}

// RecordCalls starts an HTTP server that sends the bytes of each request to calls. It answers each request with the next
// element of responses. Requests after the last response stay unanswered.
func RecordCalls(t *testing.T, responses ...string) (addr string, calls chan string) {
	t.Helper()
	listener := Listen(t)
	calls = make(chan string, 99)
	var answered atomic.Int64
	go ServeConns(listener, func(conn net.Conn) {
		var raw bytes.Buffer
		reader := bufio.NewReader(io.TeeReader(conn, &raw))
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			calls <- raw.String()
			raw.Reset()
			next := int(answered.Add(1)) - 1
			if next >= len(responses) {
				continue // The request stays unanswered.
			}
			_, err := io.WriteString(conn, responses[next])
			if err != nil || strings.Contains(responses[next], "Connection: close") {
				return
			}
		}
	})
	return listener.Addr().String(), calls
}

// The helpers below ignore errors, which show in a later read or in the result that the test checks. Most tests end connections
// at random moments on purpose.

// Close closes a connection or listener.
func Close(closer io.Closer) { _ = closer.Close() }

// WriteString writes text and ignores an error.
func WriteString(to io.Writer, text string) { _, _ = io.WriteString(to, text) }

// Respondf writes formatted text and ignores an error.
func Respondf(to io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(to, format, args...) }

// DiscardAll reads and discards everything up to the end of the stream.
func DiscardAll(from io.Reader) { _, _ = io.Copy(io.Discard, from) }

// WaitForClose waits until the other side closes the connection or sends a byte.
func WaitForClose(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }

// ResetOnClose makes a later Close reset the TCP connection.
func ResetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// CloseWrite closes the sending side of a TCP connection.
func CloseWrite(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// ServeHTTP serves HTTP requests until the listener is closed.
func ServeHTTP(listener net.Listener, handler http.Handler) { _ = http.Serve(listener, handler) }
