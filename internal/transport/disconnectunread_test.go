package transport

import (
	"bufio"
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

// A request that its app server's machine has not taken whole when the client disconnects, as while that server reads
// nothing: the rest does not come once it reads again. One that the node has not written whole is given up at once, even
// where the platform lets no attempt be cancelled, as it has not begun.
func TestDisconnectWhileTheServerReadsNothing(t *testing.T) {
	t.Run("written", func(t *testing.T) { disconnectUnread(t, "true", 12<<10, true) })
	t.Run("half written", func(t *testing.T) { disconnectUnread(t, "false", protocol.MaxBody, false) })
}

// unreadRequests is how many requests the server leaves unread.
const unreadRequests = 4

func disconnectUnread(t *testing.T, cancelling string, size int, written bool) {
	t.Helper()
	listener := listenSmall(t)
	read, whole := make(chan struct{}), make(chan bool, unreadRequests)
	go serveConns(listener, func(conn net.Conn) {
		<-read
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		whole <- err == nil
	})
	node := startNodeWith(t, map[string]string{settings.CancelAttempts: cancelling}, settings.RetrySafe, roomyLimits, 0, nil)
	node.listOnly(endpoint("s", listener))
	if !written {
		node.openSmallConns(t)
	}
	var conns []net.Conn
	for sent := range unreadRequests {
		conn := node.dial(t)
		writeString(conn, requestText(4000, strings.Repeat("x", size)))
		eventually(t, "an attempt", func() bool {
			return node.connsInUse() == sent+1 && (node.counters.Attempts.Load() == int64(sent+1)) == written
		})
		conns = append(conns, conn)
	}
	time.Sleep(10 * maxResetWait) // the half written fill what takes them
	if sent := node.counters.Attempts.Load(); (sent == unreadRequests) != written {
		t.Fatalf("%d written whole", sent)
	}
	startedAt := time.Now()
	for _, conn := range conns {
		closeConn(conn)
	}
	eventually(t, "the ends", func() bool { return node.counters.ClientsGone.Load() == unreadRequests })
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("given up after %v", took)
	}
	close(read)
	arrived := 0
	for range unreadRequests {
		select {
		case all := <-whole:
			if all {
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

// listenSmall opens a listener whose connections take in little that is not read.
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
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(listener) })
	return listener
}

// openSmallConns puts connections into the pool that hold little of what is written.
func (n *testNode) openSmallConns(t *testing.T) {
	t.Helper()
	var conns []*upstreamConn
	for range unreadRequests {
		conn, err := n.pool.dial(t.Context(), n.server.router.Servers()[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.conn.SetWriteBuffer(4096); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		n.pool.put(conn)
	}
	time.Sleep(2 * settleTime)
}

// connsInUse is how many of the pool's connections are in use.
func (n *testNode) connsInUse() int {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	idle := 0
	for _, stack := range n.pool.idle {
		idle += len(stack)
	}
	return n.pool.total - idle
}

// A connection's state tells of a close behind bytes that nobody has read, and of a reset, as ppoll does.
func TestPeerHasClosed(t *testing.T) {
	listener := listen(t)
	accepted := make(chan net.Conn, 1)
	for _, end := range []struct {
		name   string
		close  func(net.Conn)
		closed bool
	}{
		{"open", func(net.Conn) {}, false},
		{"closed", func(conn net.Conn) { closeConn(conn) }, true},
		{"half closed", closeWrite, true},
		{"reset", func(conn net.Conn) { resetOnClose(conn); closeConn(conn) }, true},
	} {
		go func() {
			if conn, err := listener.Accept(); err == nil {
				accepted <- conn
			}
		}()
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeConn(client) })
		conn := <-accepted
		t.Cleanup(func() { closeConn(conn) })
		writeString(client, "bytes that nobody reads")
		end.close(client)
		s := newSocket(conn.(*net.TCPConn))
		eventually(t, end.name+" seen", func() bool {
			closed := false
			if err := s.raw.Control(func(fd uintptr) { closed = peerHasClosed(int(fd)) }); err != nil {
				t.Fatal(err)
			}
			return closed == end.closed
		})
		if got := s.hungUp(); got != end.closed {
			t.Errorf("%s: hung up %v", end.name, got)
		}
	}
}
