package frontend_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

func TestRequestsAreAnsweredOnOneConnection(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	conn := node.Dial(t)
	for _, size := range []int{0, 1, 5000, 20000, protocol.MaxBody} {
		body := strings.Repeat("x", size)
		if status, got, closes := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, body)); status != 200 || got != body || closes {
			t.Fatalf("%d bytes: status %d, %d bytes, closes %v", size, status, len(got), closes)
		}
		time.Sleep(upstream.SettleTime)
	}
	if dials := node.Counters.Upstream.Dials.Load(); dials != 1 {
		t.Errorf("%d connections to the server", dials)
	}
	if status, _, _ := frontendtest.RoundTrip(t, conn, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("health %d", status)
	}
	nettest.Close(conn)
	nettest.Eventually(t, "a plain close", func() bool { return node.Log.ClosedFor(netio.ReasonClientClosed) })
}

func TestMalformedInputGetsAStatusAndAClose(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		strings.Replace(frontendtest.RequestText(100, ""), "seats", "stalls", 1):      404,
		strings.Replace(frontendtest.RequestText(100, ""), "team", "none", 1):         404,
		strings.Replace(frontendtest.RequestText(100, ""), "Ms: 100", "Ms: soon", 1):  400,
		strings.Replace(frontendtest.RequestText(100, ""), "units=1", "units=6.5", 1): 400,
		strings.Replace(frontendtest.RequestText(100, ""), "spread=1", "spread=2", 1): 400,
		strings.Replace(frontendtest.RequestText(100, ""), "first=0", "first=1", 1):   400,
		frontendtest.RequestText(100, strings.Repeat("x", protocol.MaxBody+1)):        413,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 40000):                          431,
	} {
		conn := node.Dial(t)
		if status, _, closes := frontendtest.RoundTrip(t, conn, text); status != want || !closes {
			t.Errorf("%.30q: status %d, closes %v, want %d", text, status, closes, want)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%.30q: %v instead of a close", text, err)
		}
	}
	if node.Counters.Upstream.Attempts.Load() != 0 {
		t.Error("malformed input was forwarded")
	}
}

// Clients get a response or a close within 3 s of connecting, even if a message never ends. One that has sent a request
// may stay connected.
func TestClientsThatNeverRequestAreClosedInTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	stays := node.Dial(t)
	frontendtest.RoundTrip(t, stays, frontendtest.RequestText(100, "x"))
	startedAt := time.Now()
	var all sync.WaitGroup
	for _, text := range []string{"", "POST /seats", frontendtest.RequestText(100, "xx")[:150], frontendtest.RequestText(100, "xx"+strings.Repeat("x", 9000))[:8000]} {
		conn := node.Dial(t)
		nettest.WriteString(conn, text)
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := io.ReadAll(conn); netio.TimedOut(err) || time.Since(startedAt) > 2800*time.Millisecond {
				t.Errorf("%.20q: %v after %v", text, err, time.Since(startedAt))
			}
		}()
	}
	all.Wait()
	// The write deadline of the last response has passed; the next response has its own.
	if status, _, _ := frontendtest.RoundTrip(t, stays, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("status %d", status)
	}
}

// A request with the id of another one, in flight or answered lately, is rejected.
func TestIDOfAnotherRequestIsRefused(t *testing.T) {
	received, answer := make(chan struct{}, 9), make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		received <- struct{}{}
		<-answer
		return frontendtest.Echo(conn, request)
	})
	text, conn := frontendtest.RequestText(5000, "mine"), node.Dial(t)
	nettest.WriteString(conn, text)
	<-received
	for range 2 {
		if status, _, closes := frontendtest.RoundTrip(t, node.Dial(t), text); status != 409 || !closes {
			t.Errorf("status %d, closes %v", status, closes)
		}
		if answer != nil {
			close(answer)
			if status, body, _ := frontendtest.RoundTrip(t, conn, ""); status != 200 || body != "mine" {
				t.Errorf("status %d, body %q", status, body)
			}
			answer = nil
		}
	}
}
