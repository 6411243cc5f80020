package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/netio"
)

// LimitedConn is a connection of a listener that LimitListener returned. It charges its cost to the processor budget, until a request
// was forwarded. It is safe for concurrent use as any net.Conn.
type LimitedConn struct {
	net.Conn
	server         *Server
	reader, writer *netio.Socket
	release        func()      // frees the connection's slot
	forwarded      atomic.Bool // set once a request was forwarded; the connection's reads, writes and close are then no overhead

	mu        sync.Mutex    // guards accounted
	accounted time.Duration // part of the time in system calls that was charged or waived
}

// newLimitedConn returns a connection that holds a slot of the listener. Its accept began at acceptCalledAt.
func newLimitedConn(l *limitedListener, conn *net.TCPConn, acceptCalledAt time.Time) *LimitedConn {
	c := &LimitedConn{
		Conn: conn, server: l.server, reader: netio.NewSocket(conn), writer: netio.NewSocket(conn),
		release: sync.OnceFunc(func() { <-l.slots }),
	}
	l.server.overhead.chargeWhole(cpubudget.Accept, acceptCost(acceptCalledAt))
	return c
}

// Read reads once.
func (c *LimitedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	defer c.chargeUnforwarded()
	return c.reader.Read(p)
}

// Write writes all of p.
func (c *LimitedConn) Write(p []byte) (int, error) {
	defer c.chargeUnforwarded()
	return c.writer.Write(p)
}

// Close closes the connection and releases its slot.
func (c *LimitedConn) Close() error {
	startedAt := time.Now()
	err := c.Conn.Close()
	if took := time.Since(startedAt); c.forwarded.Load() {
		c.server.overhead.measure(took)
	} else {
		c.server.overhead.chargeWhole(cpubudget.Accept, took)
	}
	c.release()
	return err
}

// MarkForwarded records that a request of the connection was forwarded. What the connection has cost since the last charge is waived.
func (c *LimitedConn) MarkForwarded() {
	c.forwarded.Store(true)
	c.takeCost()
}

// AwaitRejection waits until a request of the connection may be rejected as invalid, behind the rejections that wait already. It takes
// what the connection has cost since the last charge. It returns false if ended is closed first.
func (c *LimitedConn) AwaitRejection(ended <-chan struct{}) bool {
	return c.server.overhead.takeTurn(ended, func() {
		c.server.overhead.charge(cpubudget.Reject, cpubudget.Cost{SystemCalls: c.takeCost()})
	})
}

// chargeUnforwarded charges what the connection has cost since the last charge, unless a request was forwarded.
func (c *LimitedConn) chargeUnforwarded() {
	if !c.forwarded.Load() {
		c.server.overhead.charge(cpubudget.Accept, cpubudget.Cost{SystemCalls: c.takeCost()})
	}
}

// takeCost returns the time of the connection's system calls since the last call.
func (c *LimitedConn) takeCost() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.reader.SystemTime() + c.writer.SystemTime()
	cost := total - c.accounted
	c.accounted = total
	return cost
}
