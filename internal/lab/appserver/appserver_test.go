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

// startEcho starts a server that answers each request with its ID.
func startEcho(t *testing.T) *Server {
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

// exchange sends a request over a connection and returns the response's bytes up to its body's last one.
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

// A connection carries several requests. Kill resets it and refuses new ones; Listen opens the same address again.
func TestServerKeepsItsAddressOverRestarts(t *testing.T) {
	s := startEcho(t)
	addr := s.Addr()
	for range 2 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"a1", "b2"} {
			got, err := exchange(conn, id)
			if want := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + id; err != nil || got != want {
				t.Fatalf("got %q, %v; want %q", got, err, want)
			}
		}
		s.Kill()
		if _, err := exchange(conn, "c3"); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			t.Errorf("a killed server's connection: %v", err)
		}
		_ = conn.Close()
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			t.Error("a killed server accepts connections")
		}
		if err := s.Listen(nil); err != nil || s.Addr() != addr {
			t.Fatalf("restarted at %s: %v", s.Addr(), err)
		}
	}
}

// A connection that was accepted before Kill and is served after it is not tracked, and so is reset.
func TestConnectionAcceptedBeforeKillIsReset(t *testing.T) {
	s := startEcho(t)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	s.Kill()
	ours, theirs := net.Pipe()
	defer func() { _, _ = ours.Close(), theirs.Close() }()
	if s.track(listener, ours) {
		t.Error("a killed server tracks a connection")
	}
	if err := s.Listen(nil); err != nil {
		t.Fatal(err)
	}
	if s.track(listener, ours) {
		t.Error("a restarted server tracks a connection of its earlier listener")
	}
}

func TestListenerIsClosedIfPreparationFails(t *testing.T) {
	s := New("127.0.0.1:0", func(net.Conn) {})
	failure := errors.New("no such option")
	var prepared net.Listener
	err := s.Listen(func(listener net.Listener) error { prepared = listener; return failure })
	if !errors.Is(err, failure) {
		t.Fatalf("got %v", err)
	}
	if _, err := prepared.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the listener is open: %v", err)
	}
}

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
				t.Errorf("got %+v, %v; want %+v", got, err, c.want)
			}
		})
	}
	if _, err := ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nshort"))); err == nil {
		t.Error("no error for a body that is cut short")
	}
}

func TestResponseBytes(t *testing.T) {
	var whole, half strings.Builder
	if err := WriteResponse(&whole, 503, "full", "X-A: 1", "X-B: 2"); err != nil {
		t.Fatal(err)
	}
	if err := WriteHalfResponse(&half, "done x"); err != nil {
		t.Fatal(err)
	}
	if want := "HTTP/1.1 503 Service Unavailable\r\nX-A: 1\r\nX-B: 2\r\nContent-Length: 4\r\n\r\nfull"; whole.String() != want {
		t.Errorf("got %q", whole.String())
	}
	if want := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ndon"; half.String() != want {
		t.Errorf("got %q", half.String())
	}
}

func TestExecutionsAreCountedByID(t *testing.T) {
	var executions Executions
	var wg sync.WaitGroup
	for range 50 {
		wg.Add(1)
		go func() { defer wg.Done(); executions.Begin("a") }()
	}
	wg.Wait()
	if times := executions.Begin("a"); times != 51 || executions.Times("a") != 51 {
		t.Errorf("a: %d, %d", times, executions.Times("a"))
	}
	if executions.Times("b") != 0 {
		t.Error("b was never executed")
	}
}
