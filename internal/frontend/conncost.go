package frontend

import (
	"time"

	"cherrygap/internal/cpubudget"
)

// This file charges what a client connection costs, apart from its close, to the processor budget.

// cost returns what the connection has cost so far, apart from its close.
func (c *clientConn) cost() cpubudget.Cost {
	return cpubudget.Cost{Whole: c.setupTime + c.parseTime, SystemCalls: c.reader.SystemTime() + c.writer.SystemTime()}
}

// chargeOverhead takes the connection's cost since the last call, or since the last request that was forwarded, as work of a kind. serve
// calls it.
func (c *clientConn) chargeOverhead(kind cpubudget.Kind) {
	c.returnReserved()
	total := c.cost()
	c.server.overhead.charge(kind, total.Sub(c.accounted))
	c.accounted = total
}

// awaitTurn waits until processor time is left for the next part of a request that costs much to parse, as rejections do. It takes the cost of the
// connection so far and the expected cost of that part. Meanwhile the connection counts as one without a complete request, so the server may
// evict it. awaitTurn returns false if the connection was closed.
func (c *clientConn) awaitTurn() bool {
	c.settleTurn()
	overhead := c.server.overhead
	c.check.defers()
	c.server.deferred.Add(1)
	defer c.server.deferred.Add(-1)
	open := overhead.takeTurn(c.ended, func() {
		c.chargeOverhead(cpubudget.Reject)
		c.reservedParse = overhead.budget.Reserve(time.Now(), cpubudget.Parse)
	})
	return c.check.resumes() && open
}

// settleTurn takes the cost of what was parsed since awaitTurn. serve calls it.
func (c *clientConn) settleTurn() {
	if c.reservedParse == 0 {
		return
	}
	overhead, total := c.server.overhead, c.cost()
	overhead.budget.Settle(time.Now(), cpubudget.Parse, total.Sub(c.accounted), c.reservedParse)
	overhead.report(time.Now())
	c.accounted, c.reservedParse = total, 0
}

// chargeConnection takes the cost of a connection that has ended, unless a request of it was forwarded. serve calls it.
func (c *clientConn) chargeConnection() {
	overhead, reserved := c.server.overhead, c.reserved
	c.reserved = 0
	total := c.cost()
	switch {
	case c.forwarded.Load():
		overhead.budget.Return(time.Now(), cpubudget.Connection, reserved)
	case reserved == 0: // a request was rejected
		c.chargeOverhead(cpubudget.Accept)
	default:
		overhead.budget.Settle(time.Now(), cpubudget.Connection, total.Sub(c.accounted), reserved)
		overhead.report(time.Now())
	}
	c.accounted = total
}

// returnReserved gives back what was reserved for the connection, because its cost is waived or charged otherwise. serve calls it.
func (c *clientConn) returnReserved() {
	if c.reserved > 0 {
		c.server.overhead.budget.Return(time.Now(), cpubudget.Connection, c.reserved)
		c.reserved = 0
	}
}

// waiveOverhead drops the connection's cost so far, because it was for a request that was forwarded. serve calls it.
func (c *clientConn) waiveOverhead() {
	c.returnReserved()
	c.accounted = c.cost()
}

// beginRejection waits until the connection may be rejected. It takes the cost of the connection so far and the expected cost of its
// close. It returns false if the connection ends first.
func (c *clientConn) beginRejection() bool {
	overhead := c.server.overhead
	return overhead.takeTurn(c.ended, func() {
		c.chargeOverhead(cpubudget.Reject)
		c.reservedClose.Store(int64(overhead.budget.Reserve(time.Now(), cpubudget.Close)))
	})
}
