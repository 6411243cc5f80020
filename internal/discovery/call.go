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

// callTarget is the address and first call of a new connection. A goroutine of a connRace uses it while Client.Run may
// already change the Client's fields, so it is a copy of them.
type callTarget struct {
	addr     string
	first    protocol.DiscoveryCall
	limits   netio.Limits
	log      *zerolog.Logger
	counters *Counters
}

// callResult is the result of one call.
type callResult struct {
	conn    *connection
	list    protocol.EndpointList
	last    bool // discovery closes the connection after this response
	err     error
	patient bool // the call had callTimeout, not raceTimeout

	// detach, of a first call, keeps the connection open beyond the call's context. It returns false if the context has
	// ended and the connection is closed.
	detach func() bool
}

// firstCall opens a connection and makes its first call, within a timeout and until ctx ends. If received is not nil, the
// response's bytes are added to it, and a response that makes progress may take up to callTimeout (progressConn).
func (t callTarget) firstCall(ctx context.Context, timeout time.Duration, received *atomic.Int64) callResult {
	deadline := time.Now().Add(timeout)
	dialled, err := t.dial(ctx, deadline)
	if err != nil {
		return callResult{err: err}
	}
	c := &connection{
		conn: dialled, addr: t.addr, log: t.log, counters: t.counters, openedAt: time.Now(),
		in:  netio.NewRingBuffer(dialled, t.limits.BufferSize()),
		out: netio.NewRingBuffer(dialled, netio.MinBuffer),
	}
	if received != nil {
		startedAt := deadline.Add(-timeout)
		c.in.Stream = &progressConn{
			Conn: dialled, received: received, deadline: deadline, lastDeadline: startedAt.Add(callTimeout),
		}
	}
	c.parser = bufio.NewReaderSize(&c.in, netio.ParserBuffer)
	detach := context.AfterFunc(ctx, func() { netio.CloseConn(dialled) })
	result := c.call(t.first, time.Until(deadline))
	c.in.Stream = dialled // later calls have a fixed timeout
	result.detach = detach
	if result.err != nil {
		detach()
		c.close()
	}
	return result
}

// dial connects to discovery. On resource exhaustion of this machine it retries until the deadline, because in poll mode the
// next call is seconds away.
func (t callTarget) dial(ctx context.Context, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Timeout: max(t.limits.ConnectTimeout, minConnectTimeout), Deadline: deadline, KeepAlive: -1}
	for {
		dialled, err := dialer.DialContext(ctx, "tcp", t.addr)
		transient := netio.IsResourceExhaustion(err) || netio.IsUnroutable(err)
		if !transient || time.Now().Add(netio.ErrorPause).After(deadline) {
			return dialled, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(netio.ErrorPause):
		}
	}
}

// progressConn is a racer's connection during its first call. For each raceProgress bytes that arrive it extends the read
// deadline by raceInterval, up to lastDeadline.
type progressConn struct {
	net.Conn
	received               *atomic.Int64 // bytes of all racers
	deadline, lastDeadline time.Time
	progress               int // bytes since the last extension
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if c.progress += n; c.progress >= raceProgress && c.deadline.Before(c.lastDeadline) {
		c.progress -= raceProgress
		c.deadline = netio.Earlier(c.deadline.Add(raceInterval), c.lastDeadline)
		netio.SetReadDeadline(c.Conn, c.deadline)
	}
	return n, err
}

// connection is one connection to discovery. It belongs to one goroutine.
type connection struct {
	conn     net.Conn
	addr     string
	log      *zerolog.Logger
	counters *Counters
	in, out  netio.RingBuffer
	parser   *bufio.Reader // reads in
	openedAt time.Time
	calls    int
}

// call makes one call and waits for the response, at most for a timeout.
func (c *connection) call(call protocol.DiscoveryCall, timeout time.Duration) callResult {
	result := callResult{conn: c}
	c.out.Commit(protocol.AppendDiscoveryCall(c.out.AvailableBuffer(), c.addr, call))
	netio.SetDeadline(c.conn, time.Now().Add(timeout))
	if result.err = c.out.Flush(); result.err != nil {
		return result
	}
	c.in.Allow(protocol.MaxListBytes)
	c.calls++
	result.list, result.last, result.err = protocol.ReadEndpointList(c.parser)
	switch {
	case result.err == nil: // even if the connection ended with the list
	case c.in.Err() != nil:
		result.err = c.in.Err()
	default:
		c.counters.MalformedLists.Add(1)
	}
	return result
}

func (c *connection) close() {
	netio.CloseConn(c.conn)
	netio.LogClose(c.log, netio.SideDiscovery, c.addr, netio.ReasonDiscoveryClosed, c.openedAt, c.calls)
}
