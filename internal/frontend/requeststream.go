package frontend

import (
	"errors"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/protocol"
)

// maxPlainRequest is the number of bytes of the largest request whose body is sent in one piece. What is longer is framing, as of a body in
// chunks of one byte, whose parsing costs much more than its reads.
const maxPlainRequest = protocol.MaxHead + protocol.MaxBody

// requestStream is the source of a connection's read buffer. It measures the time for which requests are parsed, between the reads, and
// delays the rest of a request beyond maxPlainRequest as it delays a rejection.
type requestStream struct{ *clientConn }

// Read reads once.
func (s requestStream) Read(p []byte) (int, error) {
	if s.parsingSince.IsZero() {
		return s.reader.Read(p)
	}
	s.stopParsing()
	if s.readBuffer.Filled()-s.requestFrom > maxPlainRequest {
		s.server.overhead.takeTurn(s.ended, func() { s.chargeOverhead(cpubudget.Reject) })
	}
	n, err := s.reader.Read(p)
	s.startParsing()
	return n, err
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
