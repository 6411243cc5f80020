package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// TestDisconnectWhileTheServerReadsNothing guards against executing a request after its client has disconnected. Each client
// disconnects while the app server's machine has not acknowledged the whole request. The rest must not be delivered when the
// server reads again. A request that was not written completely must be abandoned at once, even if the settings forbid
// cancellation, because it has not started.
func TestDisconnectWhileTheServerReadsNothing(t *testing.T) {
	t.Run("written", func(t *testing.T) { testDisconnectUnread(t, "true", 12<<10, true) })
	t.Run("half written", func(t *testing.T) { testDisconnectUnread(t, "false", protocol.MaxBody, false) })
}

// unreadRequests is the number of requests that the server leaves unread.
const unreadRequests = 4

// testDisconnectUnread sends requests with bodies of size bytes to a server that reads nothing, and then disconnects the
// clients. written reports whether the node can write such requests completely. cancelAttempts is the value of that setting.
func testDisconnectUnread(t *testing.T, cancelAttempts string, size int, written bool) {
	t.Helper()
	listener := listenSmall(t)
	startReading, receivedWhole := make(chan struct{}), make(chan bool, unreadRequests)
	go nettest.ServeConns(listener, func(conn net.Conn) {
		<-startReading
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		receivedWhole <- err == nil
	})
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: settings.Values{settings.CancelAttempts: cancelAttempts}, RetrySafety: settings.RetrySafe, Limits: frontendtest.Limits})
	node.SetOnlyServer(frontendtest.Endpoint("s", listener))
	if !written {
		openSmallConns(t, node)
	}
	var conns []net.Conn
	for sent := range unreadRequests {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(4000, strings.Repeat("x", size)))
		nettest.Eventually(t, fmt.Sprintf("%d connections in use, with as many attempts counted: %t", sent+1, written), func() bool {
			return connsInUse(node) == sent+1 && (node.Counters.Upstream.Attempts.Load() == int64(sent+1)) == written
		})
		conns = append(conns, conn)
	}
	time.Sleep(10 * upstream.MaxResetWait) // Partly written requests fill the buffers in this time.
	if sent := node.Counters.Upstream.Attempts.Load(); (sent == unreadRequests) != written {
		t.Fatalf("%d of %d requests were written completely: all = %t, want %t", sent, unreadRequests, sent == unreadRequests, written)
	}
	startedAt := time.Now()
	for _, conn := range conns {
		nettest.Close(conn)
	}
	nettest.Eventually(t, "the end of all requests", func() bool { return node.Counters.ClientsGone.Load() == unreadRequests })
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("the node abandoned the requests %v after the clients disconnected, want within %v", took, time.Second)
	}
	close(startReading)
	arrived := 0
	for range unreadRequests {
		select {
		case whole := <-receivedWhole:
			if whole {
				arrived++
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the app server was still reading a request after 5s, want the connection closed")
		}
	}
	if arrived > 0 {
		t.Errorf("%d of %d requests arrived completely after their clients had disconnected, want 0", arrived, unreadRequests)
	}
}

// listenSmall opens a listener whose connections have small receive buffers.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	listener, err := config.Listen(t.Context(), "tcp", nettest.LoopbackAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(listener) })
	return listener
}

// openSmallConns adds connections with small send buffers to the pool.
func openSmallConns(t *testing.T, n *frontendtest.Node) {
	t.Helper()
	var conns []*upstream.Conn
	for range unreadRequests {
		conn, err := n.Pool.Dial(t.Context(), n.Router.Servers()[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.Socket().SetWriteBuffer(4096); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		n.Pool.Put(conn)
	}
	time.Sleep(2 * upstream.ReuseDelay)
}

// connsInUse returns the number of the pool's connections that are in use.
func connsInUse(n *frontendtest.Node) int {
	n.Pool.Mutex().Lock()
	defer n.Pool.Mutex().Unlock()
	idle := 0
	for _, stack := range n.Pool.Idle() {
		idle += len(stack)
	}
	return n.Pool.Total() - idle
}
