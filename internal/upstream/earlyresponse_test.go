package upstream_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// Protects against a client that gets a response which the app server sent before it had the whole request, and so not for that
// request. A server executes a request only once it is complete. It may still answer it, so the connection must carry no other.
func TestResponseBeforeTheLastByteIsNotTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name, early string
		wantStatus  int
		wantOutcome protocol.Outcome
		wantReason  netio.CloseReason
	}{
		{"completed", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign", 502, protocol.MalformedResponse, netio.ReasonServerMalformed},
		{"error", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", 502, protocol.Errored, netio.ReasonServerRequestedClose},
		{"interim", "HTTP/1.1 103 Early Hints\r\n\r\n", 200, protocol.Completed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, conns := listenSmall(t), atomic.Int64{}
			go nettest.ServeConns(listener, func(conn net.Conn) {
				first := make([]byte, 1)
				if _, err := io.ReadFull(conn, first); err != nil {
					return
				}
				if conns.Add(1) == 1 {
					nettest.WriteString(conn, c.early)
				}
				request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(first), conn)))
				if err == nil {
					frontendtest.Echo(conn, request)
					nettest.WaitForClose(conn)
				}
			})
			node := frontendtest.StartWith(t, frontendtest.Config{RetrySafety: settings.RetryUnsafe, Limits: frontendtest.Limits})
			node.SetOnlyServer(frontendtest.Endpoint("s", listener))
			openSmallConns(t, node) // The last byte can't be written before the server reads.
			client := node.Dial(t)
			large := strings.Repeat("x", protocol.MaxBody)
			if status, body, _ := frontendtest.RoundTrip(t, client, frontendtest.RequestText(3000, large)); status != c.wantStatus || body != "" && body != large {
				t.Errorf("status %d, body %.20q; want %d without a body of another request", status, body, c.wantStatus)
			}
			if outcomes := node.Counters.Upstream.AttemptOutcomes[c.wantOutcome].Load(); outcomes != 1 {
				t.Errorf("%d attempts with outcome %v, want 1", outcomes, c.wantOutcome)
			}
			if c.wantReason != "" && !node.Log.ClosedFor(c.wantReason) {
				t.Errorf("no connection was closed with reason %s, want one", c.wantReason)
			}
			if status, body, _ := frontendtest.RoundTrip(t, client, frontendtest.RequestText(3000, "next")); status != 200 || body != "next" {
				t.Errorf("next request: status %d, body %.20q; want 200, \"next\"", status, body)
			}
		})
	}
}
