package frontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/settings"
)

const (
	malformedRequest = "nonsense\r\n\r\n"
	exhaustedTime    = 300 * time.Millisecond
	// exhaustedLongTime is nearly as long as the budget allows.
	exhaustedLongTime = 490 * time.Millisecond
)

// respondedAt sends a text over a new connection and returns the status of the response and the time until it came.
func respondedAt(t *testing.T, node *frontendtest.Node, text string) (int, time.Duration) {
	t.Helper()
	startedAt := time.Now()
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), text)
	return status, time.Since(startedAt)
}

// Protects against many clients with malformed requests that take the processor from usual clients.
func TestMalformedRequestsWaitForProcessorTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.ExhaustOverhead(exhaustedTime)
	malformed := node.Dial(t)
	startedAt := time.Now()
	nettest.WriteString(malformed, malformedRequest)
	if status, took := respondedAt(t, node, frontendtest.RequestText(3000, "x")); status != http.StatusOK || took > exhaustedTime/2 {
		t.Errorf("usual request beside the malformed one: status %d after %v, want %d within %v", status, took, http.StatusOK, exhaustedTime/2)
	}
	response, err := http.ReadResponse(bufio.NewReader(malformed), nil)
	if err != nil || response.StatusCode != http.StatusBadRequest || time.Since(startedAt) < exhaustedTime/2 {
		t.Errorf("malformed request: response %+v, error %v after %v; want status %d, not before %v", response, err, time.Since(startedAt),
			http.StatusBadRequest, exhaustedTime/2)
	}
	if status, took := respondedAt(t, node, malformedRequest); status != http.StatusBadRequest || took > exhaustedTime/2 {
		t.Errorf("malformed request with processor time left: status %d after %v, want %d within %v", status, took, http.StatusBadRequest, exhaustedTime/2)
	}
}

// Protects against parsing bodies in very small chunks that takes the processor from usual clients: the rest of such a request waits once it
// is longer than any with little framing. With processor time left it is served.
func TestBodiesInSmallChunksWaitForProcessorTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	const chunks = 25_000 // 6 bytes each, more than the largest request with little framing
	body := strings.Repeat("b", chunks)
	chunked := func() string {
		head, _, _ := strings.Cut(frontendtest.RequestText(3000, ""), "Content-Length")
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", chunks) + "0\r\n\r\n"
	}
	if status, echoed, _ := frontendtest.RoundTrip(t, node.Dial(t), chunked()); status != http.StatusOK || echoed != body {
		t.Errorf("body in small chunks: status %d, %d bytes echoed; want %d, %d", status, len(echoed), http.StatusOK, len(body))
	}
	node.Server.ExhaustOverhead(exhaustedTime)
	if status, took := respondedAt(t, node, chunked()); status != http.StatusOK || took < exhaustedTime/2 {
		t.Errorf("body in small chunks without processor time left: status %d after %v, want %d, not before %v", status, took, http.StatusOK,
			exhaustedTime/2)
	}
}

// Protects against a late answer to a client that repeats a request whose first connection was closed: such a client may be in good faith.
func TestRepeatedRequestIsRejectedAtOnce(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	text := frontendtest.RequestText(3000, "x")
	if status, _ := respondedAt(t, node, text); status != http.StatusOK {
		t.Fatalf("first request: status %d, want %d", status, http.StatusOK)
	}
	node.Server.ExhaustOverhead(exhaustedTime)
	if status, took := respondedAt(t, node, text); status != http.StatusConflict || took > exhaustedTime/2 {
		t.Errorf("the same request: status %d after %v, want %d within %v", status, took, http.StatusConflict, exhaustedTime/2)
	}
}

// Protects against connections that hold slots while they wait for their rejection: usual clients get these slots at once.
func TestWaitingRejectionsAreEvictedFirst(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	node.Server.ExhaustOverhead(exhaustedLongTime)
	kept := node.Dial(t)
	var malformed []net.Conn
	for range 7 {
		malformed = append(malformed, node.Dial(t))
		nettest.WriteString(malformed[len(malformed)-1], malformedRequest)
	}
	nettest.Eventually(t, "eight open connections", func() bool { return node.Server.OpenClients() == 8 })
	nettest.Eventually(t, "seven rejections", func() bool { return node.Counters.MalformedRequests.Load() == 7 })
	for i := range 4 {
		if status, took := respondedAt(t, node, frontendtest.RequestText(3000, strings.Repeat("x", i+1))); status != http.StatusOK || took > time.Second {
			t.Errorf("request %d at the limit: status %d after %v, want %d within a second", i, status, took, http.StatusOK)
		}
	}
	if rest, err := io.ReadAll(malformed[0]); len(rest) > 0 || netio.TimedOut(err) {
		t.Errorf("first malformed connection: read %q, error %v; want a close", rest, err)
	}
	if status, _, _ := frontendtest.RoundTrip(t, kept, frontendtest.RequestText(3000, "kept")); status != http.StatusOK {
		t.Errorf("request on the connection that waited for none: status %d, want %d", status, http.StatusOK)
	}
}

// Protects against a drain that waits for rejections.
func TestDrainDoesNotWaitForRejections(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.ExhaustOverhead(exhaustedLongTime)
	nettest.WriteString(node.Dial(t), malformedRequest)
	nettest.Eventually(t, "the rejection", func() bool { return node.Counters.MalformedRequests.Load() == 1 })
	startedAt := time.Now()
	node.Server.Drain(0)
	if took := time.Since(startedAt); took > 4*frontend.FirstRequestGrace {
		t.Errorf("Drain took %v with a rejection that waits, want at most %v", took, 4*frontend.FirstRequestGrace)
	}
}

// Protects against slots for connections whose clients have gone, and against an eviction for such a connection.
func TestClosedConnectionsNeedNoSlot(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	var idle []net.Conn
	for range 8 {
		idle = append(idle, node.Dial(t))
	}
	nettest.Eventually(t, "eight open connections", func() bool { return node.Server.OpenClients() == 8 })
	node.Server.BlockEvictions()
	before := node.Counters.Connections.Load()
	for range 5 {
		nettest.Close(node.Dial(t))
	}
	// The first connection may be accepted before its client closes it. It then waits for a slot.
	nettest.Close(idle[0])
	nettest.Eventually(t, "the close of all five", func() bool { return node.Counters.Connections.Load()-before == 5 && node.Server.OpenClients() == 7 })
}
