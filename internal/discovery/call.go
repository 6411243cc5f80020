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

// callTarget is the address and first call of a new connection. It has copies of the Client's fields, because Client.Run may
// change them while a goroutine of a connRace uses the callTarget.
type callTarget struct {
	addr     string
	first    protocol.DiscoveryCall
	limits   netio.Limits
	log      *zerolog.Logger
	counters *Counters
}

// callResult is the result of one call.
type callResult struct {
	conn             *connection
	list             protocol.EndpointList
	connectionCloses bool // true if the connection must not carry another call after this response
	err              error
	hasLongTimeout   bool // true if the timeout of the call was callTimeout, false if it was raceTimeout

	// detach keeps the connection open after the end of the call's context. It returns false if the context has ended and
	// the connection is closed. It is set only for the first call of a connection.
	detach func() bool
}

// firstCall opens a connection and makes its first call. The timeout covers both, and the end of ctx cancels both. If received
// is not nil, firstCall adds the number of response bytes to it, and a response that makes progress may take up to
// callTimeout (progressConn).
func (t callTarget) firstCall(ctx context.Context, timeout time.Duration, received *atomic.Int64) callResult {
	deadline := time.Now().Add(timeout)
	netConn, err := t.dial(ctx, deadline)
	if err != nil {
		return callResult{err: err}
	}
	socket := netio.NewSocket(netConn)
	c := &connection{
		conn: netConn, addr: t.addr, log: t.log, counters: t.counters, openedAt: time.Now(),
		readBuffer:  netio.NewRingBuffer(socket, t.limits.BufferSize()),
		writeBuffer: netio.NewRingBuffer(netConn, netio.MinBuffer),
	}
	socket.Hook = &c.news
	if received != nil {
		startedAt := deadline.Add(-timeout)
		c.readBuffer.Stream = &progressConn{
			Socket: socket, conn: netConn, received: received, deadline: deadline, lastDeadline: startedAt.Add(callTimeout),
		}
	}
	c.parser = bufio.NewReaderSize(&c.readBuffer, netio.ParserBuffer)
	detach := context.AfterFunc(ctx, func() { netio.CloseConn(netConn) })
	result := c.call(t.first, time.Until(deadline))
	c.readBuffer.Stream = socket // Later calls have a fixed timeout.
	result.detach = detach
	if result.err != nil {
		detach()
		c.close()
	}
	return result
}

// dial connects to discovery. If this machine has no resources or no route, it retries until the deadline, because in poll
// mode the next call is seconds away.
func (t callTarget) dial(ctx context.Context, deadline time.Time) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: max(t.limits.ConnectTimeout, minConnectTimeout), Deadline: deadline, KeepAlive: -1}
	for {
		netConn, err := dialer.DialContext(ctx, "tcp", t.addr)
		transient := netio.IsResourceExhaustion(err) || netio.IsUnroutable(err)
		if err == nil {
			return netConn.(*net.TCPConn), nil
		}
		if !transient || time.Now().Add(netio.ErrorRetryDelay).After(deadline) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(netio.ErrorRetryDelay):
		}
	}
}

// progressConn is a racer's connection during its first call. For each raceProgress bytes that arrive it extends the read
// deadline by raceInterval, up to lastDeadline.
type progressConn struct {
	*netio.Socket
	conn                   net.Conn
	received               *atomic.Int64 // response bytes of all racers
	deadline, lastDeadline time.Time     // current read deadline and its maximum
	progress               int           // bytes received that have not extended the deadline yet
}

// Read reads from the connection, counts the bytes and extends the deadline.
func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Socket.Read(p)
	c.received.Add(int64(n))
	if c.progress += n; c.progress >= raceProgress && c.deadline.Before(c.lastDeadline) {
		c.progress -= raceProgress
		c.deadline = netio.Earlier(c.deadline.Add(raceInterval), c.lastDeadline)
		netio.SetReadDeadline(c.conn, c.deadline)
	}
	return n, err
}

// connection is one connection to discovery. It belongs to one goroutine.
type connection struct {
	conn                    *net.TCPConn
	news                    newsCheck
	addr                    string
	log                     *zerolog.Logger
	counters                *Counters
	readBuffer, writeBuffer netio.RingBuffer
	parser                  *bufio.Reader // reads from readBuffer
	openedAt                time.Time
	callCount               int // number of calls on the connection
}

// call makes one call and waits for the response until the timeout.
func (c *connection) call(call protocol.DiscoveryCall, timeout time.Duration) callResult {
	result := callResult{conn: c}
	c.writeBuffer.Commit(protocol.AppendDiscoveryCall(c.writeBuffer.AvailableBuffer(), c.addr, call))
	netio.SetDeadline(c.conn, time.Now().Add(timeout))
	if result.err = c.writeBuffer.Flush(); result.err != nil {
		return result
	}
	c.readBuffer.Allow(protocol.MaxListBytes)
	c.callCount++
	result.list, result.connectionCloses, result.err = protocol.ReadEndpointList(c.parser)
	if c.parser.Buffered() > 0 || !c.readBuffer.Empty() { // The next call would take these bytes for its response.
		result.connectionCloses = true
	}
	switch {
	case result.err == nil: // A list is valid even if the connection ended after it.
	case c.readBuffer.Err() != nil:
		result.err = c.readBuffer.Err()
	default:
		c.counters.MalformedLists.Add(1)
	}
	return result
}

// close closes the connection and logs the close.
func (c *connection) close() {
	netio.CloseConn(c.conn)
	netio.LogClose(c.log, netio.SideDiscovery, c.addr, netio.ReasonDiscoveryClosed, c.openedAt, c.callCount)
}
