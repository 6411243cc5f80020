package transport

import (
	"bufio"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// drains begins a drain and gives a channel that tells of its end.
func (b *bench) drains(accept time.Duration) chan struct{} {
	drained := make(chan struct{})
	go func() { b.front.Drain(accept); close(drained) }()
	return drained
}

func ended(t *testing.T, drained chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-drained:
	case <-time.After(within):
		t.Fatal("the drain does not end")
	}
}

// Connections that stand before the door when it closes are taken in: closing a listener resets them, with the request
// that they may have sent.
func TestDrainTakesInWhatStandsBeforeTheDoor(t *testing.T) {
	b := start(t, "single-use", roomy, 1, echo)
	b.front.mu.Lock() // accept is held here, with the first of them
	var conns []net.Conn
	for range 20 {
		conn := b.dial(t)
		io.WriteString(conn, ticketText(3000, "x"))
		conns = append(conns, conn)
	}
	drained := b.drains(10 * time.Millisecond)
	eventually(t, "the drain", b.front.draining.Load)
	time.Sleep(20 * time.Millisecond) // past the time to accept
	b.front.mu.Unlock()
	for k, conn := range conns {
		if status, _, closes := ask(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("connection %d: status %d, closes %v", k, status, closes)
		}
	}
	ended(t, drained, 3*time.Second)
	if n := b.count.Requests.Load(); n != 20 {
		t.Errorf("%d tickets taken", n)
	}
}

// A request that crosses the close of its idle connection: where its bytes are there they are read, answered with a
// close, and only then is the connection closed.
func TestDrainReadsWhatIsThereBeforeItCloses(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // no reader runs between the write and the look
	b := start(t, "single-use", roomy, 1, echo)
	lost := 0
	for range 20 {
		idle := b.dial(t)
		ask(t, idle, ticketText(3000, "x"))
		text := ticketText(3000, "x")
		eventually(t, "an idle connection", func() bool {
			b.front.mu.Lock()
			defer b.front.mu.Unlock()
			for c := range b.front.clients {
				return c.idle.Load()
			}
			return false
		})
		io.WriteString(idle, text)
		b.front.letGo()
		idle.SetDeadline(time.Now().Add(5 * time.Second))
		if a, err := readAnswer(idle); err != nil || a != 200 {
			lost++
		}
		idle.Close()
		eventually(t, "its end", func() bool {
			b.front.mu.Lock()
			defer b.front.mu.Unlock()
			return len(b.front.clients) == 0
		})
	}
	if lost > 0 {
		t.Errorf("%d of 20 requests were lost", lost)
	}
}

func readAnswer(conn net.Conn) (int, error) {
	buf := make([]byte, 12)
	if _, err := io.ReadFull(conn, buf); err != nil {
		return 0, err
	}
	return int(buf[9]-'0')*100 + int(buf[10]-'0')*10 + int(buf[11]-'0'), nil
}

// A connection that waits for a slot when the drain begins, one whose first request has come by half, and one that has
// only come: each is answered with a close. One that says nothing holds up no end.
func TestDrainWaitsForRequestsOnTheWay(t *testing.T) {
	limits := roomy
	limits.Sockets = keptLeast + 16 // eight clients
	answer := make(chan struct{})
	b := start(t, "single-use", limits, 8, func(conn net.Conn, q *http.Request) bool { <-answer; return echo(conn, q) })
	var conns []net.Conn
	for range 7 {
		conn := b.dial(t)
		io.WriteString(conn, ticketText(5000, "x"))
		conns = append(conns, conn)
	}
	half, text := b.dial(t), ticketText(5000, "x")
	io.WriteString(half, text[:60])
	eventually(t, "half a request", func() bool {
		b.front.mu.Lock()
		defer b.front.mu.Unlock()
		n := 0
		for c := range b.front.clients {
			if c.half.Load() && !c.asked.Load() {
				n++
			}
		}
		return n == 1 && len(b.front.clients) == 8 && b.count.Requests.Load() == 7
	})
	b.front.mu.Lock()
	b.front.evicted = true // nobody makes room
	b.front.mu.Unlock()
	waits := b.dial(t)
	io.WriteString(waits, ticketText(5000, "x"))
	eventually(t, "one that waits for a slot", b.front.crowded.Load)
	drained := b.drains(0)
	eventually(t, "the close of what is idle", b.front.closing.Load)
	time.Sleep(2 * askWithin)
	io.WriteString(half, text[60:])
	close(answer)
	for k, conn := range append(conns, half, waits) {
		if status, _, closes := ask(t, conn, ""); status != 200 && status != 503 || !closes {
			t.Errorf("connection %d: status %d, closes %v", k, status, closes)
		}
	}
	ended(t, drained, 3*time.Second)
}

// One that comes as the door closes has its time to ask; one that never does holds up no end.
func TestDrainGivesNewConnectionsTimeToAsk(t *testing.T) {
	b := start(t, "single-use", roomy, 1, echo)
	silent, asks := b.dial(t), b.dial(t)
	eventually(t, "both", func() bool { return b.count.Connections.Load() == 2 })
	began := time.Now()
	drained := b.drains(0)
	eventually(t, "the close of what is idle", b.front.closing.Load)
	if status, _, closes := ask(t, asks, ticketText(3000, "x")); status != 200 || !closes {
		t.Errorf("status %d, closes %v", status, closes)
	}
	if n, err := silent.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("%d, %v", n, err)
	}
	ended(t, drained, time.Second)
	if took := time.Since(began); took > 5*askWithin {
		t.Errorf("ended after %v", took)
	}
}

// A ticket at an app server that hangs ends within its outer limit, and the drain with it.
func TestDrainEndsWhereAppServersHang(t *testing.T) {
	b := start(t, "single-use", roomy, 1, func(conn net.Conn, q *http.Request) bool {
		conn.Read(make([]byte, 1)) // until the node closes
		return false
	})
	conn := b.dial(t)
	io.WriteString(conn, ticketText(700, ""))
	eventually(t, "the execution", func() bool { return b.count.Attempts.Load() == 1 })
	began, drained := time.Now(), b.drains(0)
	if status, _, closes := ask(t, conn, ""); status != 502 || !closes {
		t.Errorf("status %d, closes %v", status, closes)
	}
	ended(t, drained, time.Second)
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("ended after %v", took)
	}
}

// Clients that send all through a drain, on new connections for a while and on kept ones to the very end: whatever connection was
// accepted and sent a request gets its answer. A kept one may be closed as a request crosses that, which the client sends
// once more elsewhere.
func TestDrainUnderLoadLosesNothing(t *testing.T) {
	b := start(t, "replayable", roomy, 4, func(conn net.Conn, q *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		return echo(conn, q)
	})
	const accept = 400 * time.Millisecond
	var lost, crossed, answered, since atomic.Int64
	var all sync.WaitGroup
	addr := b.front.ln.Addr().String()
	for k := range 40 {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewSource(int64(k)))
			var conn net.Conn
			var br *bufio.Reader
			for fresh := true; ; {
				if conn == nil {
					if late := since.Load(); late > 0 && time.Now().UnixNano() > late {
						return // clients come for a while only
					}
					var err error
					if conn, err = net.Dial("tcp", addr); err != nil {
						return // the door is closed
					}
					br, fresh = bufio.NewReader(conn), true
				}
				conn.SetDeadline(time.Now().Add(5 * time.Second))
				io.WriteString(conn, ticketText(3000, "x"))
				a, err := http.ReadResponse(br, nil)
				switch {
				case err == nil:
					answered.Add(1)
					io.Copy(io.Discard, a.Body)
					fresh = false
				case timedOut(err) || fresh:
					lost.Add(1)
					t.Logf("%v, fresh %v", err, fresh)
				default:
					crossed.Add(1)
				}
				if err != nil || a.Close {
					conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(r.Intn(4000)) * time.Microsecond)
			}
		}()
	}
	eventually(t, "a load", func() bool { return answered.Load() > 200 })
	since.Store(time.Now().Add(accept / 2).UnixNano())
	ended(t, b.drains(accept), 5*time.Second)
	all.Wait()
	if lost.Load() > 0 || crossed.Load() > answered.Load()/100 {
		t.Errorf("%d lost, %d crossed a close, %d answered", lost.Load(), crossed.Load(), answered.Load())
	}
	t.Logf("%d lost, %d crossed a close, %d answered", lost.Load(), crossed.Load(), answered.Load())
}
