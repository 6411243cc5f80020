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

// A disconnect is noticed behind pipelined bytes, even more than the buffer holds. The attempt is cancelled, and no
// other starts.
func TestDisconnectBehindFurtherBytesIsNoticed(t *testing.T) {
	for _, more := range []string{"GET /", strings.Repeat("GET /seats ", 4<<10), frontendtest.RequestText(900, "x")} {
		received, closed := make(chan struct{}, 9), make(chan struct{}, 9)
		node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 2, func(conn net.Conn, _ *http.Request) bool {
			received <- struct{}{}
			nettest.WaitForClose(conn)
			closed <- struct{}{}
			return false
		})
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(60000, "")+more)
		<-received
		nettest.Close(conn)
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatalf("%d bytes behind it: the attempt goes on", len(more))
		}
		nettest.Eventually(t, "the end", func() bool { return node.Counters.ClientsGone.Load() == 1 })
		if node.Counters.Upstream.Attempts.Load() != 1 {
			t.Errorf("%d bytes behind it: %d attempts", len(more), node.Counters.Upstream.Attempts.Load())
		}
	}
}

// Pipelined requests are answered as far as the buffer holds them. Past that, the response in flight is the
// connection's last, and it is complete.
func TestBytesSentBehindARequest(t *testing.T) {
	answer := make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		<-answer
		return frontendtest.Echo(conn, request)
	})
	polite, rude := node.Dial(t), node.Dial(t)
	nettest.WriteString(polite, frontendtest.RequestText(5000, "one")+frontendtest.RequestText(5000, "two"))
	nettest.WriteString(rude, frontendtest.RequestText(5000, "one"))
	nettest.Eventually(t, "both attempts", func() bool { return node.Counters.Upstream.Attempts.Load() == 2 })
	nettest.WriteString(rude, strings.Repeat("x", 200<<10))
	close(answer)
	reader := bufio.NewReader(polite)
	for _, want := range []string{"one", "two"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(want, err)
		}
		if body, _ := io.ReadAll(response.Body); string(body) != want || response.Close {
			t.Errorf("%q, closes %v", body, response.Close)
		}
	}
	if status, body, _ := frontendtest.RoundTrip(t, rude, ""); status != 200 || body != "one" {
		t.Errorf("status %d, %q", status, body)
	}
	if rest, err := io.ReadAll(rude); len(rest) > 0 || netio.TimedOut(err) {
		t.Errorf("%d bytes more, %v", len(rest), err)
	}
}

// A request that is read after its client disconnected, as after a pause of the process, is not forwarded.
func TestRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	var ran atomic.Int64
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		ran.Add(1)
		return frontendtest.Echo(conn, request)
	})
	for _, more := range []string{"", "GET /", strings.Repeat("x", 40<<10)} {
		for range 10 {
			node.Server.Mutex().Lock() // blocks acceptLoop with the connection
			conn := node.Dial(t)
			nettest.WriteString(conn, frontendtest.RequestText(3000, "x")+more)
			nettest.Close(conn)
			time.Sleep(2 * time.Millisecond)
			node.Server.Mutex().Unlock()
		}
	}
	nettest.Eventually(t, "all gone", func() bool { return node.Server.OpenClients() == 0 && node.Counters.Connections.Load() == 30 })
	if ran.Load() > 0 || node.Counters.Upstream.Attempts.Load() > 0 || node.Counters.Requests.Load() != node.Counters.ClientsGone.Load() {
		t.Errorf("%d ran; %d requests, %d clients gone", ran.Load(), node.Counters.Requests.Load(), node.Counters.ClientsGone.Load())
	}
}

// A disconnect during a dial starts no attempt, even where the settings forbid the cancellation of attempts.
func TestDisconnectDuringADial(t *testing.T) {
	limits := frontendtest.Limits
	limits.ConnectTimeout = 3 * time.Second
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: settings.Values{settings.CancelAttempts: "false"}, Retries: settings.RetrySafe, Limits: limits})
	addr, empty := nettest.FullServer(t)
	node.ListOnly(protocol.Endpoint{UID: "full", Weight: 1, Addr: addr})
	conn := node.Dial(t)
	nettest.WriteString(conn, frontendtest.RequestText(5000, "x"))
	nettest.Eventually(t, "a dial", func() bool { return node.Counters.Upstream.Dials.Load() == 1 })
	nettest.Close(conn)
	received := make(chan string, 9)
	go nettest.ServeConns(empty(), func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received <- request.RequestURI
		}
	})
	nettest.Eventually(t, "the request's end", func() bool { return node.Counters.ClientsGone.Load() == 1 })
	select {
	case uri := <-received:
		t.Errorf("%s was forwarded", uri)
	case <-time.After(1500 * time.Millisecond): // the kernel repeats a SYN after a second
	}
}

// Clients disconnect while their requests wait for a quota owner that does not answer. After that wait the even share
// would admit them; they are not forwarded.
func TestDisconnectWhileTheQuotaOwnerIsAsked(t *testing.T) {
	wide := settings.Values{
		settings.Nodes: "60", settings.Node: "0", settings.Peers: settings.On, settings.PeerRate: "40",
	}
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: wide, Retries: settings.RetrySafe, Limits: frontendtest.Limits, Servers: 4, Serve: frontendtest.Echo})
	send := func(more string) net.Conn {
		conn := node.Dial(t)
		nettest.WriteString(conn, strings.Replace(frontendtest.RequestText(4000, "x"), "spread=1", "spread=2", 1)+more)
		return conn
	}
	stays := send("")
	for i := range 20 {
		conn := send(strings.Repeat("more ", i%2*100))
		nettest.Eventually(t, "its request", func() bool { return node.Counters.Requests.Load() == int64(i+2) })
		nettest.Close(conn)
	}
	if status, body, _ := frontendtest.RoundTrip(t, stays, ""); status != 200 || body != "x" {
		t.Errorf("the one that stayed got %d, %q", status, body)
	}
	nettest.Eventually(t, "the others' ends", func() bool { return node.Counters.ClientsGone.Load() == 20 })
	late := send("")
	if status, _, _ := frontendtest.RoundTrip(t, late, ""); status != 200 { // waits as long as the others would have
		t.Errorf("the next one got %d", status)
	}
	if attempts := node.Counters.Upstream.Attempts.Load(); attempts != 2 {
		t.Errorf("%d attempts for two that stayed", attempts)
	}
}

// A disconnect is noticed while the request is in flight, and closes the attempt's connection.
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
		t.Fatal("the attempt goes on")
	}
	nettest.Eventually(t, "the ends", func() bool {
		return node.Log.ClosedFor(netio.ReasonClientDisconnected) && node.Log.ClosedFor(netio.ReasonAttemptCancelled)
	})
}

// A request whose client disconnected before the Router knew of it is not forwarded.
func TestDisconnectBeforeTheRequestIsStarted(t *testing.T) {
	var ran atomic.Int64
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		ran.Add(1)
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
			t.Errorf("answered %d", response.Status)
		}
	}
	if ran.Load() > 0 || node.Counters.ClientsGone.Load() != 20 {
		t.Errorf("%d ran, %d gone", ran.Load(), node.Counters.ClientsGone.Load())
	}
}
