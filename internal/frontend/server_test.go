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

// At the limit, clients that send nothing or half a request are evicted for one that sends a request.
func TestSilentClientsAreEvicted(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEight(), 1, frontendtest.Echo)
	for range 30 {
		conn := node.Dial(t)
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	if open := node.Server.OpenClients(); open > 8 {
		t.Errorf("%d clients", open)
	}
}

// At the limit, connections without a complete request are evicted first, without delay.
func TestCrowdsThatNeverRequestAreEvicted(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEight(), 1, frontendtest.Echo)
	stays := node.Dial(t)
	if status, _, _ := frontendtest.RoundTrip(t, stays, frontendtest.RequestText(3000, "x")); status != 200 {
		t.Fatalf("status %d", status)
	}
	startedAt := time.Now()
	for i := range 30 {
		time.Sleep(frontend.FirstRequestGrace / 5)
		nettest.WriteString(node.Dial(t), "POST /seats HTTP/1.1\r\nHost"[:i%2*24])
	}
	for _, conn := range []net.Conn{node.Dial(t), stays} {
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 || time.Since(startedAt) > netio.MessageTimeout*3/4 {
			t.Fatalf("status %d after %v", status, time.Since(startedAt))
		}
	}
	if node.Log.ClosedFor(netio.ReasonClientTimeout) || !node.Log.ClosedFor(netio.ReasonEvicted) {
		t.Error("the crowd was waited for")
	}
}

// Over half of the slots, each response closes its connection, before any has to be evicted.
func TestResponsesCloseNearTheLimit(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEight(), 1, frontendtest.Echo)
	for k := range 6 {
		if _, _, closes := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); closes != (k > 3) {
			t.Errorf("response %d closes: %v", k, closes)
		}
	}
}

// New connections, whose request is in transit, are not evicted.
func TestNewClientsAreNotEvicted(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.LimitsForEight(), 1, frontendtest.Echo)
	var all sync.WaitGroup
	for range 40 {
		conn := node.Dial(t)
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(frontend.FirstRequestGrace / 10)
			frontendtest.RoundTrip(t, conn, frontendtest.RequestText(5000, "x")) // and stays connected
		}()
		time.Sleep(frontend.FirstRequestGrace / 30)
	}
	all.Wait()
}
