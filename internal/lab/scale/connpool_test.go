package scale

import (
	"context"
	"net"
	"testing"
	"time"
)

// testConns returns count connections to a listener that the test closes, and its address.
func testConns(t *testing.T, count int) (conns []*clientConn, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	addr = listener.Addr().String()
	for range count {
		conn, err := dialClientConn(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns, addr
}

func isClosed(c *clientConn) bool { return c.conn.SetDeadline(time.Now().Add(time.Second)) != nil }

// The pool returns the most recently used connection first. It keeps no more than its limit and only reusable connections.
func TestConnPoolKeepsReusableConnections(t *testing.T) {
	conns, addr := testConns(t, 4)
	pool := newConnPool(2)
	for _, c := range conns[:3] {
		pool.put(addr, c)
	}
	conns[3].reusable = false
	pool.put(addr, conns[3])
	if pool.idleCount != 2 || !isClosed(conns[2]) || !isClosed(conns[3]) {
		t.Errorf("%d idle", pool.idleCount)
	}
	for _, want := range []*clientConn{conns[1], conns[0], nil} {
		if got := pool.take(addr); got != want || got != nil && isClosed(got) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}

// drop closes the idle connections to one address, dropAll those to all addresses.
func TestConnPoolDrops(t *testing.T) {
	conns, addr := testConns(t, 2)
	pool := newConnPool(2)
	pool.put(addr, conns[0])
	pool.put("elsewhere", conns[1])
	pool.drop(addr)
	if pool.idleCount != 1 || pool.take(addr) != nil || !isClosed(conns[0]) || isClosed(conns[1]) {
		t.Errorf("%d idle after a drop", pool.idleCount)
	}
	pool.dropAll()
	if pool.idleCount != 0 || !isClosed(conns[1]) {
		t.Errorf("%d idle after all were dropped", pool.idleCount)
	}
}
