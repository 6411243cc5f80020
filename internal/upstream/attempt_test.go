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

// TestResponsesCutOff guards against retrying or rejecting an unsafe request that may have run. The app servers close the
// connection in the middle of the response's body.
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
			t.Errorf("retry safety %s: status %d after %d attempts, want status %d after at most 3 attempts, or exactly 1 if unsafe",
				retries, status, attempts, want.status)
		}
		if !node.Log.ClosedFor(netio.ReasonServerReset) || node.Counters.Upstream.AttemptOutcomes[protocol.ConnectionReset].Load() == 0 {
			t.Errorf("retry safety %s: close logged with reason %q = %v, %d attempts counted as %v; want true, at least 1", retries, netio.ReasonServerReset,
				node.Log.ClosedFor(netio.ReasonServerReset), node.Counters.Upstream.AttemptOutcomes[protocol.ConnectionReset].Load(), protocol.ConnectionReset)
		}
	}
}

// TestMalformedResponsesAreNotPassedOn guards against passing on a malformed or oversized response, or retrying its request,
// which has run. It also guards against reading bytes behind a complete response as the response to the next request.
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
			nettest.WaitForClose(conn) // The server keeps the connection open.
			return false
		})
		status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
		if malformed := node.Counters.Upstream.AttemptOutcomes[protocol.MalformedResponse].Load(); status != 502 || malformed != 1 {
			t.Errorf("server response of %d bytes %.40q: client got status %d, %d attempts counted as malformed; want 502 and 1", len(response), response, status, malformed)
		}
	}
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?")
		return true
	})
	for range 20 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "mine")); status == 200 && body != "mine" {
			t.Fatalf("response body = %q, want %q", body, "mine")
		}
	}
}

// TestConnectionThatBreaksBeforeTheLastByte guards against failing a request whose connection breaks before the last byte. The
// app server closes its first connection at the first bytes of the second request. The attempt must continue on a new
// connection.
func TestConnectionThatBreaksBeforeTheLastByte(t *testing.T) {
	var conns atomic.Int64
	listener := nettest.Listen(t)
	go nettest.ServeConns(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for served := 0; ; served++ {
			if _, err := reader.Peek(1); err != nil || conns.Load() == 1 && served == 1 {
				return // The connection breaks at the second request's first bytes.
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
	node.SetOnlyServer(frontendtest.Endpoint("s", listener))
	for i := range 2 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "body")); status != 200 || body != "body" {
			t.Errorf("request %d: status %d, body %q; want 200, %q", i, status, body, "body")
		}
		time.Sleep(2 * upstream.ReuseDelay)
	}
	if conns.Load() != 2 || !node.Log.ClosedFor(netio.ReasonServerStale) || node.Counters.Upstream.AttemptOutcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("%d connections served a request, close logged with reason %q = %v, %d attempts counted as %v; want 2, true, 0", conns.Load(), netio.ReasonServerStale,
			node.Log.ClosedFor(netio.ReasonServerStale), node.Counters.Upstream.AttemptOutcomes[protocol.ConnectFailed].Load(), protocol.ConnectFailed)
	}
}

// TestNewConnectionsThatBreak guards against an attempt that dials without end, or counts as executed, if the server closes
// each connection after the accept. The attempt must use two connections and end as a failed connect. If the server closes
// only after the request was written completely, the request may have run. The test then checks for that outcome and runs
// again.
func TestNewConnectionsThatBreak(t *testing.T) {
	const maxRuns = 10 // The server closes late in one of 500 runs.
	for range maxRuns {
		if breakNewConnections(t) {
			return
		}
	}
	t.Errorf("the server closed late in each of %d runs, want at least one run with a close before the request's last byte", maxRuns)
}

// breakNewConnections runs one request against a server that closes each connection after the accept. It reports whether the
// server closed before the request was written completely.
func breakNewConnections(t *testing.T) bool {
	t.Helper()
	listener := nettest.Listen(t)
	var accepted atomic.Int64
	go nettest.ServeConns(listener, func(net.Conn) { accepted.Add(1) })
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 0, nil)
	node.SetOnlyServer(frontendtest.Endpoint("s", listener))
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	if reset := node.Counters.Upstream.AttemptOutcomes[protocol.ConnectionReset].Load(); reset > 0 {
		if status != 502 || reset != 1 {
			t.Errorf("server closed late: status %d, %d attempts counted as %v; want 502 and 1", status, reset, protocol.ConnectionReset)
		}
		return false
	}
	if failed := node.Counters.Upstream.AttemptOutcomes[protocol.ConnectFailed].Load(); status != 503 || failed == 0 || accepted.Load() != upstream.MaxNewConns*failed {
		t.Errorf("status %d, %d attempts counted as %v, %d connections accepted; want 503, at least 1 attempt, %d connections (%d for each attempt)",
			status, failed, protocol.ConnectFailed, accepted.Load(), upstream.MaxNewConns*failed, upstream.MaxNewConns)
	}
	return true
}

// TestSilentServerTimesOut guards against a request that waits longer than its timeout for a server that never answers. The
// attempt timeout that the server gets must be shorter than the client's timeout.
func TestSilentServerTimesOut(t *testing.T) {
	attemptTimeouts := make(chan string, 1)
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		attemptTimeouts <- request.Header.Get(protocol.HeaderTimeout)
		nettest.WaitForClose(conn)
		return false
	})
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(700, ""))
	if ms, err := strconv.Atoi(<-attemptTimeouts); status != 502 || err != nil || ms < 300 || ms >= 700 {
		t.Errorf("status %d, want 502; attempt timeout sent to the server %d ms (parse error: %v), want from 300 to 699 ms", status, ms, err)
	}
	if !node.Log.ClosedFor(netio.ReasonServerTimeout) {
		t.Errorf("no connection logged as closed with reason %q, want one to the silent server", netio.ReasonServerTimeout)
	}
}
