package frontend_test

import (
	"fmt"
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

// Bodies of some sizes could be truncated, or each request could open another connection to the app server. Requests of any
// body size on one client connection must get their own body back, and their attempts must reuse one connection.
func TestRequestsAreAnsweredOnOneConnection(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	conn := node.Dial(t)
	for _, size := range []int{0, 1, 5000, 20000, protocol.MaxBody} {
		body := strings.Repeat("x", size)
		if status, got, closes := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, body)); status != 200 || got != body || closes {
			t.Fatalf("request with %d body bytes: status %d, %d body bytes, body echoed %v, response closes %v; want status 200, %d, true, false",
				size, status, len(got), got == body, closes, size)
		}
		time.Sleep(upstream.ReuseDelay)
	}
	if dials := node.Counters.Upstream.Dials.Load(); dials != 1 {
		t.Errorf("%d connections dialled to the app server, want 1", dials)
	}
	if status, _, _ := frontendtest.RoundTrip(t, conn, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("health check of the node: status %d, want 200", status)
	}
	nettest.Close(conn)
	nettest.Eventually(t, "a close with reason client-closed", func() bool { return node.Log.ClosedFor(netio.ReasonClientClosed) })
}

// Without the reason an operator can't tell a smuggling attempt from a client with a wrong class. The log has the status, the
// reason and the parser's error of each invalid request.
func TestInvalidRequestsAreLoggedWithTheirReason(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	for text, want := range map[string]string{
		strings.Replace(frontendtest.RequestText(100, ""), "seats", "stalls", 1):        `"error":"unknown class or plan","message":"invalid request"`,
		strings.Replace(frontendtest.RequestText(100, ""), "Length: 0", "Length: x", 1): `"error":"malformed request","message":"invalid request"`,
	} {
		conn := node.Dial(t)
		status, _, _ := frontendtest.RoundTrip(t, conn, text)
		want = fmt.Sprintf(`"status":%d,"peer":"%v",%s`, status, conn.LocalAddr(), want)
		if !node.Log.Contains(want) {
			t.Errorf("request %.200q: no log line with %s", text, want)
		}
		nettest.Close(conn)
	}
	if cause := `Content-Length`; !node.Log.Contains(cause) {
		t.Errorf("no log line with the cause %q of a malformed request", cause)
	}
}

// An invalid request must not reach an app server. The client gets the status of the error, and then a close.
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
			t.Errorf("request %.200q: status %d, closes %v; want status %d, closes true", text, status, closes, want)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("request %.200q: read after the response: %v, want a close", text, err)
		}
	}
	if node.Counters.Upstream.Attempts.Load() != 0 {
		t.Errorf("%d attempts for malformed input, want 0", node.Counters.Upstream.Attempts.Load())
	}
}

// A client must get a response or a close within 3 s of connecting, even if its message never ends. A client that has sent
// a request may stay connected.
func TestClientsThatNeverRequestAreClosedInTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	kept := node.Dial(t)
	frontendtest.RoundTrip(t, kept, frontendtest.RequestText(100, "x"))
	startedAt := time.Now()
	var clients sync.WaitGroup
	for _, text := range []string{"", "POST /seats", frontendtest.RequestText(100, "xx")[:150], frontendtest.RequestText(100, "xx"+strings.Repeat("x", 9000))[:8000]} {
		conn := node.Dial(t)
		nettest.WriteString(conn, text)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if _, err := io.ReadAll(conn); netio.TimedOut(err) || time.Since(startedAt) > 2800*time.Millisecond {
				t.Errorf("connection that sent %d bytes %.20q: read ended with error %v after %v, want a close within 2.8s", len(text), text, err, time.Since(startedAt))
			}
		}()
	}
	clients.Wait()
	// The write deadline of the last response has passed. It must not apply to the next response.
	if status, _, _ := frontendtest.RoundTrip(t, kept, "GET "+protocol.HealthPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("health check on the connection that stayed open: status %d, want 200", status)
	}
}

// App servers would count the attempts of two requests with one id as those of one request. A request is therefore rejected
// if its id is in flight or was answered recently.
func TestIDOfAnotherRequestIsRefused(t *testing.T) {
	received, proceed := make(chan struct{}, 9), make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		received <- struct{}{}
		<-proceed
		return frontendtest.Echo(conn, request)
	})
	text, conn := frontendtest.RequestText(5000, "mine"), node.Dial(t)
	nettest.WriteString(conn, text)
	<-received
	for range 2 {
		if status, _, closes := frontendtest.RoundTrip(t, node.Dial(t), text); status != 409 || !closes {
			t.Errorf("second request with an id, first request in flight %v: status %d, closes %v; want status 409, closes true", proceed != nil, status, closes)
		}
		if proceed != nil {
			close(proceed)
			if status, body, _ := frontendtest.RoundTrip(t, conn, ""); status != 200 || body != "mine" {
				t.Errorf("first request with the id: status %d, body %q; want status 200, body %q", status, body, "mine")
			}
			proceed = nil
		}
	}
}
