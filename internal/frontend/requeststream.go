package frontend

import (
	"errors"
	"net"
	"time"

	"cherrygap/internal/protocol"
)

// maxPlainRequest is the number of bytes of the largest request whose body is sent in one piece. What is longer is framing, as of a body in
// chunks of one byte, whose parsing costs much more than its reads.
const maxPlainRequest = protocol.MaxHead + protocol.MaxBody

// requestStream is the source of a connection's read buffer. It measures the time for which requests are parsed, between the reads, and
// delays the rest of a request with a long head, or beyond maxPlainRequest, as it delays a rejection.
type requestStream struct{ *clientConn }

// Read reads once.
func (s requestStream) Read(p []byte) (int, error) {
	if s.parsingSince.IsZero() {
		return s.reader.Read(p)
	}
	s.stopParsing()
	defer s.startParsing()
	if s.readBuffer.Filled()-s.requestFrom > s.plainSize && !s.awaitTurn() {
		return 0, net.ErrClosed
	}
	if s.plainSize == longHead { // What a head holds beyond it waits for its turn.
		p = p[:min(len(p), longHead)]
	}
	return s.reader.Read(p)
}

// Write must not be called.
func (s requestStream) Write([]byte) (int, error) { return 0, errors.ErrUnsupported }

// startParsing records that a request is parsed from now on.
func (c *clientConn) startParsing() { c.parsingSince = time.Now() }

// stopParsing adds the time since startParsing to the connection's cost, because a wait begins or the request has ended.
func (c *clientConn) stopParsing() {
	took := time.Since(c.parsingSince)
	c.parsingSince = time.Time{}
	c.parseTime += took
	c.server.overhead.measure(took)
}
