package upstream

import (
	"net"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxResponse bounds an app server's response, in bytes: chunks have frames.
const maxResponse = protocol.MaxHead + 4*protocol.MaxBody

// upstreamConn is one connection to an app server. It belongs to the Pool while idle, and to one attempt or health check
// at a time otherwise.
type upstreamConn struct {
	conn          *net.TCPConn
	reader        *netio.Socket // under in
	server        *routing.Server
	in, out       netio.RingBuffer
	openedAt      time.Time
	resetWait     time.Duration // how soon a reset shows, once a stale connection was written to
	idleSince     time.Time     // since when it carries nothing, as its server's clock has it
	requests      int           // written whole on it
	requestsAtPut int           // when it was last put back
}

// usable reports whether an idle connection can be used. It guards against servers that closed it, where an
// attempt would end as one that may have run.
func (c *upstreamConn) usable() bool {
	netio.SetDeadline(c.conn, time.Time{})
	return c.in.Empty() && c.reader.IsIdle()
}

// readResponse reads a response, its body appended to body[:0]. The connection's deadline bounds it.
func (c *upstreamConn) readResponse(body []byte) (protocol.ServerResponse, error) {
	parser := netio.BorrowParser(&c.in)
	c.in.Allow(maxResponse)
	c.in.DeadlineSet = true
	response, err := protocol.ReadServerResponse(parser, body)
	c.in.DeadlineSet = false
	c.in.EndMessage(parser)
	netio.ReturnParser(parser)
	return response, err
}
