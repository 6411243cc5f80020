package transport

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// All of it together, by seed: app servers that answer twice, reset, hang, turn away, spoil, trickle and close, clients that
// leave, send more, send half and flood, and a drain under way. Whoever stays gets one answer in time, its own; a
// single-use ticket runs once at most, and is bounced only where it has not run.
func TestRareMomentsTogether(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { together(t, seed) })
	}
}

func together(t *testing.T, seed int64) {
	var mu sync.Mutex
	r := rand.New(rand.NewSource(seed))
	chance := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.Intn(n) }
	runs := map[string]int{}
	b := start(t, "single-use", roomy, 24, func(conn net.Conn, q *http.Request) bool {
		raw, err := io.ReadAll(q.Body)
		if err != nil {
			return false
		}
		does := chance(100)
		if does >= 5 { // all others run it
			mu.Lock()
			runs[string(raw)]++
			mu.Unlock()
		}
		time.Sleep(time.Duration(chance(8)) * time.Millisecond)
		good := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		switch {
		case does < 5:
			io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		case does < 8:
			conn.(*net.TCPConn).SetLinger(0)
			return false
		case does < 11:
			io.WriteString(conn, "noise\r\n\r\n")
			return false
		case does < 14:
			conn.Read(make([]byte, 1)) // until the node gives it up
			return false
		case does < 16:
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
			for {
				if _, err := io.WriteString(conn, "x"); err != nil {
					return false
				}
				time.Sleep(20 * time.Millisecond)
			}
		case does < 30:
			began := time.Now()
			io.WriteString(conn, good)
			time.Sleep(time.Duration(1000+chance(6000)) * time.Microsecond)
			if time.Since(began) < 20*time.Millisecond { // a busy machine is no app server's fault
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			}
		case does < 40:
			io.WriteString(conn, good)
			return false
		default:
			io.WriteString(conn, good)
		}
		return true
	})
	var all sync.WaitGroup
	var answered, served atomic.Int64
	addr, stop := b.front.ln.Addr().String(), atomic.Bool{}
	for range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			var conn net.Conn
			var br *bufio.Reader
			for fresh := true; !stop.Load(); time.Sleep(time.Duration(chance(15)) * time.Millisecond) {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", addr); err != nil {
						return
					}
					br, fresh = bufio.NewReader(conn), true
				}
				budget := time.Duration(300+chance(600)) * time.Millisecond
				own := fmt.Sprint("own", lastID.Add(1))
				text := ticketText(int(budget/time.Millisecond), own)
				does := chance(100)
				switch {
				case does < 10:
					text += strings.Repeat("more ", 1+chance(3000))
				case does < 15:
					text = text[:chance(len(text))]
				}
				began := time.Now()
				io.WriteString(conn, text)
				if does < 8 || does >= 10 && does < 25 { // leaves
					conn.SetReadDeadline(began.Add(time.Duration(chance(60)) * time.Millisecond))
					conn.Read(make([]byte, 1))
					conn.Close()
					conn = nil
					continue
				}
				conn.SetReadDeadline(began.Add(budget + 2*time.Second))
				a, err := http.ReadResponse(br, nil)
				if err != nil {
					if fresh || timedOut(err) {
						t.Errorf("no answer after %v of %v: %v", time.Since(began), budget, err)
					}
					conn.Close()
					conn = nil
					continue
				}
				body, err := io.ReadAll(a.Body)
				if took := time.Since(began); err != nil || took > budget+100*time.Millisecond {
					t.Errorf("%v after %v of %v", err, took, budget)
				}
				mu.Lock()
				ran := runs[own]
				mu.Unlock()
				switch {
				case a.StatusCode == 200 && string(body) == own:
					served.Add(1)
				case a.StatusCode == 502 || a.StatusCode == 503 && ran == 0:
				default:
					t.Errorf("%s: status %d, body %.20q, ran %d times", own, a.StatusCode, body, ran)
				}
				answered.Add(1)
				if fresh = false; a.Close || does < 10 {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		}()
	}
	eventually(t, "tickets", func() bool { return answered.Load() > 400 })
	drained := b.drains(200 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	stop.Store(true)
	ended(t, drained, 5*time.Second)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for own, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", own, n)
		}
	}
	if c := b.count; c.Requests.Load() != c.Completed.Load()+c.Rejected.Load()+c.Failed.Load()+c.ClientsGone.Load() {
		t.Errorf("%d taken; %d completed, %d bounced, %d broken off, %d gone", c.Requests.Load(), c.Completed.Load(), c.Rejected.Load(),
			c.Failed.Load(), c.ClientsGone.Load())
	}
	t.Logf("%d answered, %d served, %d executions", answered.Load(), served.Load(), b.count.Attempts.Load())
}
