package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// lines is a log that tests look into.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) has(reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), `"reason":"`+reason+`"`)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not seen in time: " + what)
		}
	}
}

// bench is one node before app servers that a test plays.
type bench struct {
	front *Server
	pool  *Pool
	count *Counters
	log   *lines
}

// start starts a node; each app server answers by serve, which tells whether its connection stays.
func start(t *testing.T, repeats string, limits Limits, servers int, serve func(net.Conn, *http.Request) bool) *bench {
	t.Helper()
	return startWith(t, nil, repeats, limits, servers, serve)
}

// startWith starts a node under further settings.
func startWith(t *testing.T, more map[string]string, repeats string, limits Limits, servers int,
	serve func(net.Conn, *http.Request) bool,
) *bench {
	t.Helper()
	b := &bench{count: &Counters{}, log: &lines{}}
	log := zerolog.New(b.log)
	list := &protocol.EndpointList{Full: true}
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					br := bufio.NewReader(conn)
					for {
						q, err := http.ReadRequest(br)
						if err != nil || !serve(conn, q) {
							return
						}
						io.Copy(io.Discard, q.Body)
					}
				}()
			}
		}()
		list.Endpoints = append(list.Endpoints, protocol.Endpoint{
			UID: fmt.Sprint(i), Weight: 1,
			Addr: netip.MustParseAddrPort(ln.Addr().String()),
		})
	}
	set := map[string]string{
		"band.count": "1", "band.0.name": "seats", "band.0.contract": "20000", "band.0.repeats": repeats,
		"plan.count": "1", "plan.0.name": "team", "nodes": "1", "tick": "20", "executions": "3", "withdraw": "true",
		"largest": "6",
	}
	maps.Copy(set, more)
	alarm, err := NewTimer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(alarm.Close)
	router := routing.New(routing.Config{
		Seed: 3, Settings: set, SetTimer: alarm.Set, SendToPeer: func(int, []byte) {},
		PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	go alarm.Run(router.Tick)
	router.UpdateEndpoints(list, true)
	b.pool = NewPool(limits, &log, b.count)
	if b.front, err = Listen("127.0.0.1:0", router, b.pool, limits, nil, &log, b.count); err != nil {
		t.Fatal(err)
	}
	return b
}

var roomy = Limits{Sockets: 1024, MemoryMB: 192, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second}

func (b *bench) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.front.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return conn
}

var lastID atomic.Int64

func ticketText(budget int, body string) string {
	return fmt.Sprintf("POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %d\r\nX-Tariff: team\r\nX-Budget-Ms: %d\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n%s", lastID.Add(1), budget, len(body), body)
}

// ask sends text and reads one answer.
func ask(t *testing.T, conn net.Conn, text string) (status int, body string, closes bool) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(raw), a.Close
}

// echo answers with the request's body.
func echo(conn net.Conn, q *http.Request) bool {
	body, _ := io.ReadAll(q.Body)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

func TestTicketsAreAnsweredOnOneConnection(t *testing.T) {
	b := start(t, "replayable", roomy, 1, echo)
	conn := b.dial(t)
	for _, size := range []int{0, 1, 5000, 20000, protocol.MaxBody} {
		body := strings.Repeat("x", size)
		if status, got, closes := ask(t, conn, ticketText(3000, body)); status != 200 || got != body || closes {
			t.Fatalf("%d bytes: status %d, %d bytes, closes %v", size, status, len(got), closes)
		}
		time.Sleep(settleFor)
	}
	if n := b.count.Dials.Load(); n != 1 {
		t.Errorf("%d connections to the server", n)
	}
	if status, _, _ := ask(t, conn, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("health %d", status)
	}
	conn.Close()
	eventually(t, "a plain end", func() bool { return b.log.has(string(clientClosed)) })
}

func TestBadInputGetsAStatusAndAClose(t *testing.T) {
	b := start(t, "replayable", roomy, 1, echo)
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		strings.Replace(ticketText(100, ""), "seats", "stalls", 1):      404,
		strings.Replace(ticketText(100, ""), "team", "none", 1):         404,
		strings.Replace(ticketText(100, ""), "Ms: 100", "Ms: soon", 1):  400,
		strings.Replace(ticketText(100, ""), "units=1", "units=6.5", 1): 400,
		strings.Replace(ticketText(100, ""), "spread=1", "spread=2", 1): 400,
		strings.Replace(ticketText(100, ""), "first=0", "first=1", 1):   400,
		ticketText(100, strings.Repeat("x", protocol.MaxBody+1)):        413,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 40000):            431,
	} {
		conn := b.dial(t)
		if status, _, closes := ask(t, conn, text); status != want || !closes {
			t.Errorf("%.30q: status %d, closes %v, want %d", text, status, closes, want)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%.30q: %v instead of a close", text, err)
		}
	}
	if b.count.Attempts.Load() != 0 {
		t.Error("bad input was sent on")
	}
}

// An answer that breaks off may have run: a single-use ticket gets no second execution and no bounce.
func TestBrokenAnswers(t *testing.T) {
	half := func(conn net.Conn, q *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
		return false
	}
	for repeats, want := range map[string]struct{ status, sent int }{"single-use": {502, 1}, "replayable": {503, 2}} {
		b := start(t, repeats, roomy, 3, half)
		status, _, _ := ask(t, b.dial(t), ticketText(3000, "x"))
		if sent := int(b.count.Attempts.Load()); status != want.status || sent > 3 || repeats == "single-use" && sent != 1 {
			t.Errorf("%s: status %d after %d executions", repeats, status, sent)
		}
		if !b.log.has(string(serverBroken)) || b.count.AttemptOutcomes[protocol.ConnectionReset].Load() == 0 {
			t.Errorf("%s: no broken connection noted", repeats)
		}
	}
}

// An answer that can't be read has run; what comes behind a good one is never the next ticket's answer.
func TestSpoiltAnswersAreNotPassedOn(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
	for _, text := range []string{
		"noise\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", long, long + strings.Repeat("x", 1<<20),
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20), strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<15),
	} {
		b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
			io.WriteString(conn, text)
			conn.Read(make([]byte, 1)) // it stays open
			return false
		})
		if status, _, _ := ask(t, b.dial(t), ticketText(3000, "x")); status != 502 || b.count.AttemptOutcomes[protocol.MalformedResponse].Load() != 1 {
			t.Errorf("%.40q: status %d", text, status)
		}
	}
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?")
		return true
	})
	for range 20 {
		if status, body, _ := ask(t, b.dial(t), ticketText(3000, "mine")); status == 200 && body != "mine" {
			t.Fatalf("body %q", body)
		}
	}
}

// A server may close idle connections at any time; an execution written to one would count as run.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool { echo(conn, q); return false })
	conn := b.dial(t)
	for range 5 {
		if status, _, _ := ask(t, conn, ticketText(3000, "x")); status != 200 {
			t.Fatalf("status %d", status)
		}
		eventually(t, "the server's close", func() bool {
			b.pool.mu.Lock()
			defer b.pool.mu.Unlock()
			closed := 0
			for _, stack := range b.pool.idle {
				for _, l := range stack {
					if !l.sound() {
						closed++
					}
				}
			}
			return closed == 1
		})
		time.Sleep(settleFor)
	}
	if !b.log.has(string(serverClosed)) {
		t.Error("no line for the closed connection")
	}
}

// Servers may give up idle connections without a word, long before the time in the settings: one that breaks at
// its next use is a warning of the others, or each would cost a single-use ticket.
func TestConnectionsThatDieIdleAreNotTrusted(t *testing.T) {
	first := map[string]bool{}
	var mu sync.Mutex
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		from := conn.RemoteAddr().String()
		if first[from] {
			io.ReadAll(q.Body)
			return false
		}
		first[from] = true
		return echo(conn, q)
	})
	failed := 0
	for range 12 {
		if status, _, _ := ask(t, b.dial(t), ticketText(3000, "x")); status != 200 {
			failed++
		}
		time.Sleep(4 * settleFor)
	}
	if failed != 1 {
		t.Errorf("%d of 12 tickets failed", failed)
	}
}

// What breaks before a request's last byte has never run, and the execution goes on over a new connection.
func TestConnectionThatBreaksBeforeTheLastByte(t *testing.T) {
	var conns atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for k := 0; ; k++ {
					if _, err := br.Peek(1); err != nil || conns.Load() == 1 && k == 1 {
						return // reset at the second request's first bytes
					}
					q, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if k == 0 {
						conns.Add(1)
					}
					echo(conn, q)
				}
			}()
		}
	}()
	b := start(t, "single-use", roomy, 0, nil)
	b.front.router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: []protocol.Endpoint{{
		UID: "s", Weight: 1,
		Addr: netip.MustParseAddrPort(ln.Addr().String()),
	}}}, false)
	for range 2 {
		if status, body, _ := ask(t, b.dial(t), ticketText(3000, "body")); status != 200 || body != "body" {
			t.Errorf("status %d, %q", status, body)
		}
		time.Sleep(2 * settleFor)
	}
	if conns.Load() != 2 || !b.log.has(string(serverStale)) || b.count.AttemptOutcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("%d connections", conns.Load())
	}
}

// A server that accepts and closes is tried twice; then it is as if no connection came up.
func TestNewConnectionsThatBreak(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var came atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			came.Add(1)
			conn.Close()
		}
	}()
	b := start(t, "single-use", roomy, 0, nil)
	b.front.router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: []protocol.Endpoint{{
		UID: "s", Weight: 1,
		Addr: netip.MustParseAddrPort(ln.Addr().String()),
	}}}, false)
	status, _, _ := ask(t, b.dial(t), ticketText(3000, "x"))
	if k := b.count.AttemptOutcomes[protocol.ConnectFailed].Load(); status != 503 || k == 0 || came.Load() != mostFresh*k {
		t.Errorf("status %d, %d connections in %d executions", status, came.Load(), k)
	}
}

// A second copy of an answer, a moment late, would pass for the next ticket's: a connection first rests.
func TestConnectionRestsAfterAnAnswer(t *testing.T) {
	b := start(t, "single-use", roomy, 1, echo)
	ask(t, b.dial(t), ticketText(3000, "x"))
	b.pool.mu.Lock()
	var s *routing.Server
	for s = range b.pool.idle {
	}
	l := b.pool.idle[s][0]
	l.idleAt = time.Now().Add(time.Hour)
	b.pool.mu.Unlock()
	if b.pool.take(s) != nil {
		t.Error("taken at once")
	}
	l.idleAt = time.Now().Add(-settleFor)
	if b.pool.take(s) != l {
		t.Error("not taken after its rest")
	}
}

func TestIdleConnectionsAreRetiredBeforeTheServerDoes(t *testing.T) {
	limits := roomy
	limits.ServerIdleTimeout = 100 * time.Millisecond
	b := start(t, "single-use", limits, 1, echo)
	ask(t, b.dial(t), ticketText(3000, "x"))
	if b.pool.retirement() >= limits.ServerIdleTimeout {
		t.Errorf("retires after %v", b.pool.retirement())
	}
	eventually(t, "retirement", func() bool { return b.log.has(string(idled)) })
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.pool.total != 0 || len(b.pool.idle) != 0 {
		t.Errorf("%d connections left", b.pool.total)
	}
}

// A client that leaves is noticed while its ticket waits, and the execution's connection is closed.
func TestClientThatLeavesIsNoticed(t *testing.T) {
	got, closed := make(chan struct{}, 1), make(chan struct{}, 1)
	b := start(t, "replayable", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		got <- struct{}{}
		conn.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	})
	conn := b.dial(t)
	io.WriteString(conn, ticketText(60000, ""))
	<-got
	conn.Close()
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the execution goes on")
	}
	eventually(t, "the ends", func() bool { return b.log.has(string(clientGone)) && b.log.has(string(withdrawn)) })
}

// A client that leaves before the module knows of its ticket: nothing runs for nobody.
func TestClientThatLeavesBeforeItsTicketIsTaken(t *testing.T) {
	ran := atomic.Int64{}
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		ran.Add(1)
		return echo(conn, q)
	})
	p := b.front.NewRequestHandler(func() bool { return false })
	defer p.Release()
	for k := range 20 {
		p.Begin()
		p.ClientGone()
		q := protocol.Request{
			Method: "POST", URI: "/seats/0000000000000005", Host: "a", ID: fmt.Sprint("left", k), Class: "seats",
			Plan: "team", Customer: 5, Units: 1, Spread: 1, Timeout: time.Second,
		}
		if a, stays := p.Handle(&q, time.Now()); stays {
			t.Errorf("answered %d", a.Status)
		}
	}
	if ran.Load() > 0 || b.count.ClientsGone.Load() != 20 {
		t.Errorf("%d ran, %d gone", ran.Load(), b.count.ClientsGone.Load())
	}
}

func TestSilentServerIsGivenUpInTime(t *testing.T) {
	told := make(chan string, 1)
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		told <- q.Header.Get("X-Budget-Ms")
		conn.Read(make([]byte, 1)) // until the node closes
		return false
	})
	status, _, _ := ask(t, b.dial(t), ticketText(700, ""))
	if wait, err := strconv.Atoi(<-told); status != 502 || err != nil || wait < 300 || wait >= 700 {
		t.Errorf("status %d, the server was told of %d ms, %v", status, wait, err)
	}
	if !b.log.has(string(serverLate)) {
		t.Error("no line for the late server")
	}
}

func TestDrainAnswersAllThatWasTaken(t *testing.T) {
	got, answer := make(chan struct{}), make(chan struct{})
	b := start(t, "replayable", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		close(got)
		<-answer
		return echo(conn, q)
	})
	idle, busy, asking := b.dial(t), b.dial(t), b.dial(t)
	io.WriteString(busy, ticketText(5000, "late"))
	<-got
	drained := make(chan struct{})
	go func() { b.front.Drain(300 * time.Millisecond); close(drained) }()
	eventually(t, "the drain", b.front.draining.Load)
	if status, _, closes := ask(t, asking, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 || !closes {
		t.Errorf("health %d, closes %v", status, closes)
	}
	if _, err := io.ReadAll(idle); err != nil {
		t.Error(err)
	}
	eventually(t, "a closed door", func() bool {
		c, err := net.Dial("tcp", b.front.ln.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	select {
	case <-drained:
		t.Fatal("ended with a ticket open")
	default:
	}
	close(answer)
	if status, body, closes := ask(t, busy, ""); status != 200 || body != "late" || !closes {
		t.Errorf("status %d, body %q, closes %v", status, body, closes)
	}
	<-drained
}

// With few descriptors, clients that say nothing, or half a request, make room for one that asks.
func TestSilentClientsMakeRoom(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16 // eight clients
	b := start(t, "replayable", limits, 1, echo)
	for range 30 {
		conn := b.dial(t)
		if status, _, _ := ask(t, conn, ticketText(3000, "x")); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	if n := len(b.front.clients); n > 8 {
		t.Errorf("%d clients", n)
	}
}

// Clients are owed an answer or a close within 3 s of connecting, also where a message never ends. One that has
// asked may stay.
func TestClientsThatNeverAskAreClosedInTime(t *testing.T) {
	b := start(t, "replayable", roomy, 1, echo)
	stays := b.dial(t)
	ask(t, stays, ticketText(100, "x"))
	began := time.Now()
	var all sync.WaitGroup
	for _, text := range []string{"", "POST /seats", ticketText(100, "xx")[:150], ticketText(100, "xx"+strings.Repeat("x", 9000))[:8000]} {
		conn := b.dial(t)
		io.WriteString(conn, text)
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := io.ReadAll(conn); timedOut(err) || time.Since(began) > 2800*time.Millisecond {
				t.Errorf("%.20q: %v after %v", text, err, time.Since(began))
			}
		}()
	}
	all.Wait()
	// The time its last answer had is over; one to the next request has its own.
	if status, _, _ := ask(t, stays, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("status %d", status)
	}
}

// At the limit those who never sent a whole request go first, at once, however many they are.
func TestCrowdsThatNeverAskMakeRoom(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16 // eight clients
	b := start(t, "replayable", limits, 1, echo)
	stays := b.dial(t)
	if status, _, _ := ask(t, stays, ticketText(3000, "x")); status != 200 {
		t.Fatalf("status %d", status)
	}
	began := time.Now()
	for i := range 30 {
		time.Sleep(askWithin / 5)
		io.WriteString(b.dial(t), "POST /seats HTTP/1.1\r\nHost"[:i%2*24])
	}
	for _, conn := range []net.Conn{b.dial(t), stays} {
		if status, _, _ := ask(t, conn, ticketText(3000, "x")); status != 200 || time.Since(began) > messageBy*3/4 {
			t.Fatalf("status %d after %v", status, time.Since(began))
		}
	}
	if b.log.has(string(clientSlow)) || !b.log.has(string(evicted)) {
		t.Error("the crowd was waited for")
	}
}

// Many clients ask once and stay: past half of the slots each answer is its connection's last, before any must go
// for others.
func TestManyThatAskOnceAreLetGo(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16 // eight clients
	b := start(t, "replayable", limits, 1, echo)
	for k := range 6 {
		if _, _, closes := ask(t, b.dial(t), ticketText(3000, "x")); closes != (k > 3) {
			t.Errorf("answer %d closes: %v", k, closes)
		}
	}
}

// A client that has only come is not closed for others: its request is on its way.
func TestNewClientsAreNotClosedForOthers(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16 // eight clients
	b := start(t, "replayable", limits, 1, echo)
	var all sync.WaitGroup
	for range 40 {
		conn := b.dial(t)
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(askWithin / 10)
			ask(t, conn, ticketText(5000, "x")) // and stays
		}()
		time.Sleep(askWithin / 30)
	}
	all.Wait()
}

// A stranger may send the id of another client's ticket, open or lately answered: that must not run.
func TestIdOfAnotherTicketIsRefused(t *testing.T) {
	got, answer := make(chan struct{}, 9), make(chan struct{})
	b := start(t, "replayable", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		got <- struct{}{}
		<-answer
		return echo(conn, q)
	})
	text, conn := ticketText(5000, "mine"), b.dial(t)
	io.WriteString(conn, text)
	<-got
	for range 2 {
		if status, _, closes := ask(t, b.dial(t), text); status != 409 || !closes {
			t.Errorf("status %d, closes %v", status, closes)
		}
		if answer != nil {
			close(answer)
			if status, body, _ := ask(t, conn, ""); status != 200 || body != "mine" {
				t.Errorf("status %d, body %q", status, body)
			}
			answer = nil
		}
	}
}

func TestAnsweredIdsAreForgotten(t *testing.T) {
	s := newIDs()
	for i := range 5 * mostIDs {
		id := strconv.Itoa(i)
		if !s.take(id) || s.take(id) {
			t.Fatalf("id %d", i)
		}
		if s.answered(id); s.take(id) || len(s.now)+len(s.old)+len(s.open) > 2*mostIDs {
			t.Fatalf("id %d, %d kept", i, len(s.now)+len(s.old)+len(s.open))
		}
	}
}

func TestPoolNeverHoldsMoreThanItsSide(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16
	b := start(t, "replayable", limits, 12, echo)
	var all sync.WaitGroup
	for range 4 {
		conn := b.dial(t)
		all.Add(1)
		go func() {
			defer all.Done()
			for range 60 {
				io.WriteString(conn, ticketText(3000, "x"))
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || a.StatusCode == 502 {
					t.Errorf("%v, %v", a, err)
					return
				}
				io.Copy(io.Discard, a.Body)
				b.pool.mu.Lock()
				if b.pool.total > limits.side() {
					t.Errorf("%d connections", b.pool.total)
				}
				b.pool.mu.Unlock()
			}
		}()
	}
	all.Wait()
}

// What the node itself lacks is no fault of a server's, which would rest for it and have peers rest it too.
func TestFullPoolBlamesNoServer(t *testing.T) {
	b := start(t, "single-use", roomy, 2, echo)
	b.pool.mu.Lock()
	b.pool.total = roomy.side()
	b.pool.mu.Unlock()
	status, _, _ := ask(t, b.dial(t), ticketText(3000, "x"))
	if unsent := b.count.AttemptOutcomes[protocol.NotSent].Load(); status != 503 || unsent == 0 || b.count.AttemptOutcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("status %d, %d unsent", status, unsent)
	}
	b.pool.mu.Lock()
	b.pool.total = 0
	b.pool.mu.Unlock()
	if status, _, _ := ask(t, b.dial(t), ticketText(3000, "x")); status != 200 {
		t.Errorf("then %d", status)
	}
}

// pieces is a connection that reads and writes at random sizes.
type pieces struct {
	net.Conn
	r   *rand.Rand
	in  []byte
	out bytes.Buffer
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), 1+p.r.Intn(3000))], p.in)
	p.in = p.in[n:]
	return n, nil
}

func (p *pieces) Write(b []byte) (int, error)     { return p.out.Write(b) }
func (p *pieces) SetReadDeadline(time.Time) error { return nil }

// What goes through a ring comes out as it went in, with what parsers read ahead given back.
func TestRingKeepsBytes(t *testing.T) {
	if err := quick.Check(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		sent := make([]byte, 40000)
		r.Read(sent)
		conn := &pieces{r: r, in: sent}
		in, out := newRing(conn, conn, leastRing), newRing(conn, conn, leastRing)
		for in.Wait() == nil {
			in.Allow(1 + r.Intn(9000))
			br := bufio.NewReaderSize(&in, lookahead)
			got := make([]byte, 1+r.Intn(5000))
			n, err := io.ReadFull(br, got)
			if err != nil && !errors.Is(err, protocol.ErrHeadTooLarge) && err != io.EOF && err != io.ErrUnexpectedEOF {
				return false
			}
			in.done(br)
			if r.Intn(2) == 0 {
				out.took(append(out.room(), got[:n]...))
			} else {
				out.Write(got[:n])
			}
		}
		return out.Flush() == nil && bytes.Equal(conn.out.Bytes(), sent)
	}, &quick.Config{MaxCount: 300}); err != nil {
		t.Error(err)
	}
}

func TestAlarmGoesOffOnceInTime(t *testing.T) {
	a, err := NewTimer()
	if err != nil {
		t.Fatal(err)
	}
	rings, done := make(chan time.Time, 9), make(chan struct{})
	go func() { a.Run(func() { rings <- time.Now() }); close(done) }()
	for _, after := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		began := time.Now()
		a.Set(time.Hour) // the last word holds
		a.Set(after)
		if took := (<-rings).Sub(began); took < after || took > after+time.Second {
			t.Errorf("set to %v, rang after %v", after, took)
		}
	}
	time.Sleep(20 * time.Millisecond)
	a.Close()
	<-done
	if len(rings) != 0 {
		t.Error("rang again")
	}
}

func TestStrangersDatagramsAreDropped(t *testing.T) {
	count := &Counters{}
	a, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(a.LocalAddr().String())
	m, err := OpenPeerSocket(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable([]netip.AddrPort{peer}, peer), count)
	if err != nil {
		t.Fatal(err)
	}
	defer m.conn.Close()
	heard := make(chan string, 9)
	go m.Receive(func(from int, text []byte) bool {
		heard <- fmt.Sprint(from, string(text))
		return true
	})
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.conn.LocalAddr().String()))
	stranger, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	stranger.Write([]byte("no"))
	a.WriteToUDP(make([]byte, protocol.MaxDatagram+1), to)
	a.WriteToUDP([]byte("yes"), to)
	if got := <-heard; got != "0yes" {
		t.Errorf("heard %q", got)
	}
	eventually(t, "two dropped and one heard", func() bool { return count.PeerMessagesDropped.Load() == 2 && count.PeerMessagesReceived.Load() == 1 })
	m.Send(0, []byte("back"))
	m.Send(-1, []byte("all"))
	m.Send(5, []byte("nobody"))
	m.Send(0, make([]byte, protocol.MaxDatagram+1))
	if count.PeerMessagesSent.Load() != 2 || count.PeerMessagesUnsent.Load() != 2 {
		t.Errorf("told %d, failed %d", count.PeerMessagesSent.Load(), count.PeerMessagesUnsent.Load())
	}
}

// A socket that gives errors for as long as it is asked must not take the core for itself.
func TestErrorsOfThePeersSocketArePaced(t *testing.T) {
	count := &Counters{}
	m, err := OpenPeerSocket(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(nil, netip.AddrPort{}), count)
	if err != nil {
		t.Fatal(err)
	}
	m.conn.SetReadDeadline(time.Unix(1, 0)) // every read fails from now on
	done := make(chan struct{})
	go func() {
		m.Receive(func(int, []byte) bool { return true })
		close(done)
	}()
	time.Sleep(20 * againSoon)
	m.conn.Close()
	<-done
	if n := count.PeerMessagesDropped.Load(); n < 1 || n > 21 {
		t.Errorf("%d errors in 20 pauses", n)
	}
}

// The next call follows the last answer at once; a list that can't be read is counted and dropped.
func TestWatchGoesOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	calls := make(chan string, 9)
	go func() {
		answers := []string{
			`{"rev":5,"all":true,"targets":[]}`, `{"rev":6,"targets":[]}`, `{"rev":"x"}`,
			`{"rev":7,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"terminating"}]}`,
		}
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(conn)
			for q, err := http.ReadRequest(br); err == nil && len(answers) > 0; q, err = http.ReadRequest(br) {
				calls <- q.RequestURI
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answers[0]), answers[0])
				answers = answers[1:]
			}
			conn.Close()
		}
	}()
	log, count := zerolog.New(io.Discard), &Counters{}
	lists := make(chan *protocol.EndpointList, 9)
	w := &DiscoveryClient{
		Addr: ln.Addr().String(), Full: true, Limits: roomy, Log: &log, Counters: count,
		OnList: func(l *protocol.EndpointList) { lists <- l }, OnFailure: func() {},
	}
	go w.Run()
	defer w.Stop()
	began := time.Now()
	for _, want := range []string{
		"/v1/servers", "/v1/servers?from=5&hold_ms=1000", "/v1/servers?from=6&hold_ms=1000",
		"/v1/servers?from=6&hold_ms=1",
	} { // the first on a connection is answered at once
		if got := <-calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	if l := <-lists; !l.Full || l.Revision != 5 {
		t.Errorf("first %+v", l)
	}
	if l := <-lists; l.Revision != 7 || len(l.Endpoints) != 1 || count.MalformedLists.Load() != 1 || time.Since(began) > 2*time.Second {
		t.Errorf("then %+v, %d bad, after %v", l, count.MalformedLists.Load(), time.Since(began))
	}
}

// A call that discovery takes and never answers must not leave the node deaf for long: servers are replaced meanwhile.
func TestWatchAsksAgainWhereACallIsLost(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var calls atomic.Int64
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if calls.Add(1) == 2 {
			<-q.Context().Done()
		}
		io.WriteString(w, `{"rev":5,"targets":[]}`)
	}))
	log := zerolog.New(io.Discard)
	w := &DiscoveryClient{Addr: ln.Addr().String(), Limits: roomy, Log: &log, Counters: &Counters{}, OnList: func(*protocol.EndpointList) {}}
	began := time.Now()
	go w.Run()
	defer w.Stop()
	eventually(t, "another call", func() bool { return calls.Load() > 2 })
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("deaf for %v", took)
	}
}

// Discovery moves: the watch leaves a call that is held, and asks the new address for the whole list.
func TestWatchMoves(t *testing.T) {
	calls := make(chan string, 9)
	var addrs []string
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			calls <- q.Host + q.RequestURI
			if q.RequestURI != "/v1/servers" {
				<-q.Context().Done()
				return
			}
			io.WriteString(w, `{"rev":5,"all":true,"targets":[]}`)
		}))
	}
	var missed atomic.Bool
	log := zerolog.New(io.Discard)
	w := &DiscoveryClient{
		Addr: addrs[0], Full: true, Limits: roomy, Log: &log, Counters: &Counters{},
		OnList: func(*protocol.EndpointList) {}, OnFailure: func() { missed.Store(true) },
	}
	go w.Run()
	defer w.Stop()
	for _, addr := range []string{addrs[0], addrs[1], addrs[0]} {
		for _, uri := range []string{"/v1/servers", "/v1/servers?from=5&hold_ms=1000"} {
			select {
			case got := <-calls:
				if got != addr+uri {
					t.Errorf("call %s, want %s%s", got, addr, uri)
				}
			case <-time.After(3 * time.Second):
				t.Fatal("no call to " + addr + uri)
			}
		}
		if missed.Load() {
			t.Error("a call was missed")
		}
		w.SwitchTo(addrs[(slices.Index(addrs, addr)+1)%2])
	}
}

// All descriptors are accounted for at any limit: what is kept back, the clients of both fronts, and the app servers.
func TestBudgetOfDescriptors(t *testing.T) {
	for sockets := keptLeast + 2*leastSide; sockets < 5000; sockets++ {
		for _, both := range []bool{false, true} {
			l := Limits{Sockets: sockets, GRPC: both}
			clients := l.clients()
			if both {
				clients += l.channels()
			}
			if l.kept() < keptLeast || l.kept() > keptBack || clients != l.side() || l.clients() < 1 || l.side() < leastSide ||
				l.kept()+clients+l.side() > sockets {
				t.Fatalf("%d: %d kept, %d to clients, %d to app servers", sockets, l.kept(), clients, l.side())
			}
		}
	}
	if l := (Limits{Sockets: 1024}); l.side() != 480 || l.clients() != 480 || l.kept() != 64 {
		t.Errorf("of 1,024: %d kept, %d each", l.kept(), l.side())
	}
}
