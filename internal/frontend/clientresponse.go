package frontend

import (
	"errors"
	"net/http"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// responseWriteTimeout is how long after the client's deadline the write of a response may take.
const responseWriteTimeout = time.Second

// responseSlack is how long after the client's deadline the platform still accepts a response.
const responseSlack = 500 * time.Millisecond

// acknowledgementPoll is the time between two checks whether a client's machine has acknowledged a response.
const acknowledgementPoll = 2 * time.Millisecond

// rejectMalformed closes the connection after a request that can't be handled. If err is a *protocol.RequestError and the
// connection is open it answers with that error's status first. It returns false.
func (c *clientConn) rejectMalformed(err error) bool {
	var malformed *protocol.RequestError
	c.server.counters.MalformedRequests.Add(1)
	if c.in.Err() != nil || !errors.As(err, &malformed) {
		c.close(closeReasonFor(c.in.Err(), netio.ReasonClientReset))
		return false
	}
	netio.SetWriteDeadline(c.conn, time.Now().Add(lingerTimeout))
	c.writeResponse(&protocol.ClientResponse{Status: malformed.Status, Close: true})
	return c.linger()
}

// answerHealthCheck answers a health check of the node itself. It returns false once the connection is closed.
func (c *clientConn) answerHealthCheck() bool {
	draining := c.server.draining.Load()
	response := protocol.ClientResponse{Status: http.StatusOK, Close: c.request.Close || draining && c.check.tryCloseWithResponse()}
	if draining || !c.server.router.HasServers() {
		response.Status = http.StatusServiceUnavailable
	}
	netio.SetWriteDeadline(c.conn, time.Now().Add(netio.MessageTimeout)) // that of the last response may have passed
	if !c.writeResponse(&response) {
		c.close(netio.ReasonClientReset)
		return false
	}
	if response.Close {
		c.close(netio.ReasonClientRequestedClose)
	}
	c.check.answered()
	c.markIdle()
	return !response.Close
}

// writeResponse reports whether a response was written completely.
func (c *clientConn) writeResponse(response *protocol.ClientResponse) bool {
	c.out.Allocate(c.server.limits.BufferSize())
	c.out.Commit(protocol.AppendResponseHead(c.out.AvailableBuffer(), response))
	c.out.Append(response.Body)
	return c.out.Flush() == nil
}

// handleRequests takes each request from pending to its response, until serve closes pending.
func (c *clientConn) handleRequests() {
	defer close(c.handled)
	for range c.pending {
		c.handleRequest()
		if !c.responseDue.Load() && (c.readingAhead.Load() || c.overflowed.Load()) {
			netio.SetReadDeadline(c.conn, netio.PastDeadline) // wakes serve from readAhead
		}
		if !c.overflowed.Load() {
			c.check.answered()
			c.markIdle()
		}
		c.handled <- struct{}{}
	}
}

// handleRequest takes the request in flight to its response. If the client disconnected it writes none.
func (c *clientConn) handleRequest() {
	defer c.server.requestIDs.release(c.request.ID)
	response, ok := c.handler.Handle(&c.request, c.receivedAt)
	if !ok {
		return
	}
	c.responseDue.Store(false)
	if late := time.Since(c.receivedAt) - c.request.Timeout; late > responseSlack {
		c.handler.violated(&c.request, faultLateResponse)
	}
	response.Close = c.request.Close || c.overflowed.Load() || c.server.wantsClose() && c.check.tryCloseWithResponse()
	netio.SetWriteDeadline(c.conn, c.receivedAt.Add(c.request.Timeout+responseWriteTimeout))
	switch {
	case !c.writeResponse(&response):
		c.server.counters.ResponsesUnwritten.Add(1)
		c.close(netio.ReasonResponseUnwritten)
	case c.overflowed.Load(): // serve closes it
	case response.Close && c.request.Close:
		c.closeAfterAcknowledgement(netio.ReasonClientRequestedClose)
	case response.Close && c.server.draining.Load():
		c.closeAfterAcknowledgement(netio.ReasonNodeDraining)
	case response.Close:
		c.closeAfterAcknowledgement(netio.ReasonNodeNearLimit)
	}
}

// closeAfterAcknowledgement closes the connection when the client's machine has acknowledged all written bytes, or after
// netio.MessageTimeout, so that a client that reads nothing keeps no slot. If the connection were closed earlier, further
// input of the client would reset it and the rest of the response would be lost.
func (c *clientConn) closeAfterAcknowledgement(reason netio.CloseReason) {
	deadline := time.Now().Add(netio.MessageTimeout)
	for c.writer.HasUnacknowledged() && time.Now().Before(deadline) {
		time.Sleep(acknowledgementPoll)
	}
	c.close(reason)
}
