package transport

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

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// A client that disconnects is noticed behind whatever it sent after its request, be it more than the buffer holds: its
// attempt is cancelled, and no other follows.
func TestDisconnectBehindFurtherBytesIsNoticed(t *testing.T) {
	for _, more := range []string{"GET /", strings.Repeat("GET /seats ", 4<<10), requestText(900, "x")} {
		received, closed := make(chan struct{}, 9), make(chan struct{}, 9)
		node := startNode(t, settings.RetrySafe, roomyLimits, 2, func(conn net.Conn, _ *http.Request) bool {
			received <- struct{}{}
			waitForClose(conn)
			closed <- struct{}{}
			return false
		})
		conn := node.dial(t)
		writeString(conn, requestText(60000, "")+more)
		<-received
		closeConn(conn)
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatalf("%d bytes behind it: the attempt goes on", len(more))
		}
		eventually(t, "the end", func() bool { return node.counters.ClientsGone.Load() == 1 })
		if node.counters.Attempts.Load() != 1 {
			t.Errorf("%d bytes behind it: %d attempts", len(more), node.counters.Attempts.Load())
		}
	}
}

// What a client sends behind its request waits for its turn, as far as the buffer holds it; past that its response is its
// connection's last, and comes whole.
func TestBytesSentBehindARequest(t *testing.T) {
	answer := make(chan struct{})
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, func(conn net.Conn, request *http.Request) bool {
		<-answer
		return echo(conn, request)
	})
	polite, rude := node.dial(t), node.dial(t)
	writeString(polite, requestText(5000, "one")+requestText(5000, "two"))
	writeString(rude, requestText(5000, "one"))
	eventually(t, "both attempts", func() bool { return node.counters.Attempts.Load() == 2 })
	writeString(rude, strings.Repeat("x", 200<<10))
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
	if status, body, _ := roundTrip(t, rude, ""); status != 200 || body != "one" {
		t.Errorf("status %d, %q", status, body)
	}
	if rest, err := io.ReadAll(rude); len(rest) > 0 || timedOut(err) {
		t.Errorf("%d bytes more, %v", len(rest), err)
	}
}

// A request that lay unread until its client had gone, as while the node was paused, runs for nobody.
func TestRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	var ran atomic.Int64
	node := startNode(t, settings.RetryUnsafe, roomyLimits, 1, func(conn net.Conn, request *http.Request) bool {
		ran.Add(1)
		return echo(conn, request)
	})
	for _, more := range []string{"", "GET /", strings.Repeat("x", 40<<10)} {
		for range 10 {
			node.server.mu.Lock() // acceptLoop holds the connection here
			conn := node.dial(t)
			writeString(conn, requestText(3000, "x")+more)
			closeConn(conn)
			time.Sleep(2 * time.Millisecond)
			node.server.mu.Unlock()
		}
	}
	eventually(t, "all gone", func() bool { return node.openClients() == 0 && node.counters.Connections.Load() == 30 })
	if ran.Load() > 0 || node.counters.Attempts.Load() > 0 || node.counters.Requests.Load() != node.counters.ClientsGone.Load() {
		t.Errorf("%d ran; %d requests, %d clients gone", ran.Load(), node.counters.Requests.Load(), node.counters.ClientsGone.Load())
	}
}

// A client that disconnects while a connection is being made, where the platform lets no attempt be cancelled: what has
// not begun does not begin.
func TestDisconnectDuringADial(t *testing.T) {
	limits := roomyLimits
	limits.ConnectTimeout = 3 * time.Second
	node := startNodeWith(t, map[string]string{settings.CancelAttempts: "false"}, settings.RetrySafe, limits, 0, nil)
	addr, empty := fullServer(t)
	node.listOnly(protocol.Endpoint{UID: "full", Weight: 1, Addr: addr})
	conn := node.dial(t)
	writeString(conn, requestText(5000, "x"))
	eventually(t, "a dial", func() bool { return node.counters.Dials.Load() == 1 })
	closeConn(conn)
	received := make(chan string, 9)
	go serveConns(empty(), func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received <- request.RequestURI
		}
	})
	eventually(t, "the request's end", func() bool { return node.counters.ClientsGone.Load() == 1 })
	select {
	case uri := <-received:
		t.Errorf("%s was forwarded", uri)
	case <-time.After(1500 * time.Millisecond): // a connection attempt is repeated after a second
	}
}

// Clients that disconnect while their requests wait for the verdict of their customer's quota owner, a node that does not
// answer: what would be admitted by the even share once that wait is over is not forwarded.
func TestDisconnectWhileTheQuotaOwnerIsAsked(t *testing.T) {
	wide := map[string]string{
		settings.Nodes: "60", settings.Node: "0", settings.Peers: settings.On, settings.PeerRate: "40",
	}
	node := startNodeWith(t, wide, settings.RetrySafe, roomyLimits, 4, echo)
	send := func(more string) net.Conn {
		conn := node.dial(t)
		writeString(conn, strings.Replace(requestText(4000, "x"), "spread=1", "spread=2", 1)+more)
		return conn
	}
	stays := send("")
	for i := range 20 {
		conn := send(strings.Repeat("more ", i%2*100))
		eventually(t, "its request", func() bool { return node.counters.Requests.Load() == int64(i+2) })
		closeConn(conn)
	}
	if status, body, _ := roundTrip(t, stays, ""); status != 200 || body != "x" {
		t.Errorf("the one that stayed got %d, %q", status, body)
	}
	eventually(t, "the others' ends", func() bool { return node.counters.ClientsGone.Load() == 20 })
	late := send("")
	if status, _, _ := roundTrip(t, late, ""); status != 200 { // which waits as long as any of them would have
		t.Errorf("the next one got %d", status)
	}
	if attempts := node.counters.Attempts.Load(); attempts != 2 {
		t.Errorf("%d attempts for two that stayed", attempts)
	}
}

// A client that disconnects is noticed while its request waits, and the attempt's connection is closed.
func TestDisconnectIsNoticed(t *testing.T) {
	received, closed := make(chan struct{}, 1), make(chan struct{}, 1)
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, func(conn net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		waitForClose(conn)
		closed <- struct{}{}
		return false
	})
	conn := node.dial(t)
	writeString(conn, requestText(60000, ""))
	<-received
	closeConn(conn)
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the attempt goes on")
	}
	eventually(t, "the ends", func() bool {
		return node.log.closedFor(reasonClientDisconnected) && node.log.closedFor(reasonAttemptCancelled)
	})
}

// A client that disconnects before the Router knows of its request: nothing runs for nobody.
func TestDisconnectBeforeTheRequestIsStarted(t *testing.T) {
	var ran atomic.Int64
	node := startNode(t, settings.RetryUnsafe, roomyLimits, 1, func(conn net.Conn, request *http.Request) bool {
		ran.Add(1)
		return echo(conn, request)
	})
	handler := node.server.NewRequestHandler(func() bool { return false })
	defer handler.Release()
	for i := range 20 {
		handler.Begin()
		handler.ClientGone()
		request := protocol.Request{
			Method: "POST", URI: "/seats/0000000000000005", Host: "a", ID: fmt.Sprint("left", i), Class: "seats",
			Plan: "team", Customer: 5, Units: 1, Spread: 1, Timeout: time.Second,
		}
		if response, owed := handler.Handle(&request, time.Now()); owed {
			t.Errorf("answered %d", response.Status)
		}
	}
	if ran.Load() > 0 || node.counters.ClientsGone.Load() != 20 {
		t.Errorf("%d ran, %d gone", ran.Load(), node.counters.ClientsGone.Load())
	}
}
