package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/invariant"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// lingerTimeout is how long the node waits for a client to read its last response before it closes the connection.
const lingerTimeout = 250 * time.Millisecond

// clientConn is one HTTP connection of a client. Two goroutines work on it:
//   - serve, which the Server starts, reads the connection throughout, so that it notices a client that disconnects while
//     its request is in flight. It ends with the connection.
//   - handleRequests, which the first request starts, takes requests to their responses. It ends when serve closes pending.
//
// pending passes a request to handleRequests and handled passes it back. The fields below say to which goroutine they belong;
// atomic fields and channels belong to both. Any goroutine may call close, evictable, mayStillSend, mustStayOpen and the
// methods of check.
type clientConn struct {
	server     *Server
	conn       *net.TCPConn
	acceptedAt time.Time
	check      closeCheck
	evicted    bool // closed to free a slot; guarded by Server.mu

	// Fields of serve.
	reader      *netio.Socket // in reads from it
	in          netio.RingBuffer
	lengthLines protocol.ContentLengthScanner // of the head being read
	body        []byte                        // buffer of the request's body, reused for the next
	arrivals    netio.ArrivalTimes            // of the bytes in the ring buffer
	queuedSince time.Time                     // when the connection began to wait for a slot; zero if it did not, or its first request is read
	handedOver  bool                          // handleRequests has the request

	// Fields that pass with the request.
	writer     *netio.Socket // out writes to it
	out        netio.RingBuffer
	handler    *RequestHandler // nil before the first request; serve may call its ClientGone at any time
	request    protocol.Request
	receivedAt time.Time // when the request's first byte arrived
	requests   int       // requests handed over

	pending chan struct{} // has an element if a request is to be handled; closed by serve
	handled chan struct{} // has an element if the request was handled; closed by handleRequests

	responseDue  atomic.Bool  // a request has no response yet
	hasRequested atomic.Bool  // a complete request was read
	readingAhead atomic.Bool  // serve reads pipelined bytes while a request is in flight
	overflowed   atomic.Bool  // the pipelined bytes did not fit the buffer: the response is the connection's last
	idleSince    atomic.Int64 // nanoseconds since acceptedAt

	closeOnce sync.Once // guards reason
	reason    netio.CloseReason
}

func newClientConn(server *Server, conn *net.TCPConn) *clientConn {
	c := &clientConn{server: server, conn: conn, acceptedAt: time.Now(), reader: netio.NewSocket(conn), writer: netio.NewSocket(conn)}
	c.reader.Hook = &c.check
	c.in, c.out = netio.NewMessageBuffer(conn, c.reader, &c.arrivals), netio.NewMessageBuffer(conn, c.writer, nil)
	_ = conn.SetKeepAlive(false) // fails for a closed connection only
	c.in.SetMessageDeadline(c.acceptedAt.Add(netio.MessageTimeout))
	return c
}

// startHandler makes the parts of a connection that requests need. Connections without a request have none of them, and no
// buffers before their first byte, so a crowd of silent connections takes little memory.
func (c *clientConn) startHandler() {
	c.pending, c.handled = make(chan struct{}, 1), make(chan struct{}, 1)
	c.handler = c.server.NewRequestHandler(c.peerClosed)
	go c.handleRequests()
}

// close closes the connection. The first call sets the reason. Any goroutine may call it.
func (c *clientConn) close(reason netio.CloseReason) {
	c.closeOnce.Do(func() {
		c.reason = reason
		if reason.IsNodesChoice() && !c.check.is(phaseClosed) {
			invariant.Violated(&c.server.counters.CloseViolations, c.server.log, invariant.Closing).Str("reason", string(reason)).
				Stringer("peer", c.conn.RemoteAddr()).Int("requests", c.requests).Msg(invariant.ViolatedMessage)
		}
		netio.CloseConn(c.conn)
	})
}

// serve reads one request after another and hands each over, until the connection is closed.
func (c *clientConn) serve() {
	c.markIdle()
	c.reader.WaitReadable()
	c.in.Allocate(c.server.limits.BufferSize())
	for c.serveNext() {
	}
	if c.handler != nil {
		close(c.pending)
		<-c.handled // closed at the end of handleRequests
		c.handler.Release()
	}
	c.server.remove(c)
	netio.LogClose(c.server.log, netio.SideClient, c.conn.RemoteAddr().String(), c.reason, c.acceptedAt, c.requests)
}

// markIdle notes that the connection is idle from now on, and may be evicted.
func (c *clientConn) markIdle() {
	c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	if c.server.atLimit.Load() {
		c.server.evict()
	}
}

// idleSinceTime returns when the connection became idle.
func (c *clientConn) idleSinceTime() time.Time {
	return c.acceptedAt.Add(time.Duration(c.idleSince.Load()))
}

// mustStayOpen reports whether a close would lose bytes: pending input, or a response that is not acknowledged yet.
func (c *clientConn) mustStayOpen() bool {
	return netio.HasPendingInput(c.conn) || c.writer.HasUnacknowledged()
}

// serveNext waits for the next request, reads it and hands it over. It waits also while a request is in flight, and so
// notices a client that disconnects. It returns false once the connection is closed.
func (c *clientConn) serveNext() bool {
	end, readAt := inputEnd{err: c.in.Wait()}, time.Now()
	if c.handedOver {
		end = c.awaitResponse(end.err)
		if c.overflowed.Load() && (end.err == nil || netio.TimedOut(end.err)) {
			return c.linger()
		}
	}
	if end.err != nil {
		reason := netio.ReasonClientClosed
		if end.clientGone {
			reason = netio.ReasonClientDisconnected
		}
		c.close(closeReasonFor(end.err, reason))
		return false
	}
	c.receivedAt = c.arrivalTime(readAt)
	return c.takeRequest(c.readRequest())
}

// arrivalTime returns when the next request's first byte arrived. It is before any wait of the connection in the kernel or
// for a slot, and before any wait of the request behind others. readAt is when the node noticed the byte.
func (c *clientConn) arrivalTime(readAt time.Time) time.Time {
	if !c.hasRequested.Load() {
		c.arrivals.Backdate(c.reader.ReceiveAge())
	}
	arrivedAt := readAt
	if recorded := c.arrivals.At(c.in.Taken()); !recorded.IsZero() {
		arrivedAt = recorded
	}
	if !c.queuedSince.IsZero() {
		arrivedAt, c.queuedSince = netio.Earlier(arrivedAt, c.queuedSince), time.Time{}
	}
	return arrivedAt
}

// takeRequest answers a request or hands it over. readErr is why it could not be read; it is then rejected. It returns
// false once the connection is closed.
func (c *clientConn) takeRequest(readErr error) bool {
	if cap(c.request.Body) > 0 { // reading the body may have allocated a larger buffer
		c.body = netio.TrimBuffer(c.request.Body)
	}
	err := readErr
	if err == nil {
		err = c.checkRequest()
	}
	if err != nil {
		return c.rejectMalformed(err)
	}
	c.hasRequested.Store(true)
	c.check.requestRead(c.in.Buffered())
	if c.request.IsNodeHealthCheck() {
		return c.answerHealthCheck()
	}
	return c.handOver()
}

// inputEnd is the state of a connection's input after a read.
type inputEnd struct {
	err        error // the read error; nil: the input has not ended
	clientGone bool  // the input ended before the request in flight had its response
}

// awaitResponse waits until the request in flight is handled. It reads ahead meanwhile, unless the connection has ended with
// err.
func (c *clientConn) awaitResponse(err error) inputEnd {
	if err == nil {
		err = c.readAhead()
	}
	end := inputEnd{err: err, clientGone: err != nil && c.responseDue.Load()}
	if end.clientGone {
		c.handler.ClientGone()
	}
	<-c.handled
	c.handedOver = false
	if c.readingAhead.CompareAndSwap(true, false) {
		netio.SetReadDeadline(c.conn, time.Time{}) // undoes the wake-up by handleRequests
	}
	return end
}

// readRequest reads the request that has begun to arrive.
func (c *clientConn) readRequest() error {
	parser := netio.BorrowParser(c)
	defer netio.ReturnParser(parser)
	c.lengthLines = protocol.ContentLengthScanner{}
	err := protocol.ReadRequest(parser, c, &c.request, c.body)
	c.in.EndMessage(parser)
	return err
}

// checkRequest claims the id of a well-formed request. It returns a *protocol.RequestError if the request is rejected.
func (c *clientConn) checkRequest() error {
	switch router := c.server.router; {
	case c.request.IsNodeHealthCheck():
		return nil
	case !router.KnowsClassAndPlan(&c.request):
		return &protocol.RequestError{Status: http.StatusNotFound, Reason: "unknown class or plan"}
	case !router.WithinLimits(&c.request):
		return &protocol.RequestError{Status: http.StatusBadRequest, Reason: "figures outside the settings"}
	case !c.server.requestIDs.claim(c.request.ID):
		return &protocol.RequestError{Status: http.StatusConflict, Reason: "id of another request"}
	}
	return nil
}

// handOver passes the request to handleRequests. If the client disconnected before the request was read it closes the
// connection instead and returns false.
func (c *clientConn) handOver() bool {
	if c.disconnected() {
		c.server.counters.Requests.Add(1)
		c.server.counters.ClientsGone.Add(1)
		c.server.requestIDs.release(c.request.ID)
		c.close(closeReasonFor(c.in.Err(), netio.ReasonClientDisconnected))
		return false
	}
	if c.handler == nil {
		c.startHandler()
	}
	c.handler.Begin()
	c.requests++
	c.handedOver = true
	c.responseDue.Store(true)
	c.pending <- struct{}{}
	return true
}

// disconnected reads the pending input and reports whether the client has closed its connection behind it.
func (c *clientConn) disconnected() bool {
	for c.in.Err() == nil && c.reader.HasInput() {
		c.makeSpace()
		_ = c.in.ReadMore() // stays in c.in.Err()
	}
	return c.in.Err() != nil
}

// peerClosed reports whether the client has closed its connection, without reading. handleRequests may call it while serve
// reads.
func (c *clientConn) peerClosed() bool { return c.writer.HungUp() }

// readAhead reads pipelined bytes until the request in flight has its response, or the connection ends. Otherwise a close
// behind pipelined bytes would go unnoticed and the node would send requests for a client that has disconnected.
func (c *clientConn) readAhead() error {
	c.readingAhead.Store(true) // handleRequests wakes the read below
	for c.responseDue.Load() {
		c.makeSpace()
		if err := c.in.ReadMore(); err != nil {
			return err
		}
	}
	return nil
}

// makeSpace makes space in a full buffer. It drops the pipelined requests, so the response in flight is the last one.
func (c *clientConn) makeSpace() {
	if c.in.Full() {
		c.overflowed.Store(true)
		c.in.Discard()
	}
}

// linger discards input until the client closes or lingerTimeout has passed, and closes the connection. A close with unread
// input would reset the connection, and the client might lose its last response. It returns false.
func (c *clientConn) linger() bool {
	netio.SetReadDeadline(c.conn, time.Now().Add(lingerTimeout))
	_ = c.conn.CloseWrite()     // fails for a closed connection, as the copy below does
	c.hasRequested.Store(false) // the connection may be evicted first
	c.check.linger()
	_, _ = io.Copy(io.Discard, c.conn)
	c.close(netio.ReasonClientMalformed)
	return false
}

// clientConn is the protocol.Source that its requests are read from.

// Read reads from the ring buffer.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	c.lengthLines.Scan(p[:n])
	return n, err
}

// Allow sets how many bytes may be read from now on.
func (c *clientConn) Allow(bytes int) { c.in.Allow(bytes) }

// ContentLengthLines returns the number of Content-Length lines in the head.
func (c *clientConn) ContentLengthLines() int { return c.lengthLines.Count() }

// Continue answers "Expect: 100-continue".
func (c *clientConn) Continue() error {
	netio.SetWriteDeadline(c.conn, time.Now().Add(netio.MessageTimeout))
	c.out.Allocate(c.server.limits.BufferSize())
	c.out.Append([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return c.out.Flush()
}

// closeReasonFor returns the reason of a connection whose read failed with err; atEOF is the reason for io.EOF.
func closeReasonFor(err error, atEOF netio.CloseReason) netio.CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return atEOF
	case netio.TimedOut(err):
		return netio.ReasonClientTimeout
	}
	return netio.ReasonClientReset
}
