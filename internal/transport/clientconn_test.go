package transport

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

func TestRequestsAreAnsweredOnOneConnection(t *testing.T) {
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	conn := node.dial(t)
	for _, size := range []int{0, 1, 5000, 20000, protocol.MaxBody} {
		body := strings.Repeat("x", size)
		if status, got, closes := roundTrip(t, conn, requestText(3000, body)); status != 200 || got != body || closes {
			t.Fatalf("%d bytes: status %d, %d bytes, closes %v", size, status, len(got), closes)
		}
		time.Sleep(settleTime)
	}
	if dials := node.counters.Dials.Load(); dials != 1 {
		t.Errorf("%d connections to the server", dials)
	}
	if status, _, _ := roundTrip(t, conn, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("health %d", status)
	}
	closeConn(conn)
	eventually(t, "a plain close", func() bool { return node.log.closedFor(reasonClientClosed) })
}

func TestMalformedInputGetsAStatusAndAClose(t *testing.T) {
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		strings.Replace(requestText(100, ""), "seats", "stalls", 1):      404,
		strings.Replace(requestText(100, ""), "team", "none", 1):         404,
		strings.Replace(requestText(100, ""), "Ms: 100", "Ms: soon", 1):  400,
		strings.Replace(requestText(100, ""), "units=1", "units=6.5", 1): 400,
		strings.Replace(requestText(100, ""), "spread=1", "spread=2", 1): 400,
		strings.Replace(requestText(100, ""), "first=0", "first=1", 1):   400,
		requestText(100, strings.Repeat("x", protocol.MaxBody+1)):        413,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 40000):             431,
	} {
		conn := node.dial(t)
		if status, _, closes := roundTrip(t, conn, text); status != want || !closes {
			t.Errorf("%.30q: status %d, closes %v, want %d", text, status, closes, want)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%.30q: %v instead of a close", text, err)
		}
	}
	if node.counters.Attempts.Load() != 0 {
		t.Error("malformed input was forwarded")
	}
}

// Clients are owed a response or a close within 3 s of connecting, also where a message never ends. One that has sent
// a request may stay.
func TestClientsThatNeverRequestAreClosedInTime(t *testing.T) {
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	stays := node.dial(t)
	roundTrip(t, stays, requestText(100, "x"))
	startedAt := time.Now()
	var all sync.WaitGroup
	for _, text := range []string{"", "POST /seats", requestText(100, "xx")[:150], requestText(100, "xx"+strings.Repeat("x", 9000))[:8000]} {
		conn := node.dial(t)
		writeString(conn, text)
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := io.ReadAll(conn); timedOut(err) || time.Since(startedAt) > 2800*time.Millisecond {
				t.Errorf("%.20q: %v after %v", text, err, time.Since(startedAt))
			}
		}()
	}
	all.Wait()
	// The time that its last response had is over; one to the next request has its own.
	if status, _, _ := roundTrip(t, stays, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("status %d", status)
	}
}
