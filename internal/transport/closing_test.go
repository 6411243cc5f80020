package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// dialWithReceiveBuffer connects as a client whose machine takes in so many bytes before the client reads them.
func (n *testNode) dialWithReceiveBuffer(t *testing.T, size int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	setDeadline(conn, time.Now().Add(5*time.Second))
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// A response that closes its connection comes whole to a client that reads it slowly, though the client's next request
// crosses the close.
func TestResponseWithACloseComesWhole(t *testing.T) {
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	node.server.draining.Store(true)
	conn := node.dialWithReceiveBuffer(t, 4096)
	body := strings.Repeat("x", protocol.MaxBody)
	writeString(conn, requestText(3000, body))
	eventually(t, "the response", func() bool { return node.counters.Completed.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // the node closes now, or does not
	writeString(conn, requestText(3000, "x"))
	time.Sleep(20 * time.Millisecond) // a reset for it would be here by now
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || len(got) != len(body) {
		t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
	}
}

// A connection whose request was read is not closed to make room for another, whatever its goroutines are at.
func TestNoEvictionOverARequestThatWasRead(t *testing.T) {
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	conn := node.dial(t)
	roundTrip(t, conn, requestText(1000, "x"))
	var client *clientConn
	eventually(t, "an idle connection", func() bool {
		node.server.mu.Lock()
		defer node.server.mu.Unlock()
		for c := range node.server.clients {
			client = c
		}
		return client.guard.is(phaseIdle)
	})
	// serve has read bytes and is not at them yet.
	if !client.guard.beginRead() {
		t.Fatal("an idle connection can't be read")
	}
	client.guard.endRead(true, false)
	node.server.evict()
	if client.guard.is(phaseClosed) {
		t.Error("evicted over bytes that were read")
	}
	// serve has handed the request over, read another behind it, and the first is answered.
	client.guard.requestRead(false)
	if !client.guard.beginRead() {
		t.Fatal("nothing can be read behind an open request")
	}
	client.guard.endRead(true, false)
	if client.guard.closeWithResponse() {
		t.Error("closed over a request that was read ahead")
	}
	client.guard.answered()
	if client.guard.tryClose(false) {
		t.Error("closed over a request that was read ahead, once the one before was answered")
	}
}

// A client that takes its response in never holds its slot for longer than a message may take.
func TestAResponseThatIsNotTakenHoldsNoSlot(t *testing.T) {
	t.Parallel()
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, echo)
	node.server.draining.Store(true)
	conn := node.dialWithReceiveBuffer(t, 4096)
	writeString(conn, requestText(60_000, strings.Repeat("x", protocol.MaxBody)))
	eventually(t, "the response", func() bool { return node.counters.Completed.Load() == 1 })
	begun := time.Now()
	eventually(t, "a close", func() bool { return node.openClients() == 0 })
	if took := time.Since(begun); took < messageTimeout/2 || took > messageTimeout+time.Second {
		t.Errorf("closed after %v", took)
	}
}
