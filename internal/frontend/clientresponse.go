package frontend

import (
	"errors"
	"net/http"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// responseWriteTimeout is the time after the client's deadline for which the write of a response may continue.
const responseWriteTimeout = time.Second

// responseSlack is the time after the client's deadline for which the platform still accepts a response.
const responseSlack = 500 * time.Millisecond

// rejectRequest closes the connection after an invalid request. If err is a *protocol.RequestError and the input has not
// ended, rejectRequest responds with that error's status first. It always returns false, as serveNext does for a closed
// connection.
func (c *clientConn) rejectRequest(err error) bool {
	var invalid *protocol.RequestError
	response, reason := protocol.ClientResponse{Close: true}, netio.ReasonClientMalformed
	if errors.Is(err, protocol.ErrOverMemory) {
		c.server.counters.RequestsOverMemory.Add(1)
		response.RetryAfter, reason = OverMemoryRetryAfter, netio.ReasonOverMemory
	} else {
		c.server.counters.MalformedRequests.Add(1)
		c.logInvalidRequest(err)
	}
	c.releaseRequest()
	if c.readBuffer.Err() != nil || !errors.As(err, &invalid) {
		return c.closeBroken(c.readBuffer.Err())
	}
	response.Status = invalid.Status
	if !c.awaitRejection(invalid) {
		return false
	}
	netio.SetWriteDeadline(c.conn, time.Now().Add(lingerTimeout))
	c.writeResponse(&response)
	return c.linger(reason)
}

// awaitRejection waits until the request may be rejected. Requests that the client may repeat are rejected at once. While the connection
// waits, it has no buffer, and the server may close it to free its slot. awaitRejection returns false if the connection was closed.
func (c *clientConn) awaitRejection(invalid *protocol.RequestError) bool {
	c.markRejected()
	if invalid.MayRepeat() {
		c.chargeOverhead(cpubudget.Accept) // does not wait, so the pace of accepting has to bound it
		return true
	}
	c.check.linger()
	c.readBuffer.Discard()
	c.readBuffer.Free()
	return c.beginRejection()
}

// maxLoggedCause is the largest number of bytes of a cause in the log, whose lines are buffered.
const maxLoggedCause = 200

// logInvalidRequest logs at debug level why a request is invalid.
func (c *clientConn) logInvalidRequest(err error) {
	event := c.server.log.Debug()
	if !event.Enabled() {
		return
	}
	var invalid *protocol.RequestError
	if errors.As(err, &invalid) {
		if invalid.Err != nil {
			cause := invalid.Err.Error() // may quote the whole request
			event.Str("cause", cause[:min(len(cause), maxLoggedCause)])
		}
		event.Int("status", invalid.Status)
	}
	event.Stringer("peer", c.conn.RemoteAddr()).Err(err).Msg("invalid request")
}

// answerHealthCheck answers a health check of the node itself. It returns false once the connection is closed.
func (c *clientConn) answerHealthCheck() bool {
	draining := c.server.draining.Load()
	response := protocol.ClientResponse{Status: http.StatusOK, Close: c.request.Close || draining && c.check.tryCloseWithResponse()}
	if draining || !c.server.router.HasServers() {
		response.Status = http.StatusServiceUnavailable
	}
	return c.answerDirectly(&response)
}

// answerDirectly answers a request that was read and not handed over. It returns false once the connection is closed.
func (c *clientConn) answerDirectly(response *protocol.ClientResponse) bool {
	c.releaseRequest()
	c.unforwarded = true
	deadline := time.Now().Add(netio.MessageTimeout) // the last response's deadline may have passed
	netio.SetWriteDeadline(c.conn, deadline)
	written := c.writeResponse(response) && c.awaitAcknowledgement(maxUnacknowledged, deadline)
	if !written || response.Close {
		return c.closeAnswered(written)
	}
	c.check.answered()
	c.markIdle()
	return true
}

// writeResponse writes a response and reports whether the write was complete.
func (c *clientConn) writeResponse(response *protocol.ClientResponse) bool {
	c.aborted.Store(false)
	c.writeAt.Store(int64(time.Since(c.acceptedAt)))
	c.writing.Store(true)
	defer c.writing.Store(false)
	c.writeBuffer.Allocate(c.server.limits.BufferSize())
	defer c.writeBuffer.Free()
	c.writeBuffer.Commit(protocol.AppendResponseHead(c.writeBuffer.AvailableBuffer(), response))
	c.writeBuffer.Append(response.Body)
	return c.writeBuffer.Flush() == nil
}

// handleInFlight handles the request in flight on a goroutine of its own.
func (c *clientConn) handleInFlight() {
	c.handleRequest()
	if !c.responseDue.Load() && (c.readingAhead.Load() || c.overflowed.Load()) {
		netio.SetReadDeadline(c.conn, netio.PastDeadline) // ends serve's readAhead
	}
	if !c.overflowed.Load() {
		c.check.answered()
		c.markIdle()
	}
	c.handled <- struct{}{}
}

// handleRequest handles the request in flight and writes the response, unless the client has disconnected.
func (c *clientConn) handleRequest() {
	defer func() { c.server.requestIDs.release(c.request.ID, c.handler.Forwarded()) }()
	defer c.releaseRequest()
	defer c.handler.ReleaseResponse()
	response, ok := c.handler.Handle(&c.request, c.receivedAt)
	if !ok {
		return
	}
	c.responseDue.Store(false)
	c.unforwarded = !c.handler.Forwarded()
	if response.Status == protocol.StatusCompleted {
		c.served.Store(true)
	}
	// A client that writes slowly may complete its request after the deadline, which counts from the first byte here.
	if due := later(c.receivedAt.Add(c.request.Timeout), c.completeAt); time.Since(due) > responseSlack {
		c.handler.reportViolation(&c.request, faultLateResponse)
	}
	c.inFlight.Release() // only the response is left
	response.ToHead = c.request.Method == http.MethodHead
	response.Close = c.request.Close || c.overflowed.Load() || c.closesWithResponse()
	c.passOn(&response)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// passOn writes the response to the request in flight. It closes the connection if the response says so or can't be written. If
// input was discarded, serve closes the connection.
func (c *clientConn) passOn(response *protocol.ClientResponse) {
	writeBy := c.receivedAt.Add(c.request.Timeout + responseWriteTimeout)
	netio.SetWriteDeadline(c.conn, writeBy)
	overflowed := c.overflowed.Load()
	written := c.writeResponse(response)
	switch {
	case written && overflowed:
		written = c.awaitAcknowledgement(maxUnacknowledged, netio.Earlier(writeBy, time.Now().Add(lingerTimeout)))
	case written && !response.Close:
		written = c.awaitAcknowledgement(maxUnacknowledged, writeBy)
	}
	if !written || response.Close && !overflowed {
		c.closeAfterResponse(written)
	}
}
