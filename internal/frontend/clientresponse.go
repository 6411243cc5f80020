package frontend

import (
	"errors"
	"net/http"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// responseTimeout is how long after a request's own time its response may take to be written.
const responseTimeout = time.Second

// answerSlack is how long after a request's own time the platform still takes its answer.
const answerSlack = 500 * time.Millisecond

// acknowledgementPause is the time between two looks whether a client's machine has taken in a response.
const acknowledgementPause = 2 * time.Millisecond

// rejectMalformed answers what is no request that can be handled, and closes. It returns false: no other follows.
func (c *clientConn) rejectMalformed(err error) bool {
	var malformed *protocol.RequestError
	c.server.counters.MalformedRequests.Add(1)
	if c.in.Err != nil || !errors.As(err, &malformed) {
		c.close(closeReasonFor(c.in.Err, netio.ReasonClientReset))
		return false
	}
	netio.SetWriteDeadline(c.conn, time.Now().Add(lingerTimeout))
	c.writeResponse(&protocol.ClientResponse{Status: malformed.Status, Close: true})
	return c.linger()
}

// answerHealthCheck tells whether the node can take requests, and reports whether the connection stays.
func (c *clientConn) answerHealthCheck() bool {
	closes := c.request.Close || c.server.draining.Load() && c.guard.closeWithResponse()
	response := protocol.ClientResponse{Status: http.StatusOK, Close: closes}
	if c.server.draining.Load() || !c.server.router.HasServers() {
		response.Status = http.StatusServiceUnavailable
	}
	netio.SetWriteDeadline(c.conn, time.Now().Add(netio.MessageTimeout)) // the last request's may have passed
	if !c.writeResponse(&response) {
		c.close(netio.ReasonClientReset)
		return false
	}
	if response.Close {
		c.close(netio.ReasonClientRequestedClose)
	}
	c.guard.answered()
	c.markIdle()
	return !response.Close
}

// writeResponse reports whether a response was written whole.
func (c *clientConn) writeResponse(response *protocol.ClientResponse) bool {
	c.out.Allocate(c.server.limits.BufferSize())
	c.out.Appended(protocol.AppendResponseHead(c.out.Space(), response))
	c.out.Write(response.Body)
	return c.out.Flush() == nil
}

// handleRequests takes requests to their responses, one for each that serve hands over, until serve closes pending.
func (c *clientConn) handleRequests() {
	for range c.pending {
		c.handleRequest()
		if !c.responseDue.Load() && (c.readingAhead.Load() || c.overflowed.Load()) {
			netio.SetReadDeadline(c.conn, netio.PastDeadline) // wakes serve: it reads ahead no more
		}
		if !c.overflowed.Load() {
			c.guard.answered()
			c.markIdle()
		}
		c.handled <- struct{}{}
	}
	close(c.handled)
}

// handleRequest takes a request to its response.
func (c *clientConn) handleRequest() {
	defer c.server.requestIDs.release(c.request.ID)
	response, owed := c.handler.Handle(&c.request, c.receivedAt)
	if !owed {
		return
	}
	c.responseDue.Store(false)
	if late := time.Since(c.receivedAt) - c.request.Timeout; late > answerSlack {
		c.handler.violated(&c.request, "answered past its time")
	}
	response.Close = c.request.Close || c.overflowed.Load() || c.server.wantsClose() && c.guard.closeWithResponse()
	netio.SetWriteDeadline(c.conn, c.receivedAt.Add(c.request.Timeout+responseTimeout))
	switch {
	case !c.writeResponse(&response):
		c.server.counters.ResponsesUnwritten.Add(1)
		c.close(netio.ReasonResponseUnwritten)
	case c.overflowed.Load(): // serve closes it
	case response.Close && c.request.Close:
		c.closeOnceTaken(netio.ReasonClientRequestedClose)
	case response.Close && c.server.draining.Load():
		c.closeOnceTaken(netio.ReasonNodeDraining)
	case response.Close:
		c.closeOnceTaken(netio.ReasonNodeNearLimit)
	}
}

// closeOnceTaken closes the connection once the client's machine has taken in all that was written, or netio.MessageTimeout
// later: who takes nothing in must hold no slot. Closed before, the connection would be reset by whatever else the client
// sends, and the rest of the response would go with it.
func (c *clientConn) closeOnceTaken(reason netio.CloseReason) {
	deadline := time.Now().Add(netio.MessageTimeout)
	for c.writer.HasUnacknowledged() && time.Now().Before(deadline) {
		time.Sleep(acknowledgementPause)
	}
	c.close(reason)
}
