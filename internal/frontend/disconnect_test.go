package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// Pipelined bytes must not hide a disconnect behind them, even if they overflow the buffer. The node cancels the attempt and
// starts no other.
func TestDisconnectBehindFurtherBytesIsNoticed(t *testing.T) {
	for _, extra := range []string{"GET /", strings.Repeat("GET /seats ", 4<<10), frontendtest.RequestText(900, "x")} {
		received, closed := make(chan struct{}, 9), make(chan struct{}, 9)
		node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 2, func(conn net.Conn, _ *http.Request) bool {
			received <- struct{}{}
			nettest.WaitForClose(conn)
			closed <- struct{}{}
			return false
		})
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(60000, "")+extra)
		<-received
		nettest.Close(conn)
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatalf("%d bytes behind the request: the attempt's connection is open 3s after the disconnect, want it closed", len(extra))
		}
		nettest.Eventually(t, fmt.Sprintf("the request with %d bytes behind it to be counted in ClientsGone", len(extra)), func() bool {
			return node.Counters.ClientsGone.Load() == 1
		})
		if node.Counters.Upstream.Attempts.Load() != 1 {
			t.Errorf("%d bytes behind the request: %d attempts, want 1", len(extra), node.Counters.Upstream.Attempts.Load())
		}
	}
}

// Pipelined requests that fit into the buffer are answered. Bytes that overflow the buffer must not damage the response in
// flight: it is complete, and the connection's last.
func TestBytesSentBehindARequest(t *testing.T) {
	proceed := make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		<-proceed
		return frontendtest.Echo(conn, request)
	})
	pipelining, overflowing := node.Dial(t), node.Dial(t)
	nettest.WriteString(pipelining, frontendtest.RequestText(5000, "one")+frontendtest.RequestText(5000, "two"))
	nettest.WriteString(overflowing, frontendtest.RequestText(5000, "one"))
	nettest.Eventually(t, "one attempt for each of two requests", func() bool { return node.Counters.Upstream.Attempts.Load() == 2 })
	nettest.WriteString(overflowing, strings.Repeat("x", 200<<10))
	close(proceed)
	reader := bufio.NewReader(pipelining)
	for _, want := range []string{"one", "two"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("read the response to request %q: %v", want, err)
		}
		if body, _ := io.ReadAll(response.Body); string(body) != want || response.Close {
			t.Errorf("response to a pipelined request: body %q, closes %v; want body %q, closes false", body, response.Close, want)
		}
	}
	if status, body, _ := frontendtest.RoundTrip(t, overflowing, ""); status != 200 || body != "one" {
		t.Errorf("request before the overflow: status %d, body %q; want status 200, body %q", status, body, "one")
	}
	if rest, err := io.ReadAll(overflowing); len(rest) > 0 || netio.TimedOut(err) {
		t.Errorf("read after the response on the overflowing connection: %d bytes, error %v; want a close without further bytes", len(rest), err)
	}
}

// After a pause of the process the node may read a request whose client has already disconnected. It must not forward the
// request.
func TestRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	var executed atomic.Int64
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		executed.Add(1)
		return frontendtest.Echo(conn, request)
	})
	for _, extra := range []string{"", "GET /", strings.Repeat("x", 40<<10)} {
		for range 10 {
			node.Server.Mutex().Lock() // blocks acceptLoop at the connection
			conn := node.Dial(t)
			nettest.WriteString(conn, frontendtest.RequestText(3000, "x")+extra)
			nettest.Close(conn)
			time.Sleep(2 * time.Millisecond)
			node.Server.Mutex().Unlock()
		}
	}
	nettest.Eventually(t, "the close of all 30 connections", func() bool { return node.Server.OpenClients() == 0 && node.Counters.Connections.Load() == 30 })
	if executed.Load() > 0 || node.Counters.Upstream.Attempts.Load() > 0 || node.Counters.Requests.Load() != node.Counters.ClientsGone.Load() {
		t.Errorf("%d requests executed, %d attempts; want 0, 0; %d of %d requests counted in ClientsGone, want all", executed.Load(),
			node.Counters.Upstream.Attempts.Load(), node.Counters.ClientsGone.Load(), node.Counters.Requests.Load())
	}
}

// A client may disconnect while the node dials an app server. The node must not send the attempt once the dial succeeds, even
// if the settings forbid the cancellation of attempts.
func TestDisconnectDuringADial(t *testing.T) {
	limits := frontendtest.Limits
	limits.ConnectTimeout = 3 * time.Second
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: settings.Values{settings.CancelAttempts: "false"}, RetrySafety: settings.RetrySafe, Limits: limits})
	addr, startAccepting := nettest.FullServer(t)
	node.SetOnlyServer(protocol.Endpoint{UID: "full", Weight: 1, Addr: addr})
	conn := node.Dial(t)
	nettest.WriteString(conn, frontendtest.RequestText(5000, "x"))
	nettest.Eventually(t, "a dial of the app server", func() bool { return node.Counters.Upstream.Dials.Load() == 1 })
	nettest.Close(conn)
	received := make(chan string, 9)
	go nettest.ServeConns(startAccepting(), func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received <- request.RequestURI
		}
	})
	nettest.Eventually(t, "the request to be counted in ClientsGone", func() bool { return node.Counters.ClientsGone.Load() == 1 })
	select {
	case uri := <-received:
		t.Errorf("the app server received the request %s, want none", uri)
	case <-time.After(1500 * time.Millisecond): // the kernel sends the SYN again after one second
	}
}

// Clients may disconnect while their requests wait for a quota owner that does not answer. After that wait the even share
// of the quota admits the requests, but they must not be forwarded.
func TestDisconnectWhileTheQuotaOwnerIsAsked(t *testing.T) {
	quotaSettings := settings.Values{
		settings.Nodes: "60", settings.Node: "0", settings.Peers: settings.On, settings.PeerRate: "40",
	}
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: quotaSettings, RetrySafety: settings.RetrySafe, Limits: frontendtest.Limits, Servers: 4, Serve: frontendtest.Echo})
	send := func(extra string) net.Conn {
		conn := node.Dial(t)
		nettest.WriteString(conn, strings.Replace(frontendtest.RequestText(4000, "x"), "spread=1", "spread=2", 1)+extra)
		return conn
	}
	connected := send("")
	for i := range 20 {
		conn := send(strings.Repeat("more ", i%2*100))
		nettest.Eventually(t, fmt.Sprintf("%d requests to be counted", i+2), func() bool { return node.Counters.Requests.Load() == int64(i+2) })
		nettest.Close(conn)
	}
	if status, body, _ := frontendtest.RoundTrip(t, connected, ""); status != 200 || body != "x" {
		t.Errorf("request of the connected client: status %d, body %q; want status 200, body %q", status, body, "x")
	}
	nettest.Eventually(t, "20 requests to be counted in ClientsGone", func() bool { return node.Counters.ClientsGone.Load() == 20 })
	late := send("")
	if status, _, _ := frontendtest.RoundTrip(t, late, ""); status != 200 { // waits as long as the disconnected clients' requests
		t.Errorf("request after the disconnects: status %d, want 200", status)
	}
	if attempts := node.Counters.Upstream.Attempts.Load(); attempts != 2 {
		t.Errorf("%d attempts, want 2, one for each connected client", attempts)
	}
}

// A request must not keep an app server busy after its client has disconnected. The node detects the disconnect while the
// request is in flight, and closes the attempt's connection.
func TestDisconnectIsNoticed(t *testing.T) {
	received, closed := make(chan struct{}, 1), make(chan struct{}, 1)
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		nettest.WaitForClose(conn)
		closed <- struct{}{}
		return false
	})
	conn := node.Dial(t)
	nettest.WriteString(conn, frontendtest.RequestText(60000, ""))
	<-received
	nettest.Close(conn)
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the attempt's connection is open 3s after the disconnect, want it closed")
	}
	nettest.Eventually(t, "closes with reasons client-disconnected and attempt-cancelled", func() bool {
		return node.Log.ClosedFor(netio.ReasonClientDisconnected) && node.Log.ClosedFor(netio.ReasonAttemptCancelled)
	})
}

// ClientGone may be called before the Router knows of the request, and then has no effect there. Handle must check for the
// disconnect again, and not forward the request.
func TestDisconnectBeforeTheRequestIsStarted(t *testing.T) {
	var executed atomic.Int64
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		executed.Add(1)
		return frontendtest.Echo(conn, request)
	})
	handler := node.Server.NewRequestHandler(func() bool { return false })
	defer handler.Release()
	for i := range 20 {
		handler.Begin()
		handler.ClientGone()
		request := protocol.Request{
			Method: "POST", URI: "/seats/0000000000000005", Host: "a", ID: fmt.Sprint("left", i), Class: "seats",
			Plan: "team", Customer: 5, Units: 1, Spread: 1, Timeout: time.Second,
		}
		if response, ok := handler.Handle(&request, time.Now()); ok {
			t.Errorf("Handle of a request whose client has disconnected = status %d, ok true; want ok false", response.Status)
		}
	}
	if executed.Load() > 0 || node.Counters.ClientsGone.Load() != 20 {
		t.Errorf("%d requests executed, want 0; %d counted in ClientsGone, want 20", executed.Load(), node.Counters.ClientsGone.Load())
	}
}
