package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// A request whose response was cut off may have run: an unsafe one is neither retried nor rejected.
func TestResponsesCutOff(t *testing.T) {
	halfResponse := func(conn net.Conn, _ *http.Request) bool {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
		return false
	}
	for retries, want := range map[string]struct{ status, sent int }{
		settings.RetryUnsafe: {502, 1}, settings.RetrySafe: {503, 2},
	} {
		node := frontendtest.Start(t, retries, frontendtest.Limits, 3, halfResponse)
		status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
		if attempts := int(node.Counters.Upstream.Attempts.Load()); status != want.status || attempts > 3 || retries == settings.RetryUnsafe && attempts != 1 {
			t.Errorf("%s: status %d after %d attempts", retries, status, attempts)
		}
		if !node.Log.ClosedFor(netio.ReasonServerReset) || node.Counters.Upstream.AttemptOutcomes[protocol.ConnectionReset].Load() == 0 {
			t.Errorf("%s: no reset connection logged", retries)
		}
	}
}

// A request with a malformed response has run. Bytes behind a good response are never the next request's response.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	longResponse := "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
	for _, response := range []string{
		"noise\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
		longResponse,
		longResponse + strings.Repeat("x", 1<<20),
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20),
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<15),
	} {
		node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
			nettest.WriteString(conn, response)
			nettest.WaitForClose(conn) // it stays open
			return false
		})
		status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
		if malformed := node.Counters.Upstream.AttemptOutcomes[protocol.MalformedResponse].Load(); status != 502 || malformed != 1 {
			t.Errorf("%.40q: status %d, %d malformed", response, status, malformed)
		}
	}
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?")
		return true
	})
	for range 20 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "mine")); status == 200 && body != "mine" {
			t.Fatalf("body %q", body)
		}
	}
}

// If a connection breaks before a request's last byte, the attempt continues on a new connection.
func TestConnectionThatBreaksBeforeTheLastByte(t *testing.T) {
	var conns atomic.Int64
	listener := nettest.Listen(t)
	go nettest.ServeConns(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for served := 0; ; served++ {
			if _, err := reader.Peek(1); err != nil || conns.Load() == 1 && served == 1 {
				return // reset at the second request's first bytes
			}
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if served == 0 {
				conns.Add(1)
			}
			frontendtest.Echo(conn, request)
		}
	})
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 0, nil)
	node.ListOnly(frontendtest.Endpoint("s", listener))
	for range 2 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "body")); status != 200 || body != "body" {
			t.Errorf("status %d, %q", status, body)
		}
		time.Sleep(2 * upstream.SettleTime)
	}
	if conns.Load() != 2 || !node.Log.ClosedFor(netio.ReasonServerStale) || node.Counters.Upstream.AttemptOutcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("%d connections", conns.Load())
	}
}

// An attempt at a server that accepts and closes uses two connections and ends as a failed connect. If the server's
// goroutine closes so late that the request was written completely, the request may have run. Such a play is checked
// for that, and repeated.
func TestNewConnectionsThatBreak(t *testing.T) {
	const maxRuns = 10 // one in 500 has a late close
	for range maxRuns {
		if breakNewConnections(t) {
			return
		}
	}
	t.Errorf("the server closed late in each of %d plays", maxRuns)
}

// breakNewConnections reports whether the server closed in time.
func breakNewConnections(t *testing.T) bool {
	t.Helper()
	listener := nettest.Listen(t)
	var accepted atomic.Int64
	go nettest.ServeConns(listener, func(net.Conn) { accepted.Add(1) })
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 0, nil)
	node.ListOnly(frontendtest.Endpoint("s", listener))
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	if reset := node.Counters.Upstream.AttemptOutcomes[protocol.ConnectionReset].Load(); reset > 0 {
		if status != 502 || reset != 1 {
			t.Errorf("status %d, %d attempts that may have run", status, reset)
		}
		return false
	}
	if failed := node.Counters.Upstream.AttemptOutcomes[protocol.ConnectFailed].Load(); status != 503 || failed == 0 || accepted.Load() != upstream.MaxNewConns*failed {
		t.Errorf("status %d, %d connections in %d attempts", status, accepted.Load(), failed)
	}
	return true
}

func TestSilentServerTimesOut(t *testing.T) {
	deadlines := make(chan string, 1)
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		deadlines <- request.Header.Get(protocol.HeaderTimeout)
		nettest.WaitForClose(conn)
		return false
	})
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(700, ""))
	if ms, err := strconv.Atoi(<-deadlines); status != 502 || err != nil || ms < 300 || ms >= 700 {
		t.Errorf("status %d, the server was given %d ms, %v", status, ms, err)
	}
	if !node.Log.ClosedFor(netio.ReasonServerTimeout) {
		t.Error("no line for the server that timed out")
	}
}
