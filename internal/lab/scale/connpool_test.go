package scale

import (
	"context"
	"net"
	"testing"
	"time"
)

// testConns are connections to a listener of the test's own.
func testConns(t *testing.T, count int) (conns []*clientConn, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	addr = listener.Addr().String()
	for range count {
		conn, err := dialClient(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns, addr
}

func isClosed(c *clientConn) bool { return c.conn.SetDeadline(time.Now().Add(time.Second)) != nil }

// The pool gives the connection used last, keeps no more than its limit and none that can't be used again.
func TestConnPoolKeepsSome(t *testing.T) {
	conns, addr := testConns(t, 4)
	pool := newConnPool(2)
	for _, c := range conns[:3] {
		pool.put(addr, c, true)
	}
	pool.put(addr, conns[3], false)
	if pool.idleCount != 2 || !isClosed(conns[2]) || !isClosed(conns[3]) {
		t.Errorf("%d idle", pool.idleCount)
	}
	for _, want := range []*clientConn{conns[1], conns[0], nil} {
		if got := pool.take(addr); got != want || got != nil && isClosed(got) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}

// To drop an address closes its idle connections alone, to drop all every one.
func TestConnPoolDrops(t *testing.T) {
	conns, addr := testConns(t, 2)
	pool := newConnPool(2)
	pool.put(addr, conns[0], true)
	pool.put("elsewhere", conns[1], true)
	pool.drop(addr)
	if pool.idleCount != 1 || pool.take(addr) != nil || !isClosed(conns[0]) || isClosed(conns[1]) {
		t.Errorf("%d idle after a drop", pool.idleCount)
	}
	pool.dropAll()
	if pool.idleCount != 0 || !isClosed(conns[1]) {
		t.Errorf("%d idle after all were dropped", pool.idleCount)
	}
}
