package frontend_test

import (
	"bufio"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// startDrain starts Drain and returns a channel that is closed when Drain returns.
func startDrain(node *frontendtest.Node, acceptFor time.Duration) chan struct{} {
	drained := make(chan struct{})
	go func() {
		node.Server.Drain(acceptFor)
		close(drained)
	}()
	return drained
}

// waitDrained fails the test unless drained is closed within the given time.
func waitDrained(t *testing.T, drained chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-drained:
	case <-time.After(within):
		t.Fatalf("Drain did not return within %v, want it to return", within)
	}
}

// A close of the listener resets the connections in its queue and loses their requests. Drain must therefore accept these
// connections first.
func TestDrainAcceptsWhatIsQueued(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.Mutex().Lock() // blocks acceptLoop at the first connection
	var conns []net.Conn
	for range 20 {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(3000, "x"))
		conns = append(conns, conn)
	}
	drained := startDrain(node, 10*time.Millisecond)
	nettest.Eventually(t, "the drain to begin", node.Server.Draining().Load)
	time.Sleep(20 * time.Millisecond) // until after the listener's deadline
	node.Server.Mutex().Unlock()
	for i, conn := range conns {
		if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("request on connection %d: status %d, closes %v; want status 200 or 503, closes true", i, status, closes)
		}
	}
	waitDrained(t, drained, 3*time.Second)
	if requests := node.Counters.Requests.Load(); requests != 20 {
		t.Errorf("the node counted %d requests, want 20", requests)
	}
}

// A request may arrive just before Drain closes its idle connection. The close would lose the request, so Drain must keep
// a connection with pending input.
func TestDrainReadsPendingInputBeforeClosing(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // prevents a read between the write and CloseIdle
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	lost := 0
	for range 20 {
		idle := node.Dial(t)
		frontendtest.RoundTrip(t, idle, frontendtest.RequestText(3000, "x"))
		text := frontendtest.RequestText(3000, "x")
		nettest.Eventually(t, "the connection to be idle", func() bool {
			node.Server.Mutex().Lock()
			defer node.Server.Mutex().Unlock()
			for client := range node.Server.ClientConns() {
				return client.Check().InPhase(frontend.PhaseIdle)
			}
			return false
		})
		nettest.WriteString(idle, text)
		node.Server.CloseIdle()
		netio.SetDeadline(idle, time.Now().Add(5*time.Second))
		if status, err := readStatus(idle); err != nil || status != 200 {
			lost++
		}
		nettest.Close(idle)
		nettest.Eventually(t, "the close of the client connection", func() bool { return node.Server.OpenClients() == 0 })
	}
	if lost > 0 {
		t.Errorf("%d of 20 requests had no response with status 200, want 0", lost)
	}
}

// readStatus reads the status line of a response and returns the status.
func readStatus(conn net.Conn) (int, error) {
	buf := make([]byte, 12)
	if _, err := io.ReadFull(conn, buf); err != nil {
		return 0, err
	}
	return int(buf[9]-'0')*100 + int(buf[10]-'0')*10 + int(buf[11]-'0'), nil
}

// Requests in transit must not be lost when a drain begins: neither on a connection that waits for a slot, nor on one with a
// partly read request, nor in flight at an app server. Each response closes its connection.
func TestDrainWaitsForRequestsInTransit(t *testing.T) {
	proceed := make(chan struct{})
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.LimitsForEightConnections(), 8, func(conn net.Conn, request *http.Request) bool {
		<-proceed
		return frontendtest.Echo(conn, request)
	})
	var conns []net.Conn
	for range 7 {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(5000, "x"))
		conns = append(conns, conn)
	}
	partial, text := node.Dial(t), frontendtest.RequestText(5000, "x")
	nettest.WriteString(partial, text[:60])
	nettest.Eventually(t, "one partly read request and seven in flight", func() bool {
		node.Server.Mutex().Lock()
		defer node.Server.Mutex().Unlock()
		partlyRead := 0
		for client := range node.Server.ClientConns() {
			if client.Check().InPhase(frontend.PhasePartial) {
				partlyRead++
			}
		}
		return partlyRead == 1 && len(node.Server.ClientConns()) == 8 && node.Counters.Requests.Load() == 7
	})
	node.Server.BlockEvictions() // so that no slot becomes free
	queued := node.Dial(t)
	nettest.WriteString(queued, frontendtest.RequestText(5000, "x"))
	nettest.Eventually(t, "a connection to wait for a slot", node.Server.AtLimit().Load)
	drained := startDrain(node, 0)
	nettest.Eventually(t, "the drain to close idle connections", node.Server.ClosingIdle().Load)
	time.Sleep(2 * frontend.FirstRequestGrace)
	nettest.WriteString(partial, text[60:])
	close(proceed)
	for i, conn := range append(conns, partial, queued) {
		if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("request on connection %d (%d: partly read before the drain, %d: waited for a slot): status %d, closes %v; "+
				"want status 200 or 503, closes true", i, len(conns), len(conns)+1, status, closes)
		}
	}
	waitDrained(t, drained, 3*time.Second)
}

// A connection that is accepted just before the listener closes must have time to send its request. A connection without a
// request must not delay the end of the drain.
func TestDrainGivesNewConnectionsTimeToSend(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	silent, requesting := node.Dial(t), node.Dial(t)
	nettest.Eventually(t, "the accept of two connections", func() bool { return node.Counters.Connections.Load() == 2 })
	startedAt := time.Now()
	drained := startDrain(node, 0)
	nettest.Eventually(t, "the drain to close idle connections", node.Server.ClosingIdle().Load)
	if status, _, closes := frontendtest.RoundTrip(t, requesting, frontendtest.RequestText(3000, "x")); status != 200 || !closes {
		t.Errorf("request on a new connection: status %d, closes %v; want status 200, closes true", status, closes)
	}
	if n, err := silent.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("Read on the connection without a request = %d, %v, want 0, EOF", n, err)
	}
	waitDrained(t, drained, time.Second)
	if took := time.Since(startedAt); took > 5*frontend.FirstRequestGrace {
		t.Errorf("Drain returned after %v, want at most %v", took, 5*frontend.FirstRequestGrace)
	}
}

// An app server that does not respond must not delay a drain beyond the request's deadline.
func TestDrainEndsWhereAppServersHang(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
		nettest.WaitForClose(conn)
		return false
	})
	conn := node.Dial(t)
	nettest.WriteString(conn, frontendtest.RequestText(700, ""))
	nettest.Eventually(t, "an attempt at the app server", func() bool { return node.Counters.Upstream.Attempts.Load() == 1 })
	startedAt, drained := time.Now(), startDrain(node, 0)
	if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 502 || !closes {
		t.Errorf("request without a response from the app server: status %d, closes %v; want status 502, closes true", status, closes)
	}
	waitDrained(t, drained, time.Second)
	if took := time.Since(startedAt); took > 700*time.Millisecond {
		t.Errorf("Drain returned after %v, want at most 700ms", took)
	}
}

// drainLoad is the state of clients that send requests throughout a drain.
type drainLoad struct {
	t                                *testing.T
	addr                             string
	lost, inTransitAtClose, answered atomic.Int64 // numbers of requests; inTransitAtClose counts those in transit during a close
	noDialsAfter                     atomic.Int64 // time in Unix nanoseconds after which clients open no connection; 0 means no limit
}

// A drain under load must not lose requests. Clients send throughout the drain: on new connections for a while, and on kept
// connections to the end. The first request on each accepted connection gets its response. A kept connection may be closed
// while a request is in transit, because the client can then send it to another node.
func TestDrainUnderLoadLosesNothing(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 4, func(conn net.Conn, request *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		return frontendtest.Echo(conn, request)
	})
	const acceptFor = 400 * time.Millisecond
	load := &drainLoad{t: t, addr: node.Server.Addr().String()}
	var clients sync.WaitGroup
	for seed := range int64(40) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			load.run(rand.New(rand.NewSource(seed)))
		}()
	}
	nettest.Eventually(t, "more than 200 answered requests", func() bool { return load.answered.Load() > 200 })
	load.noDialsAfter.Store(time.Now().Add(acceptFor / 2).UnixNano())
	waitDrained(t, startDrain(node, acceptFor), 5*time.Second)
	clients.Wait()
	lost, inTransit, answered := load.lost.Load(), load.inTransitAtClose.Load(), load.answered.Load()
	if lost > 0 || inTransit > answered/100 {
		t.Errorf("requests: %d lost, want 0; %d in transit during a close, want at most %d, 1%% of %d answered", lost, inTransit, answered/100, answered)
	}
	t.Logf("requests: %d lost, %d in transit during a close, %d answered", lost, inTransit, answered)
}

// run runs one client until it can open no connection.
func (l *drainLoad) run(random *rand.Rand) {
	var conn net.Conn
	var reader *bufio.Reader
	for fresh := true; ; {
		if conn == nil {
			if deadline := l.noDialsAfter.Load(); deadline > 0 && time.Now().UnixNano() > deadline {
				return // the time for new connections is over
			}
			var err error
			if conn, err = net.Dial("tcp", l.addr); err != nil {
				return // the listener is closed
			}
			reader, fresh = bufio.NewReader(conn), true
		}
		netio.SetDeadline(conn, time.Now().Add(5*time.Second))
		nettest.WriteString(conn, frontendtest.RequestText(3000, "x"))
		response, err := http.ReadResponse(reader, nil)
		switch {
		case err == nil:
			l.answered.Add(1)
			nettest.DiscardAll(response.Body)
			fresh = false
		case netio.TimedOut(err) || fresh:
			l.lost.Add(1)
			l.t.Logf("lost request: %v; first on its connection: %v", err, fresh)
		default:
			l.inTransitAtClose.Add(1)
		}
		if err != nil || response.Close {
			nettest.Close(conn)
			conn = nil
		}
		time.Sleep(time.Duration(random.Intn(4000)) * time.Microsecond)
	}
}

// Drain must not return before the requests in flight are answered. Meanwhile health checks fail, idle connections are closed
// and the listener closes.
func TestDrainAnswersAllOpenRequests(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		close(received)
		<-proceed
		return frontendtest.Echo(conn, request)
	})
	idle, busy, healthChecker := node.Dial(t), node.Dial(t), node.Dial(t)
	nettest.WriteString(busy, frontendtest.RequestText(5000, "late"))
	<-received
	drained := startDrain(node, 300*time.Millisecond)
	nettest.Eventually(t, "the drain to begin", node.Server.Draining().Load)
	if status, _, closes := frontendtest.RoundTrip(t, healthChecker, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 || !closes {
		t.Errorf("health check during the drain: status %d, closes %v; want status 503, closes true", status, closes)
	}
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("read from the idle connection: %v, want a close", err)
	}
	nettest.Eventually(t, "the close of the listener", func() bool {
		conn, err := net.Dial("tcp", node.Server.Addr().String())
		if err == nil {
			nettest.Close(conn)
		}
		return err != nil
	})
	select {
	case <-drained:
		t.Fatal("Drain returned with a request in flight, want it to wait for the response")
	default:
	}
	close(proceed)
	if status, body, closes := frontendtest.RoundTrip(t, busy, ""); status != 200 || body != "late" || !closes {
		t.Errorf("request in flight: status %d, body %q, closes %v; want status 200, body %q, closes true", status, body, closes, "late")
	}
	<-drained
}
