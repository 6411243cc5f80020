package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// Protects against a client that gets the response made for another request. Behind any interim response, 101 included, the
// final response to the same request follows, so the connection must not carry the next request before that.
func TestInterimResponsesDoNotShiftResponses(t *testing.T) {
	for _, status := range []int{100, 101, 102, 103, 199} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			serve := func(conn net.Conn, request *http.Request) bool {
				body, _ := io.ReadAll(request.Body)
				nettest.Respondf(conn, "HTTP/1.1 %d Interim\r\nX-Note: a\r\n\r\n", status)
				time.Sleep(3 * upstream.ReuseDelay) // the server works on the request
				nettest.Respondf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				return true
			}
			node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, serve)
			client := node.Dial(t)
			for i := range 6 {
				want := fmt.Sprint("seat ", i)
				if got, body, _ := frontendtest.RoundTrip(t, client, frontendtest.RequestText(2000, want)); got != 200 || body != want {
					t.Errorf("request %d: status %d, body %q; want 200, %q", i, got, body, want)
				}
				time.Sleep(upstream.ReuseDelay) // the connection may be used again
			}
		})
	}
}
