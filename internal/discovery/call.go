package discovery

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// callTarget is where to call discovery, and what to ask for: a copy of the client's, which may have moved on when a
// racer's call ends.
type callTarget struct {
	addr     string
	revision uint64
	full     bool
	limits   netio.Limits
	log      *zerolog.Logger
	counters *Counters
}

// callResult is what came of one call.
type callResult struct {
	conn    *discoveryConn
	list    protocol.EndpointList
	last    bool // the connection ends with it
	err     error
	patient bool        // of the one racer that waits long
	keep    func() bool // keeps the connection open past the first call's context; false where that has ended it
}

// firstCall opens a connection and makes its first call, both within a timeout and until ctx ends. Where received is set
// the bytes of the answer are added to it, and an answer that goes on coming in has more time.
func (t callTarget) firstCall(ctx context.Context, hold, timeout time.Duration, received *atomic.Int64) callResult {
	deadline := time.Now().Add(timeout)
	conn, err := t.dial(ctx, deadline)
	if err != nil {
		return callResult{err: err}
	}
	c := &discoveryConn{
		conn: conn, addr: t.addr, log: t.log, counters: t.counters, openedAt: time.Now(),
		in: netio.NewRingBuffer(conn, conn, t.limits.BufferSize()), out: netio.NewRingBuffer(conn, conn, netio.MinBuffer),
	}
	if received != nil {
		c.in.Stream = &progressConn{Conn: conn, received: received, deadline: deadline, lastDeadline: deadline.Add(pollTimeout - timeout)}
	}
	c.parser = bufio.NewReaderSize(&c.in, netio.ParserBuffer)
	keep := context.AfterFunc(ctx, func() { netio.CloseConn(conn) })
	result := c.call(t.full, t.revision, hold, time.Until(deadline))
	c.in.Stream = conn // progressConn's time is over
	if result.keep = keep; result.err != nil {
		keep()
		c.close()
	}
	return result
}

// dial connects to discovery, again and again until a deadline while this machine lacks what it takes: where the node polls,
// the next call is seconds away.
func (t callTarget) dial(ctx context.Context, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Timeout: max(t.limits.ConnectTimeout, minConnectTimeout), Deadline: deadline, KeepAlive: -1}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", t.addr)
		if err == nil || !netio.IsResourceExhaustion(err) && !netio.IsUnroutable(err) || time.Now().Add(netio.ErrorPause).After(deadline) {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(netio.ErrorPause):
		}
	}
}

// progressConn is a racer's connection during its first call. An answer that goes on coming in has raceInterval more for
// each raceProgress bytes, up to the time that a call has in any case.
type progressConn struct {
	net.Conn
	received               *atomic.Int64
	deadline, lastDeadline time.Time
	progress               int // bytes since the deadline was last put off
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if c.progress += n; c.progress >= raceProgress && c.deadline.Before(c.lastDeadline) {
		c.deadline, c.progress = c.deadline.Add(raceInterval), c.progress-raceProgress
		if c.deadline.After(c.lastDeadline) {
			c.deadline = c.lastDeadline
		}
		netio.SetReadDeadline(c.Conn, c.deadline)
	}
	return n, err
}

// discoveryConn is one connection to discovery.
type discoveryConn struct {
	conn     net.Conn
	addr     string
	log      *zerolog.Logger
	counters *Counters
	in, out  netio.RingBuffer
	parser   *bufio.Reader // over in
	openedAt time.Time
	calls    int
}

// call asks for what is newer than a revision, or for everything, and waits for so long at most.
func (c *discoveryConn) call(full bool, revision uint64, hold, timeout time.Duration) callResult {
	result := callResult{conn: c}
	c.out.Commit(protocol.AppendDiscoveryCall(c.out.AvailableBuffer(), c.addr, full, revision, hold))
	netio.SetDeadline(c.conn, time.Now().Add(timeout))
	if result.err = c.out.Flush(); result.err != nil {
		return result
	}
	c.in.DeadlineSet = true // the one above
	c.in.Allow(protocol.MaxListBytes)
	c.calls++
	if result.list, result.last, result.err = protocol.ReadEndpointList(c.parser); result.err == nil { // also where its end is the connection's
		return result
	}
	if c.in.Err != nil {
		result.err = c.in.Err
	} else {
		c.counters.MalformedLists.Add(1)
	}
	return result
}

func (c *discoveryConn) close() {
	netio.CloseConn(c.conn)
	netio.LogClose(c.log, netio.SideDiscovery, c.addr, netio.ReasonDiscoveryClosed, c.openedAt, c.calls)
}
