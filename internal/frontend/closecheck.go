package frontend

import (
	"net"
	"sync"

	"cherrygap/internal/netio"
)

// closeCheck checks invariant.Closing for one client connection. It decides whether the node may close the connection on
// its own initiative, and for that tracks the bytes that were read and not answered. Once it has allowed a close, it allows
// no more reads, so no request is read and lost. clientConn.close counts a violation if a close was not allowed.
//
// closeCheck is the netio.ReadHook of the connection. It is safe for concurrent use.
type closeCheck struct {
	mu        sync.Mutex // guards the fields below; held from BeginRead to EndRead, during a read that does not block
	phase     connPhase
	pipelined bool // set if bytes were read behind the request in flight
	remainder bool // set if the bytes that were read are only those behind an answered request

	readAheadStopped bool // set once bytes behind a request may no longer be read
}

// connPhase is the state of a connection with respect to the bytes that were read from it.
type connPhase uint8

const (
	phaseIdle      connPhase = iota // all bytes that were read belong to answered requests
	phaseReading                    // bytes were read and not parsed yet
	phasePartial                    // part of a request was read and the rest has not arrived
	phaseDeferred                   // part of a request was read, and neither it nor the rest is looked at until processor time is left
	phaseInFlight                   // a request is in flight
	phaseLingering                  // the last response was written and further bytes are discarded
	phaseClosed                     // the node is closing the connection, so no more bytes are read
)

// partialPolicy says whether a partly read request keeps its connection open.
type partialPolicy bool

const (
	keepPartial partialPolicy = false
	dropPartial partialPolicy = true
)

// BeginRead returns nil if the connection may be read. The caller must then call EndRead. It returns net.ErrClosed once a close was
// allowed, and netio.ErrReadAheadStopped for bytes behind a request after stopReadAhead.
func (c *closeCheck) BeginRead() error {
	c.mu.Lock()
	switch {
	case c.phase == phaseClosed:
		c.mu.Unlock()
		return net.ErrClosed
	case c.readAheadStopped && (c.phase == phaseInFlight || c.phase == phaseReading && c.remainder):
		if c.phase == phaseReading {
			c.phase = phasePartial // the rest of the request stays unread
		}
		c.mu.Unlock()
		return netio.ErrReadAheadStopped
	}
	return nil
}

// stopReadAhead forbids to read bytes behind a request from now on. What was read already is answered, and the last response may
// then close the connection. A client that always sends further requests would otherwise keep its connection for ever.
func (c *closeCheck) stopReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAheadStopped = true
}

// EndRead records the result of a read.
func (c *closeCheck) EndRead(result netio.ReadResult) {
	defer c.mu.Unlock()
	switch {
	case result == netio.ReadBytes && c.phase == phaseInFlight:
		c.pipelined = true
	case result == netio.ReadBytes && c.phase != phaseLingering:
		c.phase = phaseReading
	case result == netio.ReadWouldBlock && c.phase == phaseReading:
		c.phase = phasePartial
	}
}

// defers records that what was read of a request waits for processor time.
func (c *closeCheck) defers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseReading || c.phase == phasePartial {
		c.phase = phaseDeferred
	}
}

// resumes records the end of that wait, and reports whether no close was allowed meanwhile.
func (c *closeCheck) resumes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseDeferred {
		c.phase = phaseReading
	}
	return c.phase != phaseClosed
}

// requestRead records that a request was read completely. bytesBehind is the number of bytes buffered behind it.
func (c *closeCheck) requestRead(bytesBehind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase, c.pipelined, c.remainder = phaseInFlight, bytesBehind > 0, false
	}
}

// answered records that the request in flight has its response.
func (c *closeCheck) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseInFlight:
	case c.pipelined:
		c.phase, c.remainder = phaseReading, true
	default:
		c.phase = phaseIdle
	}
	c.pipelined = false
}

// linger records that bytes read from now on are discarded.
func (c *closeCheck) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseLingering
	}
}

// tryCloseWithResponse reports whether the response to the request in flight may close the connection. It may if nothing
// was read behind the request; the check then allows no more reads.
func (c *closeCheck) tryCloseWithResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseInFlight && !c.pipelined {
		c.phase = phaseClosed
	}
	return c.phase == phaseClosed
}

// tryClose reports whether the connection may be closed now. If so, the check allows no more reads.
func (c *closeCheck) tryClose(partial partialPolicy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.phase.closable(partial)
	if ok {
		c.phase = phaseClosed
	}
	return ok
}

// closable reports whether a connection in the phase may be closed.
func (p connPhase) closable(partial partialPolicy) bool {
	switch p {
	case phaseIdle, phaseLingering:
		return true
	case phasePartial, phaseDeferred:
		return partial == dropPartial
	}
	return false
}

// currentPhase returns the connection's phase.
func (c *closeCheck) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// inPhase reports whether the connection is in the given phase.
func (c *closeCheck) inPhase(phase connPhase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phase
}
