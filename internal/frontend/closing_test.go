package frontend_test

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

	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// dialWithReceiveBuffer connects as a client with a receive buffer of size bytes.
func dialWithReceiveBuffer(t *testing.T, n *frontendtest.Node, size int) net.Conn {
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
	conn, err := dialer.DialContext(context.Background(), "tcp", n.Server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	netio.SetDeadline(conn, time.Now().Add(5*time.Second))
	t.Cleanup(func() { nettest.Close(conn) })
	return conn
}

// A slow client receives the complete last response, even if its next request arrives during the close.
func TestResponseWithACloseComesWhole(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.Draining().Store(true)
	conn := dialWithReceiveBuffer(t, node, 4096)
	body := strings.Repeat("x", protocol.MaxBody)
	nettest.WriteString(conn, frontendtest.RequestText(3000, body))
	nettest.Eventually(t, "the response", func() bool { return node.Counters.Completed.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // the node may close now
	nettest.WriteString(conn, frontendtest.RequestText(3000, "x"))
	time.Sleep(20 * time.Millisecond) // a reset would have arrived
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || len(got) != len(body) {
		t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
	}
}

// A connection whose request was read is not evicted, whatever its goroutines have done so far.
func TestNoEvictionOverARequestThatWasRead(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	conn := node.Dial(t)
	frontendtest.RoundTrip(t, conn, frontendtest.RequestText(1000, "x"))
	var client *frontend.ClientConn
	nettest.Eventually(t, "an idle connection", func() bool {
		node.Server.Mutex().Lock()
		defer node.Server.Mutex().Unlock()
		for c := range node.Server.ClientConns() {
			client = c
		}
		return client.Check().InPhase(frontend.PhaseIdle)
	})
	// serve has read bytes and not parsed them.
	if !client.Check().BeginRead() {
		t.Fatal("an idle connection can't be read")
	}
	client.Check().EndRead(netio.ReadBytes)
	node.Server.Evict()
	if client.Check().InPhase(frontend.PhaseClosed) {
		t.Error("evicted over bytes that were read")
	}
	// serve has handed the request over and read another behind it; the first one is answered.
	client.Check().RequestRead(0)
	if !client.Check().BeginRead() {
		t.Fatal("nothing can be read behind an open request")
	}
	client.Check().EndRead(netio.ReadBytes)
	if client.Check().TryCloseWithResponse() {
		t.Error("closed over a request that was read ahead")
	}
	client.Check().Answered()
	if client.Check().TryClose() {
		t.Error("closed over a request that was read ahead, once the one before was answered")
	}
}

// A client that does not read its response holds its slot for at most netio.MessageTimeout.
func TestAResponseThatIsNotTakenHoldsNoSlot(t *testing.T) {
	t.Parallel()
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	node.Server.Draining().Store(true)
	conn := dialWithReceiveBuffer(t, node, 4096)
	nettest.WriteString(conn, frontendtest.RequestText(60_000, strings.Repeat("x", protocol.MaxBody)))
	nettest.Eventually(t, "the response", func() bool { return node.Counters.Completed.Load() == 1 })
	begun := time.Now()
	nettest.Eventually(t, "a close", func() bool { return node.Server.OpenClients() == 0 })
	if took := time.Since(begun); took < netio.MessageTimeout/2 || took > netio.MessageTimeout+time.Second {
		t.Errorf("closed after %v", took)
	}
}
