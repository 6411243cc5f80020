package frontend

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// awaitInput waits until the read buffer holds a byte or the input has ended. An empty buffer has no memory meanwhile.
func (c *clientConn) awaitInput() error {
	if c.readBuffer.Empty() && c.readBuffer.Err() == nil {
		c.readBuffer.Free()
		c.reader.WaitReadable()
		c.readBuffer.Allocate(c.server.limits.BufferSize())
		c.receiveAge = c.reader.ReceiveAge()
	}
	return c.readBuffer.Wait()
}

// inputState is the state of a connection's input after a read.
type inputState struct {
	err                error // read error; nil while the input has not ended
	clientDisconnected bool  // set if the input ended before the request in flight had its response
}

// awaitResponse waits until the request in flight is handled. It reads ahead meanwhile, unless err, the result of the last
// read, is not nil.
func (c *clientConn) awaitResponse(err error) inputState {
	if err == nil {
		err = c.readAhead()
	}
	if errors.Is(err, netio.ErrReadAheadStopped) {
		err = nil // The client is still there. What it has sent stays unread.
	}
	input := inputState{err: err, clientDisconnected: err != nil && c.responseDue.Load()}
	if input.clientDisconnected {
		c.handler.ClientGone()
	}
	<-c.handled
	c.handedOver = false
	if c.handler.Forwarded() {
		c.forwarded.Store(true)
		c.waiveOverhead()
	}
	if c.readingAhead.CompareAndSwap(true, false) {
		netio.SetReadDeadline(c.conn, time.Time{}) // undoes the wake-up by handleInFlight
	}
	return input
}

// longHead is the number of bytes of a request that hold the whole head of all but few requests.
const longHead = 2 << 10

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// hasLongHead reports whether the buffer holds the begin of a request whose head is longer than longHead. Connections whose last request was
// served are not asked.
func (c *clientConn) hasLongHead() bool {
	return !c.served.Load() && beginsLongHead(c.readBuffer.Peek())
}

// beginsLongHead reports whether a request that begins with the given bytes has a head longer than longHead.
func beginsLongHead(begin []byte) bool {
	return len(begin) > longHead && !bytes.Contains(begin[:longHead], headEnd)
}

// maxPendingReads is the largest number of reads of hasLeft.
const maxPendingReads = 4

// hasLeft reports whether the client has closed the connection. It reads what has arrived of the request, as far as the buffer holds
// it, because a close behind more input than the kernel buffers is not visible.
func (c *clientConn) hasLeft() bool {
	for reads := 0; reads < maxPendingReads && !c.readBuffer.Full() && c.reader.HasInput(); reads++ {
		if c.readBuffer.ReadMore() != nil {
			break // the parser meets the error too
		}
	}
	return c.writer.HungUp()
}

// inputCheck is the result of drainInput.
type inputCheck int

const (
	inputOpen    inputCheck = iota // all input was read, and the client may send more
	inputEnded                     // the client has closed or reset the connection
	inputEndless                   // more than maxDrained bytes follow the request
)

// maxDrained is the largest number of bytes behind a request that are read to see whether the client has closed the connection.
const maxDrained = protocol.MaxBody

// errTooMuchInput is the error for a request that is followed by more than maxDrained bytes. A client that has disconnected would be
// noticed too late.
var errTooMuchInput = &protocol.RequestError{Status: http.StatusBadRequest, Reason: "too much input behind the request"}

// drainInput reads the pending input, because a close that follows unread input is not visible. It bounds the work for a client that
// always sends.
func (c *clientConn) drainInput() inputCheck {
	for filledBefore := c.readBuffer.Filled(); c.readBuffer.Err() == nil && c.reader.HasInput(); {
		if c.readBuffer.Filled()-filledBefore > maxDrained {
			return inputEndless
		}
		c.discardIfFull()
		if errors.Is(c.readBuffer.ReadMore(), netio.ErrReadAheadStopped) { // readBuffer.Err keeps other errors
			break
		}
	}
	if c.readBuffer.Err() != nil || c.writer.HungUp() {
		return inputEnded
	}
	return inputOpen
}

// readAhead reads pipelined bytes until the request in flight has its response or the connection ends. Otherwise the node
// would not detect a close behind pipelined bytes, and would forward requests of a client that has disconnected.
func (c *clientConn) readAhead() error {
	c.readingAhead.Store(true) // lets handleInFlight interrupt the read below
	pausedAt := c.readBuffer.Filled()
	for c.responseDue.Load() {
		c.discardIfFull()
		if c.overflowed.Load() && c.readBuffer.Filled()-pausedAt >= discardBurst {
			pausedAt = c.readBuffer.Filled()
			c.chargeOverhead(cpubudget.Discard)
			time.Sleep(c.server.discardInterval())
		}
		if err := c.readBuffer.ReadMore(); err != nil {
			return err
		}
	}
	return nil
}

// discardIfFull discards the pipelined requests if the buffer is full. The next response is then the connection's last.
func (c *clientConn) discardIfFull() {
	if !c.readBuffer.Full() {
		return
	}
	if c.overflowed.CompareAndSwap(false, true) {
		c.server.discarding.Add(1)
	}
	c.readBuffer.Discard()
}

// discardInput drops input until the connection ends or until its read deadline, which is the given time. It reads only while the
// processor budget has much left; else the client's input stays in the kernel. While there is no input, the connection has no buffer.
func (c *clientConn) discardInput(until time.Time) {
	c.readBuffer.Discard()
	c.readBuffer.Free()
	for c.reader.WaitReadable() == netio.Readable && c.server.overhead.await(cpubudget.Discard, c.ended, until) {
		c.readBuffer.Allocate(c.server.limits.BufferSize())
		err := c.readBuffer.ReadMore()
		c.readBuffer.Discard()
		c.readBuffer.Free()
		c.chargeOverhead(cpubudget.Discard)
		if err != nil {
			return
		}
		c.pause(min(c.server.discardInterval(), time.Until(until)))
	}
}

// pause waits for a time or until the connection is closed.
func (c *clientConn) pause(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-c.ended:
	}
}
