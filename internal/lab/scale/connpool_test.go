package scale

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"
)

// testConns returns count connections to a listener and the listener's address. The listener is closed when the test ends.
func testConns(t *testing.T, count int) (conns []*clientConn, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("cannot listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	addr = listener.Addr().String()
	for range count {
		conn, err := dialClientConn(context.Background(), addr)
		if err != nil {
			t.Fatalf("dialClientConn(%s) failed: %v", addr, err)
		}
		conns = append(conns, conn)
	}
	return conns, addr
}

// isClosed reports whether the connection was closed on the client's side.
func isClosed(c *clientConn) bool { return c.conn.SetDeadline(time.Now().Add(time.Second)) != nil }

// TestConnPoolKeepsReusableConnections guards against a leak of connections and against the reuse of a connection that can't
// carry another request. The pool closes connections above its limit and those that are not reusable. It returns the most
// recently used connection first.
func TestConnPoolKeepsReusableConnections(t *testing.T) {
	conns, addr := testConns(t, 4)
	pool := newConnPool(2)
	for _, c := range conns[:3] {
		pool.put(addr, c)
	}
	conns[3].reusable = false
	pool.put(addr, conns[3])
	if pool.idleCount != 2 || !isClosed(conns[2]) || !isClosed(conns[3]) {
		t.Errorf("pool with a limit of 2 holds %d idle connections; surplus one closed: %v, not reusable one closed: %v; want 2, true, true",
			pool.idleCount, isClosed(conns[2]), isClosed(conns[3]))
	}
	for _, want := range []*clientConn{conns[1], conns[0], nil} {
		if got := pool.take(addr); got != want || got != nil && isClosed(got) {
			t.Errorf("take(%s) = connection %d, closed: %v; want connection %d, closed: false (-1 for none)",
				addr, slices.Index(conns, got), got != nil && isClosed(got), slices.Index(conns, want))
		}
	}
}

// TestConnPoolDrops guards against stale connections to a node that has stopped. drop closes the idle connections to one
// address only; dropAll closes the connections to all addresses.
func TestConnPoolDrops(t *testing.T) {
	conns, addr := testConns(t, 2)
	pool := newConnPool(2)
	pool.put(addr, conns[0])
	pool.put("elsewhere", conns[1])
	pool.drop(addr)
	if idle, taken := pool.idleCount, pool.take(addr); idle != 1 || taken != nil || !isClosed(conns[0]) || isClosed(conns[1]) {
		t.Errorf("after drop(%s) of one of 2 idle connections: %d idle, take returned one: %v, closed: %v; want 1 idle, false, closed: [true false]",
			addr, idle, taken != nil, []bool{isClosed(conns[0]), isClosed(conns[1])})
	}
	pool.dropAll()
	if pool.idleCount != 0 || !isClosed(conns[1]) {
		t.Errorf("after dropAll: %d idle, connection to the other address closed: %v; want 0 idle, true", pool.idleCount, isClosed(conns[1]))
	}
}
