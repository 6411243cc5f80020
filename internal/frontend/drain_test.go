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

// startDrain begins a drain and returns a channel that is closed at its end.
func startDrain(n *frontendtest.Node, accept time.Duration) chan struct{} {
	drained := make(chan struct{})
	go func() {
		n.Server.Drain(accept)
		close(drained)
	}()
	return drained
}

// waitDrained waits until a drain has ended.
func waitDrained(t *testing.T, drained chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-drained:
	case <-time.After(within):
		t.Fatal("the drain does not end")
	}
}

// Connections in the listener's queue are accepted before it closes. A close would reset them and lose their requests.
func TestDrainAcceptsWhatIsQueued(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.Mutex().Lock() // blocks acceptLoop with the first connection
	var conns []net.Conn
	for range 20 {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(3000, "x"))
		conns = append(conns, conn)
	}
	drained := startDrain(node, 10*time.Millisecond)
	nettest.Eventually(t, "the drain", node.Server.Draining().Load)
	time.Sleep(20 * time.Millisecond) // past the time to accept
	node.Server.Mutex().Unlock()
	for i, conn := range conns {
		if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("connection %d: status %d, closes %v", i, status, closes)
		}
	}
	waitDrained(t, drained, 3*time.Second)
	if requests := node.Counters.Requests.Load(); requests != 20 {
		t.Errorf("%d requests", requests)
	}
}

// A request that is pending when its idle connection is to be closed is read and answered with a close.
func TestDrainReadsWhatIsThereBeforeItCloses(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // no reader runs between the write and the check
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	lost := 0
	for range 20 {
		idle := node.Dial(t)
		frontendtest.RoundTrip(t, idle, frontendtest.RequestText(3000, "x"))
		text := frontendtest.RequestText(3000, "x")
		nettest.Eventually(t, "an idle connection", func() bool {
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
		nettest.Eventually(t, "its end", func() bool { return node.Server.OpenClients() == 0 })
	}
	if lost > 0 {
		t.Errorf("%d of 20 requests were lost", lost)
	}
}

// readStatus reads the status of a response.
func readStatus(conn net.Conn) (int, error) {
	buf := make([]byte, 12)
	if _, err := io.ReadFull(conn, buf); err != nil {
		return 0, err
	}
	return int(buf[9]-'0')*100 + int(buf[10]-'0')*10 + int(buf[11]-'0'), nil
}

// A connection that waits for a slot when the drain begins, one with half a request and a new one are each answered
// with a close. A silent connection does not delay the end.
func TestDrainWaitsForRequestsOnTheWay(t *testing.T) {
	answer := make(chan struct{})
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.LimitsForEight(), 8, func(conn net.Conn, request *http.Request) bool {
		<-answer
		return frontendtest.Echo(conn, request)
	})
	var conns []net.Conn
	for range 7 {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(5000, "x"))
		conns = append(conns, conn)
	}
	half, text := node.Dial(t), frontendtest.RequestText(5000, "x")
	nettest.WriteString(half, text[:60])
	nettest.Eventually(t, "half a request", func() bool {
		node.Server.Mutex().Lock()
		defer node.Server.Mutex().Unlock()
		halves := 0
		for client := range node.Server.ClientConns() {
			if client.Check().InPhase(frontend.PhasePartial) {
				halves++
			}
		}
		return halves == 1 && len(node.Server.ClientConns()) == 8 && node.Counters.Requests.Load() == 7
	})
	node.Server.BlockEvictions() // no slot becomes free
	waits := node.Dial(t)
	nettest.WriteString(waits, frontendtest.RequestText(5000, "x"))
	nettest.Eventually(t, "one that waits for a slot", node.Server.AtLimit().Load)
	drained := startDrain(node, 0)
	nettest.Eventually(t, "the close of what is idle", node.Server.ClosingIdle().Load)
	time.Sleep(2 * frontend.FirstRequestGrace)
	nettest.WriteString(half, text[60:])
	close(answer)
	for i, conn := range append(conns, half, waits) {
		if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("connection %d: status %d, closes %v", i, status, closes)
		}
	}
	waitDrained(t, drained, 3*time.Second)
}

// A connection that is accepted as the listener closes has time to send a request. A silent one does not delay the end.
func TestDrainGivesNewConnectionsTimeToSend(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	silent, sends := node.Dial(t), node.Dial(t)
	nettest.Eventually(t, "both", func() bool { return node.Counters.Connections.Load() == 2 })
	startedAt := time.Now()
	drained := startDrain(node, 0)
	nettest.Eventually(t, "the close of what is idle", node.Server.ClosingIdle().Load)
	if status, _, closes := frontendtest.RoundTrip(t, sends, frontendtest.RequestText(3000, "x")); status != 200 || !closes {
		t.Errorf("status %d, closes %v", status, closes)
	}
	if n, err := silent.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("%d, %v", n, err)
	}
	waitDrained(t, drained, time.Second)
	if took := time.Since(startedAt); took > 5*frontend.FirstRequestGrace {
		t.Errorf("ended after %v", took)
	}
}

// A request at an app server that hangs ends by its deadline, and the drain with it.
func TestDrainEndsWhereAppServersHang(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, _ *http.Request) bool {
		nettest.WaitForClose(conn)
		return false
	})
	conn := node.Dial(t)
	nettest.WriteString(conn, frontendtest.RequestText(700, ""))
	nettest.Eventually(t, "the attempt", func() bool { return node.Counters.Upstream.Attempts.Load() == 1 })
	startedAt, drained := time.Now(), startDrain(node, 0)
	if status, _, closes := frontendtest.RoundTrip(t, conn, ""); status != 502 || !closes {
		t.Errorf("status %d, closes %v", status, closes)
	}
	waitDrained(t, drained, time.Second)
	if took := time.Since(startedAt); took > 700*time.Millisecond {
		t.Errorf("ended after %v", took)
	}
}

// drainLoad is the load of clients that send throughout a drain.
type drainLoad struct {
	t                       *testing.T
	addr                    string
	lost, crossed, answered atomic.Int64
	noneAfter               atomic.Int64 // Unix nanoseconds: no new connection is opened from then on; 0: not set
}

// Clients send throughout a drain, on new connections for a while and on kept ones to the end. Each accepted connection
// that sent a request gets its response. A kept connection may be closed while a request is in transit; the client then
// repeats it elsewhere.
func TestDrainUnderLoadLosesNothing(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 4, func(conn net.Conn, request *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		return frontendtest.Echo(conn, request)
	})
	const accept = 400 * time.Millisecond
	load := &drainLoad{t: t, addr: node.Server.Addr().String()}
	var clients sync.WaitGroup
	for seed := range int64(40) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			load.run(rand.New(rand.NewSource(seed)))
		}()
	}
	nettest.Eventually(t, "a load", func() bool { return load.answered.Load() > 200 })
	load.noneAfter.Store(time.Now().Add(accept / 2).UnixNano())
	waitDrained(t, startDrain(node, accept), 5*time.Second)
	clients.Wait()
	lost, crossed, answered := load.lost.Load(), load.crossed.Load(), load.answered.Load()
	if lost > 0 || crossed > answered/100 {
		t.Errorf("%d lost, %d crossed a close, %d answered", lost, crossed, answered)
	}
	t.Logf("%d lost, %d crossed a close, %d answered", lost, crossed, answered)
}

// run plays one client.
func (l *drainLoad) run(random *rand.Rand) {
	var conn net.Conn
	var reader *bufio.Reader
	for fresh := true; ; {
		if conn == nil {
			if end := l.noneAfter.Load(); end > 0 && time.Now().UnixNano() > end {
				return // no new connections from now on
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
			l.t.Logf("%v, fresh %v", err, fresh)
		default:
			l.crossed.Add(1)
		}
		if err != nil || response.Close {
			nettest.Close(conn)
			conn = nil
		}
		time.Sleep(time.Duration(random.Intn(4000)) * time.Microsecond)
	}
}

func TestDrainAnswersAllOpenRequests(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		close(received)
		<-answer
		return frontendtest.Echo(conn, request)
	})
	idle, busy, checking := node.Dial(t), node.Dial(t), node.Dial(t)
	nettest.WriteString(busy, frontendtest.RequestText(5000, "late"))
	<-received
	drained := startDrain(node, 300*time.Millisecond)
	nettest.Eventually(t, "the drain", node.Server.Draining().Load)
	if status, _, closes := frontendtest.RoundTrip(t, checking, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 || !closes {
		t.Errorf("health %d, closes %v", status, closes)
	}
	if _, err := io.ReadAll(idle); err != nil {
		t.Error(err)
	}
	nettest.Eventually(t, "a closed listener", func() bool {
		conn, err := net.Dial("tcp", node.Server.Addr().String())
		if err == nil {
			nettest.Close(conn)
		}
		return err != nil
	})
	select {
	case <-drained:
		t.Fatal("ended with a request open")
	default:
	}
	close(answer)
	if status, body, closes := frontendtest.RoundTrip(t, busy, ""); status != 200 || body != "late" || !closes {
		t.Errorf("status %d, body %q, closes %v", status, body, closes)
	}
	<-drained
}
