package frontend

import (
	"sync"

	"cherrygap/internal/netio"
)

// closeCheck is the check of invariant.Closing for one client connection: it decides whether the node may close the
// connection on its own initiative. It tracks the bytes that were read and not answered. Once it has allowed a close, it
// allows no more reads, so no request is read and lost. clientConn.close counts a violation if a close was not allowed.
//
// It is the netio.ReadHook of the connection and safe for concurrent use.
type closeCheck struct {
	mu        sync.Mutex // guards both below; held from BeginRead to EndRead, over a read that does not block
	phase     connPhase
	pipelined bool // bytes were read behind the request in flight
}

// connPhase is the progress of a connection with the bytes that were read from it.
type connPhase uint8

const (
	phaseIdle      connPhase = iota // all bytes read are answered
	phaseReading                    // bytes were read and not parsed yet
	phasePartial                    // part of a request was read, the rest has not arrived
	phaseInFlight                   // a request is in flight
	phaseLingering                  // the last response was written, further bytes are discarded
	phaseClosed                     // the node closes the connection
)

// partialPolicy says whether a partly read request keeps its connection open.
type partialPolicy bool

const (
	keepPartial partialPolicy = false
	dropPartial partialPolicy = true
)

// BeginRead reports whether the connection may be read. If so the caller must call EndRead.
func (c *closeCheck) BeginRead() bool {
	c.mu.Lock()
	if c.phase == phaseClosed {
		c.mu.Unlock()
		return false
	}
	return true
}

// EndRead notes the result of a read.
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

// requestRead notes that a request was read completely, and how many bytes are buffered behind it.
func (c *closeCheck) requestRead(bytesBehind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase, c.pipelined = phaseInFlight, bytesBehind > 0
	}
}

// answered notes that the request in flight has its response.
func (c *closeCheck) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseInFlight:
	case c.pipelined:
		c.phase = phaseReading
	default:
		c.phase = phaseIdle
	}
	c.pipelined = false
}

// linger notes that bytes read from now on are discarded.
func (c *closeCheck) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseLingering
	}
}

// tryCloseWithResponse reports whether the response to the request in flight may close the connection, because nothing was
// read behind the request. If so no more is read.
func (c *closeCheck) tryCloseWithResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseInFlight && !c.pipelined {
		c.phase = phaseClosed
	}
	return c.phase == phaseClosed
}

// mayClose reports whether the connection may be closed now.
func (c *closeCheck) mayClose(partial partialPolicy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closableLocked(partial)
}

// tryClose reports whether the connection may be closed now. If so no more is read.
func (c *closeCheck) tryClose(partial partialPolicy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.closableLocked(partial)
	if ok {
		c.phase = phaseClosed
	}
	return ok
}

func (c *closeCheck) closableLocked(partial partialPolicy) bool {
	switch c.phase {
	case phaseIdle, phaseLingering:
		return true
	case phasePartial:
		return partial == dropPartial
	}
	return false
}

// is reports whether the connection is in a phase.
func (c *closeCheck) is(phase connPhase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phase
}
