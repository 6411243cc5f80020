package appserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

// startEchoServer starts a server that answers each request with the request's ID. The server is killed when the test ends.
func startEchoServer(t *testing.T) *Server {
	t.Helper()
	s := New("127.0.0.1:0", func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := ReadRequest(reader)
			if err != nil || WriteResponse(conn, 200, request.ID) != nil {
				return
			}
		}
	})
	if err := s.Listen(nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

// exchange sends a request over a connection and returns the bytes of the response, up to the end of its body.
func exchange(conn net.Conn, id string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: app\r\n"+protocol.HeaderRequestID+": "+id+
		"\r\nContent-Length: 3\r\n\r\nabc"); err != nil {
		return "", err
	}
	buffer := make([]byte, len("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")+len(id))
	_, err := io.ReadFull(conn, buffer)
	return string(buffer), err
}

// Guards against a server that still serves after Kill, or that restarts at another address. A connection carries several
// requests. Kill resets it, and new connections are refused. Listen opens the same address again.
func TestServerKeepsItsAddressOverRestarts(t *testing.T) {
	s := startEchoServer(t)
	addr := s.Addr()
	for start := range 2 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"a1", "b2"} {
			got, err := exchange(conn, id)
			if want := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + id; err != nil || got != want {
				t.Fatalf("start %d: exchange(%q) = %q, %v, want %q and no error", start+1, id, got, err, want)
			}
		}
		s.Kill()
		if _, err := exchange(conn, "c3"); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			t.Errorf("start %d: exchange over a killed server's connection: got error %v, want ECONNRESET or EPIPE", start+1, err)
		}
		_ = conn.Close()
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			t.Errorf("start %d: Dial(%s) succeeded after Kill, want a refused connection", start+1, addr)
		}
		if err := s.Listen(nil); err != nil || s.Addr() != addr {
			t.Fatalf("start %d: Listen after Kill: error %v, address %s, want no error and address %s", start+1, err, s.Addr(), addr)
		}
	}
}

// Guards against a connection that survives Kill. The accept may return just before Kill, and the server may handle
// the connection only after Kill. The server then has to reject the connection, also if Listen has opened a new listener.
func TestConnectionAcceptedBeforeKillIsReset(t *testing.T) {
	s := startEchoServer(t)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	s.Kill()
	accepted, peer := net.Pipe()
	defer func() { _, _ = accepted.Close(), peer.Close() }()
	if s.track(listener, accepted) {
		t.Error("track after Kill = true, want false")
	}
	if err := s.Listen(nil); err != nil {
		t.Fatal(err)
	}
	if s.track(listener, accepted) {
		t.Error("track with the listener from before the restart = true, want false")
	}
}

// Guards against a leaked listener, which would keep the port in use after Listen has failed.
func TestListenerIsClosedIfPreparationFails(t *testing.T) {
	s := New("127.0.0.1:0", func(net.Conn) {})
	failure := errors.New("no such option")
	var prepared net.Listener
	err := s.Listen(func(listener net.Listener) error { prepared = listener; return failure })
	if !errors.Is(err, failure) {
		t.Fatalf("Listen with a failing prepare: got error %v, want %v", err, failure)
	}
	if _, err := prepared.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the failed Listen: got error %v, want %v", err, net.ErrClosed)
	}
}

// Guards against a wrong ID or timeout, and against a request that is accepted although its body is cut short. A missing or
// invalid timeout counts as not stated.
func TestReadRequest(t *testing.T) {
	for name, c := range map[string]struct {
		headers string
		want    Request
	}{
		"all":              {protocol.HeaderRequestID + ": x\r\n" + protocol.HeaderTimeout + ": 1500\r\n", Request{ID: "x", Timeout: 1500 * time.Millisecond}},
		"none":             {"", Request{}},
		"negative timeout": {protocol.HeaderTimeout + ": -1\r\n", Request{}},
		"bad timeout":      {protocol.HeaderTimeout + ": soon\r\n", Request{}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ReadRequest(bufio.NewReader(strings.NewReader("GET /quote/2 HTTP/1.1\r\nHost: app\r\n" + c.headers + "\r\n")))
			if err != nil || got.ID != c.want.ID || got.Timeout != c.want.Timeout || got.Method != "GET" || got.Path != "/quote/2" {
				t.Errorf("ReadRequest = %+v, %v, want ID %q, Timeout %v, Method GET, Path /quote/2 and no error", got, err, c.want.ID, c.want.Timeout)
			}
		})
	}
	if _, err := ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nshort"))); err == nil {
		t.Error("ReadRequest of a body that is cut short: got no error, want one")
	}
}

// Guards against a response that is not valid HTTP/1.1. A half response states the length of the whole body, so that the client
// detects the missing half.
func TestResponseBytes(t *testing.T) {
	var whole, half strings.Builder
	if err := WriteResponse(&whole, 503, "full", "X-A: 1", "X-B: 2"); err != nil {
		t.Fatalf("WriteResponse: %v", err)
	}
	if err := WriteHalfResponse(&half, "done x"); err != nil {
		t.Fatalf("WriteHalfResponse: %v", err)
	}
	if want := "HTTP/1.1 503 Service Unavailable\r\nX-A: 1\r\nX-B: 2\r\nContent-Length: 4\r\n\r\nfull"; whole.String() != want {
		t.Errorf("WriteResponse wrote %q, want %q", whole.String(), want)
	}
	if want := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ndon"; half.String() != want {
		t.Errorf("WriteHalfResponse wrote %q, want %q", half.String(), want)
	}
}

// Guards against counts that are lost when several goroutines begin executions of the same ID. The counts show whether a
// request was executed twice. An ID without an execution has the count 0.
func TestExecutionsAreCountedByID(t *testing.T) {
	var executions Executions
	var wg sync.WaitGroup
	for range 50 {
		wg.Add(1)
		go func() { defer wg.Done(); executions.Begin("a") }()
	}
	wg.Wait()
	if count := executions.Begin("a"); count != 51 || executions.Count("a") != 51 {
		t.Errorf("after 51 executions of \"a\": Begin = %d, Count = %d, want 51 and 51", count, executions.Count("a"))
	}
	if executions.Count("b") != 0 {
		t.Errorf("Count(\"b\") = %d without an execution, want 0", executions.Count("b"))
	}
}
