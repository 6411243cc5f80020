package transport

import (
	"net"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/settings"
)

// With few descriptors, clients that send nothing, or half a request, are closed for one that sends a request.
func TestSilentClientsAreEvicted(t *testing.T) {
	node := startNode(t, settings.RetrySafe, limitsForEight(), 1, echo)
	for range 30 {
		conn := node.dial(t)
		if status, _, _ := roundTrip(t, conn, requestText(3000, "x")); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	if open := node.openClients(); open > 8 {
		t.Errorf("%d clients", open)
	}
}

// At the limit those who never sent a whole request are closed first, at once, however many they are.
func TestCrowdsThatNeverRequestAreEvicted(t *testing.T) {
	node := startNode(t, settings.RetrySafe, limitsForEight(), 1, echo)
	stays := node.dial(t)
	if status, _, _ := roundTrip(t, stays, requestText(3000, "x")); status != 200 {
		t.Fatalf("status %d", status)
	}
	startedAt := time.Now()
	for i := range 30 {
		time.Sleep(firstByteTimeout / 5)
		writeString(node.dial(t), "POST /seats HTTP/1.1\r\nHost"[:i%2*24])
	}
	for _, conn := range []net.Conn{node.dial(t), stays} {
		if status, _, _ := roundTrip(t, conn, requestText(3000, "x")); status != 200 || time.Since(startedAt) > messageTimeout*3/4 {
			t.Fatalf("status %d after %v", status, time.Since(startedAt))
		}
	}
	if node.log.closedFor(reasonClientTimeout) || !node.log.closedFor(reasonEvicted) {
		t.Error("the crowd was waited for")
	}
}

// Many clients send one request and stay: past half of the slots each response is its connection's last, before any has to
// be evicted.
func TestResponsesCloseNearTheLimit(t *testing.T) {
	node := startNode(t, settings.RetrySafe, limitsForEight(), 1, echo)
	for k := range 6 {
		if _, _, closes := roundTrip(t, node.dial(t), requestText(3000, "x")); closes != (k > 3) {
			t.Errorf("response %d closes: %v", k, closes)
		}
	}
}

// A client that has only come is not evicted: its request is on its way.
func TestNewClientsAreNotEvicted(t *testing.T) {
	node := startNode(t, settings.RetrySafe, limitsForEight(), 1, echo)
	var all sync.WaitGroup
	for range 40 {
		conn := node.dial(t)
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(firstByteTimeout / 10)
			roundTrip(t, conn, requestText(5000, "x")) // and stays
		}()
		time.Sleep(firstByteTimeout / 30)
	}
	all.Wait()
}
