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

// lingerTimeout is how long a client that is refused has to read the response, before its connection is closed.
const lingerTimeout = 250 * time.Millisecond

// clientConn is one HTTP connection of a client. Two goroutines work on it. serve, started by the Server, reads it
// throughout, so that a client that disconnects is noticed while its request waits; it ends with the connection.
// handleRequests, started with the first request, takes requests to their responses; it ends once serve closes pending.
//
// They take turns: pending and handled pass the request over and back. A field that is not atomic belongs to whose turn
// it is, but for in and reader, which stay with serve.
type clientConn struct {
	server  *Server
	conn    *net.TCPConn
	reader  *netio.Socket // under in
	writer  *netio.Socket // under out
	in, out netio.RingBuffer
	guard   closeGuard // of what was read

	handler     *RequestHandler // nil before the first request
	request     protocol.Request
	lengthLines protocol.ContentLengthScanner // of the head being read
	body        []byte                        // kept from request to request
	receivedAt  time.Time                     // when the request's first byte was read
	arrivals    netio.ArrivalMarks            // of the bytes in the ring
	acceptedAt  time.Time
	waitedSince time.Time // it waited for a slot since, and its first request with it; zero: it did not
	requests    int       // so far
	handedOver  bool      // handleRequests has the request
	evicted     bool      // to make room; guarded by Server.mu

	pending chan struct{} // a request is to be handled
	handled chan struct{} // it was

	responseDue  atomic.Bool  // a request is open
	hasRequested atomic.Bool  // a whole request was read
	readingAhead atomic.Bool  // the request waits, and serve reads what the client sent behind it
	overflowed   atomic.Bool  // that was more than the buffer holds: the response is the connection's last
	idleSince    atomic.Int64 // time since acceptedAt, in nanoseconds

	closeOnce sync.Once // guards reason
	reason    netio.CloseReason
}

func newClientConn(server *Server, conn *net.TCPConn) *clientConn {
	c := &clientConn{server: server, conn: conn, acceptedAt: time.Now(), reader: netio.NewSocket(conn), writer: netio.NewSocket(conn)}
	c.reader.Guard = &c.guard
	c.in, c.out = netio.RingBuffer{Conn: conn, Stream: c.reader, Arrivals: &c.arrivals}, netio.RingBuffer{Conn: conn, Stream: c.writer}
	_ = conn.SetKeepAlive(false)                                        // fails for a closed connection only
	netio.SetReadDeadline(conn, c.acceptedAt.Add(netio.MessageTimeout)) // who sends nothing, or never all of it, is closed
	c.in.DeadlineSet = true
	return c
}

// startHandler makes what requests need. Before the first a connection has none of it, and no buffers before its first
// byte, so that crowds of connections that send nothing cost next to nothing.
func (c *clientConn) startHandler() {
	c.pending, c.handled = make(chan struct{}, 1), make(chan struct{}, 1)
	c.handler = c.server.NewRequestHandler(c.peerClosed)
	go c.handleRequests()
}

// close closes the connection; the first reason stays.
func (c *clientConn) close(reason netio.CloseReason) {
	c.closeOnce.Do(func() {
		c.reason = reason
		if reason.IsNodesChoice() && !c.guard.is(phaseClosed) {
			invariant.Violated(&c.server.counters.CloseViolations, c.server.log, invariant.Closing).Str("reason", string(reason)).
				Stringer("peer", c.conn.RemoteAddr()).Int("requests", c.requests).Msg(invariant.ViolatedMessage)
		}
		netio.CloseConn(c.conn)
	})
}

// serve reads one request after another and hands them over, until the connection is closed.
func (c *clientConn) serve() {
	c.markIdle()
	c.reader.WaitReadable()
	c.in.Allocate(c.server.limits.BufferSize())
	for c.serveNext() {
	}
	if c.handler != nil {
		close(c.pending)
		<-c.handled // closed as handleRequests returns
		c.handler.Release()
	}
	c.server.remove(c)
	netio.LogClose(c.server.log, netio.SideClient, c.conn.RemoteAddr().String(), c.reason, c.acceptedAt, c.requests)
}

// markIdle notes since when the connection is idle: it may be closed to make room.
func (c *clientConn) markIdle() {
	c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	if c.server.atLimit.Load() {
		c.server.evict()
	}
}

// idleSinceTime is when the connection became idle.
func (c *clientConn) idleSinceTime() time.Time {
	return c.acceptedAt.Add(time.Duration(c.idleSince.Load()))
}

// evictable reports whether the connection may be closed to make room. Half of a first request holds no slot.
func (c *clientConn) evictable() bool { return c.guard.mayClose(!c.hasRequested.Load()) }

// mustStayOpen reports whether bytes of either side would be lost by a close: a request that waits unread, or a response
// that the client has not taken in yet.
func (c *clientConn) mustStayOpen() bool {
	return netio.HasUnread(c.conn) || c.writer.HasUnacknowledged()
}

// serveNext waits for the next request, reads it and hands it over, and reports whether there may be another. While a
// request is being handled it waits too, and so notices a client that disconnects.
func (c *clientConn) serveNext() bool {
	err, receivedAt, abandoned := c.in.Wait(), time.Now(), false
	if c.handedOver {
		abandoned, err = c.awaitResponse(err)
		if c.overflowed.Load() && (err == nil || netio.TimedOut(err)) {
			return c.linger()
		}
	}
	if !c.hasRequested.Load() && err == nil { // the client's time ran while its connection waited to be accepted
		c.arrivals.PutBack(c.reader.KernelWait())
	}
	if arrivedAt := c.arrivals.Of(c.in.Taken); !arrivedAt.IsZero() { // and its request behind others
		receivedAt = arrivedAt
	}
	if !c.waitedSince.IsZero() { // or for a slot
		receivedAt, c.waitedSince = netio.Earlier(receivedAt, c.waitedSince), time.Time{}
	}
	if err != nil {
		reason := netio.ReasonClientClosed
		if abandoned {
			reason = netio.ReasonClientDisconnected
		}
		c.close(closeReasonFor(err, reason))
		return false
	}
	c.receivedAt = receivedAt
	return c.takeRequest(c.readRequest())
}

// takeRequest answers or hands over a request that was read, or refuses it where err says that it could not be. It
// reports whether there may be another.
func (c *clientConn) takeRequest(err error) bool {
	if cap(c.request.Body) > 0 {
		c.body = netio.TrimBuffer(c.request.Body)
	}
	if err == nil {
		err = c.checkRequest()
	}
	if err != nil {
		return c.rejectMalformed(err)
	}
	c.hasRequested.Store(true)
	c.guard.requestRead(!c.in.Empty())
	if c.request.ForNode() {
		return c.answerHealthCheck()
	}
	return c.handOver()
}

// awaitResponse waits until the request that was handed over is handled, reading ahead meanwhile unless err says that
// the connection has ended. It returns whether the client disconnected before its response, and the connection's end.
func (c *clientConn) awaitResponse(err error) (abandoned bool, _ error) {
	if err == nil {
		err = c.readAhead()
	}
	abandoned = err != nil && c.responseDue.Load()
	if abandoned {
		c.handler.ClientGone()
	}
	<-c.handled
	c.handedOver = false
	if c.readingAhead.CompareAndSwap(true, false) {
		netio.SetReadDeadline(c.conn, time.Time{}) // handleRequests may have let it pass
	}
	return abandoned, err
}

// readRequest reads the request that has begun to arrive.
func (c *clientConn) readRequest() error {
	parser := netio.BorrowParser(c)
	c.lengthLines = protocol.ContentLengthScanner{}
	err := protocol.ReadRequest(parser, c, &c.request, c.body)
	c.in.EndMessage(parser)
	netio.ReturnParser(parser)
	return err
}

// checkRequest returns what a request that was read well is refused for, as a *protocol.RequestError. It claims the
// request's id.
func (c *clientConn) checkRequest() error {
	switch router := c.server.router; {
	case c.request.ForNode():
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

// handOver passes the request to handleRequests, unless it lay unread until its client had gone: then it runs for nobody.
func (c *clientConn) handOver() bool {
	if c.disconnected() {
		c.server.counters.Requests.Add(1)
		c.server.counters.ClientsGone.Add(1)
		c.server.requestIDs.release(c.request.ID)
		c.close(closeReasonFor(c.in.Err, netio.ReasonClientDisconnected))
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

// disconnected reports whether the client has closed its connection by now, be it behind further bytes.
func (c *clientConn) disconnected() bool {
	for c.in.Err == nil && c.reader.HasInput() {
		c.makeSpace()
		_ = c.in.ReadMore() // which stays in c.in.Err
	}
	return c.in.Err != nil
}

// peerClosed reports the same while serve reads, by a look that takes nothing.
func (c *clientConn) peerClosed() bool { return c.writer.HungUp() }

// readAhead reads what a client sends while its request waits, as its close shows only behind that. It returns once the
// request waits no more, with the connection's end if that came first. It guards against requests that are forwarded
// for clients which sent more than one request and disconnected.
func (c *clientConn) readAhead() error {
	c.readingAhead.Store(true) // handleRequests wakes it
	for c.responseDue.Load() {
		c.makeSpace()
		if err := c.in.ReadMore(); err != nil {
			return err
		}
	}
	return nil
}

// makeSpace lets the client send more. What it has sent behind its request waits for its turn as far as the buffer
// holds it; past that nothing of it is a request any more, and the connection ends with its response.
func (c *clientConn) makeSpace() {
	if c.in.Full() {
		c.overflowed.Store(true)
		c.in.Discard()
	}
}

// linger lets a client whose connection ends read its response: bytes that nobody reads would reset the connection.
func (c *clientConn) linger() bool {
	netio.SetReadDeadline(c.conn, time.Now().Add(lingerTimeout))
	_ = c.conn.CloseWrite()     // fails for a connection that has ended already, as the copy does then
	c.hasRequested.Store(false) // from here on it may be closed for others
	c.guard.linger()
	_, _ = io.Copy(io.Discard, c.conn) // until the client closes, or its time is over
	c.close(netio.ReasonClientMalformed)
	return false
}

// Read, Allow, ContentLengthLines and Continue make it the protocol.Source that a request is read from.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	c.lengthLines.Scan(p[:n])
	return n, err
}

// Allow sets how many bytes may be read from now on.
func (c *clientConn) Allow(bytes int) { c.in.Allow(bytes) }

// ContentLengthLines is how many Content-Length lines the head had.
func (c *clientConn) ContentLengthLines() int { return c.lengthLines.Count() }

// Continue tells the client to send its body.
func (c *clientConn) Continue() error {
	netio.SetWriteDeadline(c.conn, time.Now().Add(netio.MessageTimeout))
	c.out.Allocate(c.server.limits.BufferSize())
	c.out.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return c.out.Flush()
}

// closeReasonFor is why a connection whose read returned err is closed; closed is the reason for a plain end.
func closeReasonFor(err error, closed netio.CloseReason) netio.CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return closed
	case netio.TimedOut(err):
		return netio.ReasonClientTimeout
	}
	return netio.ReasonClientReset
}
