package frontend

import (
	"errors"
	"io"
	"net"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/invariant"
	"cherrygap/internal/netio"
)

// This file owns the end of client connections: no other file closes one, and each method here says when it may and for which reason.
//
//   - The client ended it: closeEnded, closeBroken, Server.dropEnded.
//   - No slot is free for it: Server.dropLongHead.
//   - A request was rejected: linger.
//   - A response closes it: closesWithResponse decides, closeAnswered and closeAfterResponse close.
//   - The server ends it on its own initiative: tryEnd, for an endCause. closeUnread, before a request whose rest is not read.
//   - The client halts, and its message is given up: abort, abortWrite.
//
// All of them end in close or reset. closeCheck decides whether the server may close of its own accord.

// lingerTimeout is the longest time for which the node discards a client's input before it closes the connection, so that
// the client can read its last response. It also bounds the write of the response to an invalid request.
const lingerTimeout = 250 * time.Millisecond

// close closes the connection. Only the first call has an effect, so its reason is logged. Any goroutine may call close.
func (c *clientConn) close(reason netio.CloseReason) {
	c.closeOnce.Do(func() {
		c.reason = reason
		if reason.IsNodeInitiated() && !c.check.inPhase(phaseClosed) {
			invariant.Violated(&c.server.counters.CloseViolations, c.server.log, invariant.Closing).Str("reason", string(reason)).
				Stringer("peer", c.conn.RemoteAddr()).Int("requests", c.requestCount).Msg(invariant.ViolatedMessage)
		}
		close(c.ended)
		c.closeSocket()
	})
}

// closeSocket closes the socket and charges the time that it takes, unless the connection's requests were forwarded and none was
// rejected.
func (c *clientConn) closeSocket() {
	startedAt := time.Now()
	netio.CloseConn(c.conn)
	took := time.Since(startedAt)
	switch reserved := time.Duration(c.reservedClose.Swap(0)); {
	case reserved > 0:
		c.server.overhead.chargeClose(took, reserved)
	case c.forwarded.Load():
		c.server.overhead.measure(took)
	default:
		c.server.overhead.chargeWhole(cpubudget.Accept, took)
	}
}

// reset closes the connection for a reason. The kernel drops the bytes that the client has not acknowledged.
func (c *clientConn) reset(reason netio.CloseReason) {
	_ = c.conn.SetLinger(0) // fails only for a closed connection
	c.close(reason)
}

// endCause is why the server ends a connection on its own initiative, and what keeps the connection open nevertheless. A request in flight
// always does.
type endCause struct {
	reason       netio.CloseReason
	keepsNew     bool // a connection whose first request may be in transit stays open
	keepsInput   bool // a connection with unread input stays open, unless the input is discarded
	keepsOutput  bool // a connection with an unacknowledged response stays open
	keepsPartial bool // a connection with a partly read request stays open
	dropsFirst   bool // with keepsPartial: it does not stay open if the request is its first
}

// The causes for which the server ends connections.
var (
	drainIdle    = endCause{reason: netio.ReasonNodeDraining, keepsNew: true, keepsInput: true, keepsOutput: true, keepsPartial: true}
	drainOver    = endCause{reason: netio.ReasonNodeDraining}
	slotNeeded   = endCause{reason: netio.ReasonEvicted, keepsInput: true, keepsOutput: true, keepsPartial: true, dropsFirst: true}
	memoryNeeded = endCause{reason: netio.ReasonOverMemory, keepsInput: true}
)

// partialPolicy returns whether the cause closes a connection with a partly read request.
func (cause endCause) partialPolicy(c *clientConn) partialPolicy {
	if cause.keepsPartial && (c.hasRequested.Load() || !cause.dropsFirst) {
		return keepPartial
	}
	return dropPartial
}

// tryEnd closes the connection for a cause, and reports whether it did. Any goroutine may call it.
func (c *clientConn) tryEnd(cause endCause) bool {
	switch {
	case cause.keepsNew && c.expectsFirstRequest(),
		cause.keepsInput && c.hasUnreadInput(),
		cause.keepsOutput && c.writer.HasUnacknowledged(),
		!c.check.tryClose(cause.partialPolicy(c)):
		return false
	}
	c.close(cause.reason)
	return true
}

// hasUnreadInput reports whether input is pending that a close would lose. Input that is discarded is not lost, nor is the rest of a
// request that is deferred: its begin, which was read, decides whether the connection may close.
func (c *clientConn) hasUnreadInput() bool {
	return !c.check.inPhase(phaseLingering) && !c.check.inPhase(phaseDeferred) && netio.HasPendingInput(c.conn)
}

// expectsFirstRequest reports whether a connection is new and its first request may be in transit.
func (c *clientConn) expectsFirstRequest() bool {
	return !c.hasRequested.Load() && time.Since(c.acceptedAt) < firstRequestGrace
}

// closeEnded closes a connection whose input has ended. It always returns false, as serveNext does for a closed connection.
func (c *clientConn) closeEnded(input inputState) bool {
	atEOF := netio.ReasonClientClosed
	if input.clientDisconnected {
		atEOF = netio.ReasonClientDisconnected
	}
	c.close(closeReasonFor(input.err, atEOF))
	return false
}

// closeBroken closes a connection that ended in the middle of a request. err is the error of the last read. It always returns false.
func (c *clientConn) closeBroken(err error) bool {
	c.close(closeReasonFor(err, netio.ReasonClientReset))
	return false
}

// closeAnswered closes a connection behind a response that the front end made by itself. written reports whether the response was
// written. It always returns false.
func (c *clientConn) closeAnswered(written bool) bool {
	if written {
		c.close(netio.ReasonClientRequestedClose)
	} else {
		c.reset(netio.ReasonClientReset)
	}
	return false
}

// closeAfterResponse closes the connection behind the response to a request that was handed over. written reports whether the response
// was written.
func (c *clientConn) closeAfterResponse(written bool) {
	switch {
	case !written:
		c.server.counters.ResponsesUnwritten.Add(1)
		c.reset(netio.ReasonResponseUnwritten)
	case c.request.Close:
		c.closeAfterAcknowledgement(netio.ReasonClientRequestedClose)
	default:
		c.closeAfterAcknowledgement(c.server.closeReason())
	}
}

// closeReasonFor returns the close reason of a connection whose read failed with err. atEOF is the reason for io.EOF.
func closeReasonFor(err error, atEOF netio.CloseReason) netio.CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return atEOF
	case netio.TimedOut(err):
		return netio.ReasonClientTimeout
	}
	return netio.ReasonClientReset
}

// dropEnded closes an accepted connection whose client has closed it already, and reports whether it did. Nobody is left to read a
// response, so the connection needs no slot. acceptCalledAt is the time at which its accept began.
func (s *Server) dropEnded(conn *net.TCPConn, acceptCalledAt time.Time) bool {
	if !netio.HasHungUp(conn) {
		return false
	}
	s.drop(conn, netio.ReasonClientClosed, acceptCalledAt)
	return true
}

// dropLongHead closes an accepted connection for which there is no slot, if its request has a long head and others with such a head wait for their
// turn, and reports whether it did. Its slot would be that of one of them. acceptCalledAt is the time at which its accept began.
func (s *Server) dropLongHead(conn *net.TCPConn, acceptCalledAt time.Time) bool {
	if s.deferred.Load() == 0 {
		return false
	}
	var begin [longHead + 1]byte
	if !beginsLongHead(begin[:netio.Peek(conn, begin[:])]) {
		return false
	}
	s.drop(conn, netio.ReasonEvicted, acceptCalledAt)
	return true
}

// drop closes an accepted connection that gets no slot, for a reason.
func (s *Server) drop(conn *net.TCPConn, reason netio.CloseReason, acceptCalledAt time.Time) {
	s.counters.Connections.Add(1)
	netio.CloseConn(conn)
	netio.LogClose(s.log, netio.SideClient, conn.RemoteAddr().String(), reason, acceptCalledAt, 0)
	s.overhead.chargeWhole(cpubudget.Accept, time.Since(acceptCalledAt))
}

// closeUnread closes the connection before a request whose rest is not read any more.
func (c *clientConn) closeUnread() {
	c.releaseRequest()
	if c.check.tryClose(dropPartial) {
		c.closeAfterAcknowledgement(c.server.closeReason())
	}
}

// markRejected makes the connection one of the first to be evicted. What it costs from now on is overhead.
func (c *clientConn) markRejected() {
	c.served.Store(false)
	c.hasRequested.Store(false)
	c.forwarded.Store(false)
}

// linger discards input until the client closes or lingerTimeout has passed, and then closes the connection for a reason. A close
// with unread input would reset the connection, and the client might lose its last response. It always returns false, as
// serveNext does for a closed connection.
func (c *clientConn) linger(reason netio.CloseReason) bool {
	c.releaseRequest()
	until := time.Now().Add(lingerTimeout)
	netio.SetReadDeadline(c.conn, until)
	_ = c.conn.CloseWrite() // fails only for a closed connection, which the next read reports
	c.markRejected()
	c.check.linger()
	if c.overflowed.CompareAndSwap(false, true) {
		c.server.discarding.Add(1)
	}
	c.discardInput(until)
	if c.writer.Unacknowledged() > maxUnacknowledged { // the kernel would keep the response
		c.reset(reason)
	}
	c.close(reason)
	return false
}

// closesWithResponse reports whether the response to the request in flight closes the connection because the server wants its slot, or
// because the client floods it. Where the slot is needed now, the client gets responses to what was read already, and nothing more is
// read.
func (c *clientConn) closesWithResponse() bool {
	if !c.server.wantsClose() && !c.floods() {
		return false
	}
	if c.server.needsSlots() {
		c.check.stopReadAhead()
	}
	return c.check.tryCloseWithResponse()
}

// closeReason returns the reason of a close that the server wants.
func (s *Server) closeReason() netio.CloseReason {
	if s.draining.Load() {
		return netio.ReasonNodeDraining
	}
	return netio.ReasonNodeNearLimit
}

// closeAfterAcknowledgement closes the connection once the client's machine has acknowledged all written bytes. After an
// earlier close, further input of the client would reset the connection, and the rest of the response would be lost. The
// wait ends after netio.MessageTimeout, so that a client that reads nothing does not hold its slot.
func (c *clientConn) closeAfterAcknowledgement(reason netio.CloseReason) {
	if c.awaitAcknowledgement(0, time.Now().Add(netio.MessageTimeout)) {
		c.close(reason)
		return
	}
	c.reset(reason)
}

const (
	// minReadStall is the time without a byte after which a client's request has halted.
	minReadStall = firstRequestGrace
	// minWriteStall is the time without progress after which a client has stopped to read its response.
	minWriteStall = 300 * time.Millisecond
)

// halted reports whether the connection holds a message and its client has stopped: a request whose next byte does not come, or a
// response that is not read. The time of a response counts from its begin at the earliest: the last transfer before its first byte is
// that of an earlier message.
func (c *clientConn) halted() bool {
	if c.writing.Load() {
		beganAt := c.acceptedAt.Add(time.Duration(c.writeAt.Load()))
		return time.Since(later(beganAt, c.writer.LastTransfer())) >= minWriteStall
	}
	return c.check.inPhase(phasePartial) && time.Since(c.reader.LastTransfer()) >= minReadStall
}

// abort gives up the message of a halted connection, and reports whether it did. A response is then cut off, which its client can
// tell. A request whose rest has arrived meanwhile is kept.
func (c *clientConn) abort() bool {
	if c.writing.Load() {
		c.abortWrite()
		return true
	}
	return c.tryEnd(memoryNeeded)
}

// abortWrite gives up the response that is written or not acknowledged.
func (c *clientConn) abortWrite() {
	c.aborted.Store(true)
	netio.SetWriteDeadline(c.conn, netio.PastDeadline)
}
