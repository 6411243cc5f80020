package frontend_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/settings"
)

// Clients that stay connected after their response must not use up the slots. At the limit, new connections evict them.
func TestIdleClientsAreEvicted(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	for i := range 30 {
		conn := node.Dial(t)
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 {
			t.Fatalf("request on new connection %d: status %d, want 200", i, status)
		}
	}
	if open := node.Server.OpenClients(); open > 8 {
		t.Errorf("%d client connections are open, want at most 8", open)
	}
}

// Many connections without a complete request must not delay other clients. At the limit, they are evicted first, and no new
// connection waits for their timeout.
func TestConnectionsWithoutARequestAreEvictedFirst(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	kept := node.Dial(t)
	if status, _, _ := frontendtest.RoundTrip(t, kept, frontendtest.RequestText(3000, "x")); status != 200 {
		t.Fatalf("first request of the kept connection: status %d, want 200", status)
	}
	startedAt := time.Now()
	for i := range 30 {
		time.Sleep(frontend.FirstRequestGrace / 5)
		nettest.WriteString(node.Dial(t), "POST /seats HTTP/1.1\r\nHost"[:i%2*24])
	}
	for _, conn := range []net.Conn{node.Dial(t), kept} {
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 || time.Since(startedAt) > netio.MessageTimeout*3/4 {
			t.Fatalf("request at the limit, on the kept connection %v: status %d after %v, want 200 within %v", conn == kept, status, time.Since(startedAt), netio.MessageTimeout*3/4)
		}
	}
	if node.Log.ClosedFor(netio.ReasonClientTimeout) || !node.Log.ClosedFor(netio.ReasonEvicted) {
		t.Errorf("close reasons: %s seen %v, want false; %s seen %v, want true", netio.ReasonClientTimeout,
			node.Log.ClosedFor(netio.ReasonClientTimeout), netio.ReasonEvicted, node.Log.ClosedFor(netio.ReasonEvicted))
	}
}

// When more than half of the slots are in use, each response closes its connection. Otherwise clients that stay connected
// would use up the slots, and new connections would have to wait for evictions.
func TestResponsesCloseNearTheLimit(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	for i := range 6 {
		if _, _, closes := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); closes != (i > 3) {
			t.Errorf("response %d closes its connection: %v, want %v", i, closes, i > 3)
		}
	}
}

// An eviction must not close a new connection whose first request is in transit, because the request would be lost.
func TestNewClientsAreNotEvicted(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEightConnections(), 1, frontendtest.Echo)
	var clients sync.WaitGroup
	for range 40 {
		conn := node.Dial(t)
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(frontend.FirstRequestGrace / 10)
			frontendtest.RoundTrip(t, conn, frontendtest.RequestText(5000, "x")) // the client stays connected
		}()
		time.Sleep(frontend.FirstRequestGrace / 30)
	}
	clients.Wait()
}
