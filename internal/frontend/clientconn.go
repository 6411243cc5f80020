package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// clientConn is one HTTP connection of a client. Two goroutines work on it:
//   - serve, which the Server starts, reads the connection throughout, and so detects a client that disconnects while its
//     request is in flight. It ends with the connection.
//   - handleInFlight, which each request starts, processes the request and writes its response. Connections without a request in
//     flight don't have its stack.
//
// The channel handled passes the request back to serve. The comments on the fields say which goroutine uses them; both use the
// atomic fields and the channel. Any goroutine may call close,
// tryEnd, evictionRank, expectsFirstRequest and the methods of check.
type clientConn struct {
	server     *Server
	conn       *net.TCPConn
	acceptedAt time.Time
	check      closeCheck
	evicted    bool // set if the server closed the connection to free its slot; guarded by Server.mu

	// Only serve uses these fields.
	reader        *netio.Socket // source of readBuffer
	readBuffer    netio.RingBuffer
	body          []byte             // body buffer that requests reuse
	setupTime     time.Duration      // time that the accept and newClientConn took
	accounted     cpubudget.Cost     // part of cost that was charged or waived
	reserved      time.Duration      // processor time that was charged in advance as the connection was accepted
	arrivals      netio.ArrivalTimes // arrival times of the bytes in readBuffer
	receiveAge    time.Duration      // time for which the next request was in the kernel; 0 if earlier bytes were read before it
	queuedSince   time.Time          // start of the wait for a slot; zero without a wait and after the first request
	pipelinedNext bool               // set if the next request's first byte was read before the response to the last one
	handedOver    bool               // set while handleInFlight owns the request
	requestFrom   int                // number of bytes filled into readBuffer before the request that is being read
	parsingSince  time.Time          // time since which a request is parsed; zero while none is, and during waits
	parseTime     time.Duration      // time for which requests were parsed
	reservedParse time.Duration      // processor time that was charged in advance for parsing; 0 if none was
	plainSize     int                // number of bytes of the request that are parsed without a turn

	// The goroutine that owns the request uses these fields.
	writer         *netio.Socket // destination of writeBuffer
	writeBuffer    netio.RingBuffer
	handler        *RequestHandler // nil before the first request; serve may call its ClientGone at any time
	request        protocol.Request
	receivedAt     time.Time // arrival time of the request's first byte
	completeAt     time.Time // time at which the whole request was read
	requestCount   int       // number of requests handed over
	idle           bool      // set while the connection has had a response and sends nothing
	unforwardedRun int       // number of responses in a row without an app server to a client that did not pause
	pipelinedRun   int       // number of those in a row whose requests were pipelined
	unforwarded    bool      // set if the last response was made without an app server

	sharedHandler atomic.Pointer[RequestHandler] // handler, for other goroutines

	upload   membudget.Account // memory of a large request
	inFlight membudget.Account // memory of a request in flight, without its message
	writing  atomic.Bool       // set while a response is written or not acknowledged
	writeAt  atomic.Int64      // time at which the last response began to be written, in nanoseconds after acceptedAt
	aborted  atomic.Bool       // set once the server gave up the response that is written

	handled chan struct{} // signals that the request was handled; nil before the first request

	responseDue  atomic.Bool  // set from the hand-over of a request until its response is known
	served       atomic.Bool  // set once a response of an app server was passed on
	hasRequested atomic.Bool  // set once a complete request was read; cleared by linger
	readingAhead atomic.Bool  // set while serve reads pipelined bytes during a request
	overflowed   atomic.Bool  // set if input is discarded, as pipelined bytes that overflow the buffer are; the next response is then the last
	idleSince    atomic.Int64 // start of the idle period, in nanoseconds after acceptedAt

	forwarded     atomic.Bool  // set once a request was forwarded; the connection's close is then no overhead
	reservedClose atomic.Int64 // processor time in nanoseconds that was charged for the close of a rejected connection; 0 if none was

	closeOnce sync.Once // guards reason
	reason    netio.CloseReason
	ended     chan struct{} // closed by close
}

func newClientConn(server *Server, conn *net.TCPConn) *clientConn {
	c := &clientConn{server: server, conn: conn, acceptedAt: time.Now(), ended: make(chan struct{})}
	c.reader, c.writer = netio.NewSocket(conn), netio.NewSocket(conn)
	c.reader.Hook = &c.check
	c.readBuffer, c.writeBuffer = netio.NewMessageBuffer(conn, requestStream{c}, &c.arrivals), netio.NewMessageBuffer(conn, c.writer, nil)
	c.upload.Open(server.memory, membudget.Upload)
	c.inFlight.Open(server.memory, membudget.InFlight)
	c.readBuffer.SetMessageDeadline(c.acceptedAt.Add(netio.MessageTimeout))
	return c
}

// startHandler creates the parts of a connection that requests need. Connections without a request have none of these
// parts, and no buffers before their first byte. Many silent connections therefore take little memory.
func (c *clientConn) startHandler() {
	c.handled = make(chan struct{}, 1)
	c.handler = c.server.NewRequestHandler(c.hasClientClosed)
	c.sharedHandler.Store(c.handler)
}

// serve reads one request after another and hands each over, until the connection is closed.
func (c *clientConn) serve() {
	c.markIdle()
	for c.serveNext() {
	}
	if c.handler != nil {
		c.handler.Release()
	}
	c.upload.Release()
	c.inFlight.Release()
	c.setIdle(false)
	c.chargeConnection()
	if c.overflowed.Load() {
		c.server.discarding.Add(-1)
	}
	c.server.remove(c)
	netio.LogClose(c.server.log, netio.SideClient, c.conn.RemoteAddr().String(), c.reason, c.acceptedAt, c.requestCount)
}

// markIdle records that the connection is idle from now on. At the connection limit the server may evict it.
func (c *clientConn) markIdle() {
	c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	c.setIdle(c.hasRequested.Load())
	if c.server.atLimit.Load() {
		c.server.evictIdle(c)
	}
}

// setIdle records whether the connection has had a response and sends nothing. The goroutine that owns the request calls it.
func (c *clientConn) setIdle(idle bool) {
	if idle == c.idle {
		return
	}
	c.idle = idle
	if idle {
		c.server.idle.Add(1)
	} else {
		c.server.idle.Add(-1)
	}
}

// idleSinceTime returns when the connection became idle.
func (c *clientConn) idleSinceTime() time.Time {
	return c.acceptedAt.Add(time.Duration(c.idleSince.Load()))
}

// serveNext waits for the next request, reads it and hands it over. It also waits while a request is in flight, and so
// detects a client that disconnects. It returns false once the connection is closed.
func (c *clientConn) serveNext() bool {
	c.pipelinedNext = !c.readBuffer.Empty()
	input, readAt := inputState{err: c.awaitInput()}, time.Now()
	if c.handedOver {
		input = c.awaitResponse(input.err)
		if c.overflowed.Load() && (input.err == nil || netio.TimedOut(input.err)) {
			return c.linger(netio.ReasonClientMalformed)
		}
	}
	if input.err != nil {
		return c.closeEnded(input)
	}
	if c.hasLongHead() && (c.hasLeft() || !c.awaitTurn()) { // its parsing costs much
		return c.closeEnded(inputState{err: io.EOF})
	}
	c.setIdle(false)
	c.paceUnforwarded(readAt)
	c.receivedAt = c.arrivalTime(readAt)
	return c.dispatchRequest(c.readRequest())
}

// arrivalTime returns the time at which the next request's first byte arrived. That time precedes waits of the connection
// in the kernel or for a slot, and waits of the request behind others. readAt is the time at which the node saw the byte.
func (c *clientConn) arrivalTime(readAt time.Time) time.Time {
	if !c.pipelinedNext {
		c.arrivals.Backdate(c.receiveAge)
	}
	arrivedAt := readAt
	if recorded := c.arrivals.At(c.readBuffer.Taken()); !recorded.IsZero() {
		arrivedAt = recorded
	}
	if !c.queuedSince.IsZero() {
		arrivedAt, c.queuedSince = netio.Earlier(arrivedAt, c.queuedSince), time.Time{}
	}
	return arrivedAt
}

// dispatchRequest answers a request or hands it over. It rejects the request if readErr, the error of reading it, is not nil.
// It returns false once the connection is closed.
func (c *clientConn) dispatchRequest(readErr error) bool {
	if cap(c.request.Body) > 0 { // reading the body may have allocated a larger buffer
		c.body = netio.TrimBuffer(c.request.Body)
	}
	err := readErr
	if err == nil {
		err = c.checkRequest()
	}
	switch {
	case errors.Is(err, netio.ErrReadAheadStopped):
		c.closeUnread()
		return false
	case err != nil:
		return c.rejectRequest(err)
	}
	c.completeAt = time.Now()
	c.hasRequested.Store(true)
	c.check.requestRead(c.readBuffer.Buffered())
	switch {
	case c.request.IsNodeHealthCheck():
		return c.answerHealthCheck()
	case !c.inFlight.Grow(requestMemory, time.Now().Add(memoryWait)):
		return c.answerOverMemory()
	}
	return c.handOver()
}

// readRequest reads a request whose first byte has arrived.
func (c *clientConn) readRequest() error {
	parser := netio.BorrowParser(&c.readBuffer)
	defer netio.ReturnParser(parser)
	c.requestFrom = c.readBuffer.Filled() - c.readBuffer.Buffered()
	c.startParsing()
	defer c.settleTurn()
	defer c.stopParsing()
	err := protocol.ReadRequest(parser, c, &c.request, c.body)
	c.readBuffer.EndMessage(parser)
	return err
}

// checkRequest checks a well-formed request against the settings and claims its id. For an invalid request it returns a
// *protocol.RequestError. A health check of the node passes unchecked and has no id.
func (c *clientConn) checkRequest() error {
	switch router := c.server.router; {
	case c.request.IsNodeHealthCheck():
		return nil
	case !router.KnowsClassAndPlan(&c.request):
		return &protocol.RequestError{Status: http.StatusNotFound, Reason: "unknown class or plan"}
	case !router.WithinLimits(&c.request):
		return &protocol.RequestError{Status: http.StatusBadRequest, Reason: "units or node set outside the limits of the settings"}
	}
	switch c.server.requestIDs.claim(c.request.ID) {
	case IDKnown:
		return &protocol.RequestError{Status: http.StatusConflict, Reason: "request id is in flight or was forwarded recently"}
	case IDsFull:
		return protocol.ErrOverMemory
	}
	return nil
}

// handOver passes the request to handleInFlight and returns true. If the client has already disconnected, or sends so much behind the
// request that this is unknown, it closes the connection instead and returns false.
func (c *clientConn) handOver() bool {
	input := c.drainInput()
	if input == inputEndless {
		c.server.requestIDs.release(c.request.ID, false)
		return c.rejectRequest(errTooMuchInput)
	}
	if input == inputEnded {
		c.server.counters.Requests.Add(1)
		c.server.counters.ClientsGone.Add(1)
		c.server.requestIDs.release(c.request.ID, false)
		c.releaseRequest()
		return c.closeEnded(inputState{err: c.readBuffer.Err(), clientDisconnected: true})
	}
	if c.handler == nil {
		c.startHandler()
	}
	c.handler.Begin()
	c.requestCount++
	c.handedOver = true
	c.responseDue.Store(true)
	go c.handleInFlight() // ends with the request; serve waits for it
	return true
}

// hasClientClosed reports whether the client has closed its connection. It does not read, so handleInFlight may call it while
// serve reads.
func (c *clientConn) hasClientClosed() bool { return c.writer.HungUp() }

// The methods below implement protocol.Source. ReadRequest reads the connection's requests through them and readBuffer.

// Allow sets the number of bytes that may be read from now on.
func (c *clientConn) Allow(bytes int) {
	c.readBuffer.Allow(bytes)
	c.plainSize = maxPlainRequest
	if bytes <= protocol.MaxHead && !c.served.Load() { // a head is read
		c.plainSize = longHead
	}
}

// Continue answers "Expect: 100-continue" with an interim response.
func (c *clientConn) Continue() error {
	netio.SetWriteDeadline(c.conn, time.Now().Add(netio.MessageTimeout))
	c.writeBuffer.Allocate(c.server.limits.BufferSize())
	defer c.writeBuffer.Free()
	c.writeBuffer.Append([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return c.writeBuffer.Flush()
}
