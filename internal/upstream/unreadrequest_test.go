package upstream_test

import (
	"bufio"
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

// A client disconnects while its app server's machine has not acknowledged the whole request. The rest is not delivered
// when the server reads again. A request that is not written completely is abandoned at once, even where the settings
// forbid cancellation, because it has not started.
func TestDisconnectWhileTheServerReadsNothing(t *testing.T) {
	t.Run("written", func(t *testing.T) { testDisconnectUnread(t, "true", 12<<10, true) })
	t.Run("half written", func(t *testing.T) { testDisconnectUnread(t, "false", protocol.MaxBody, false) })
}

// unreadRequests is the number of requests that the server leaves unread.
const unreadRequests = 4

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
	node := frontendtest.StartWith(t, frontendtest.Config{Settings: settings.Values{settings.CancelAttempts: cancelAttempts}, Retries: settings.RetrySafe, Limits: frontendtest.Limits})
	node.ListOnly(frontendtest.Endpoint("s", listener))
	if !written {
		openSmallConns(t, node)
	}
	var conns []net.Conn
	for sent := range unreadRequests {
		conn := node.Dial(t)
		nettest.WriteString(conn, frontendtest.RequestText(4000, strings.Repeat("x", size)))
		nettest.Eventually(t, "an attempt", func() bool {
			return connsInUse(node) == sent+1 && (node.Counters.Upstream.Attempts.Load() == int64(sent+1)) == written
		})
		conns = append(conns, conn)
	}
	time.Sleep(10 * upstream.MaxResetWait) // partly written requests fill the buffers
	if sent := node.Counters.Upstream.Attempts.Load(); (sent == unreadRequests) != written {
		t.Fatalf("%d written whole", sent)
	}
	startedAt := time.Now()
	for _, conn := range conns {
		nettest.Close(conn)
	}
	nettest.Eventually(t, "the ends", func() bool { return node.Counters.ClientsGone.Load() == unreadRequests })
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("given up after %v", took)
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
			t.Fatal("an attempt never ends")
		}
	}
	if arrived > 0 {
		t.Errorf("%d of %d came whole after their clients had disconnected", arrived, unreadRequests)
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
	listener, err := config.Listen(t.Context(), "tcp", nettest.AnyPort())
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
	time.Sleep(2 * upstream.SettleTime)
}

// connsInUse returns how many of the pool's connections are in use.
func connsInUse(n *frontendtest.Node) int {
	n.Pool.Mutex().Lock()
	defer n.Pool.Mutex().Unlock()
	idle := 0
	for _, stack := range n.Pool.Idle() {
		idle += len(stack)
	}
	return n.Pool.Total() - idle
}
