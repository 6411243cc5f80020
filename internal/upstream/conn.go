package upstream

import (
	"net"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxResponse bounds an app server's response in bytes, with room for the framing of chunks.
const maxResponse = protocol.MaxHead + 4*protocol.MaxBody

// serverConn is one connection to an app server. It belongs to the Pool while idle, otherwise to one attempt or health
// check.
type serverConn struct {
	conn          *net.TCPConn
	reader        *netio.Socket // in reads from it
	server        *routing.Server
	in, out       netio.RingBuffer
	openedAt      time.Time
	resetWait     time.Duration // how long to wait for the reset of a stale connection before the last byte
	idleSince     time.Time     // when it last carried a message, which is when the server's idle timeout started
	requests      int           // requests written completely
	requestsAtPut int           // requests when it was last put back
}

// usable reports whether an idle connection is open and has nothing to read. A request on a connection that the server has
// closed could fail after its last byte. The server might then have executed it, and an unsafe request could not be retried.
func (c *serverConn) usable() bool {
	netio.SetDeadline(c.conn, time.Time{})
	return c.in.Empty() && c.reader.IsIdle()
}

// readResponse reads a response until the connection's deadline, and appends its body to body[:0].
func (c *serverConn) readResponse(body []byte) (protocol.ServerResponse, error) {
	parser := netio.BorrowParser(&c.in)
	defer netio.ReturnParser(parser)
	c.in.Allow(maxResponse)
	response, err := protocol.ReadServerResponse(parser, body)
	c.in.EndMessage(parser)
	return response, err
}

// reusable is the closeReason of a connection that can be put back.
const reusable netio.CloseReason = ""

// closeReason returns why the connection must be closed after readResponse, or reusable.
func (c *serverConn) closeReason(response protocol.ServerResponse, err error) netio.CloseReason {
	switch {
	case err == nil && !response.Close && c.in.Empty():
		return reusable
	case err == nil:
		return netio.ReasonServerRequestedClose
	case c.in.Err() == nil:
		return netio.ReasonServerMalformed
	case netio.TimedOut(c.in.Err()):
		return netio.ReasonServerTimeout
	}
	return netio.ReasonServerReset
}
