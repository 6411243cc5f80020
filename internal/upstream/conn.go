package upstream

import (
	"net"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxResponse is the maximum size of an app server's response in bytes, including chunked framing.
const maxResponse = protocol.MaxHead + 4*protocol.MaxBody

// serverConn is one connection to an app server. The Pool owns it while it is idle; otherwise one attempt or health check
// does.
type serverConn struct {
	conn                    *net.TCPConn
	reader                  *netio.Socket // source of readBuffer
	server                  *routing.Server
	readBuffer, writeBuffer netio.RingBuffer
	openedAt                time.Time
	resetWait               time.Duration // time to wait for the reset of a stale connection before a request's last byte
	idleSince               time.Time     // time of the dial or of the last response, when the server's idle timeout started
	requestCount            int           // number of requests written completely
	requestCountAtPut       int           // value of requestCount at the last Pool.put
	earlyResponse           bool          // true if a final response began before the last byte of the first request
}

// allocateBuffers allocates the connection's buffers before its use, and freeBuffers frees them after it. Idle connections have none.
func (c *serverConn) allocateBuffers(size int) {
	c.readBuffer.Allocate(size)
	c.writeBuffer.Allocate(size)
}

// freeBuffers frees the connection's buffers if they are empty.
func (c *serverConn) freeBuffers() {
	c.readBuffer.Free()
	c.writeBuffer.Free()
}

// usable reports whether an idle connection is open and has nothing to read. On a connection that the server has closed, a
// request could fail after its last byte. The server might then have executed the request, so an unsafe one could not be
// retried.
func (c *serverConn) usable() bool {
	netio.SetDeadline(c.conn, time.Time{})
	return c.readBuffer.Empty() && c.reader.IsIdle()
}

// readResponse reads the response to a request with the given method, within the connection's deadline. It appends the response's
// body to body[:0], and accounts for its memory unless memory is nil.
func (c *serverConn) readResponse(method string, body []byte, memory protocol.Memory) (protocol.ServerResponse, error) {
	parser := netio.BorrowParser(&c.readBuffer)
	defer netio.ReturnParser(parser)
	c.readBuffer.Allow(maxResponse)
	response, err := protocol.ReadServerResponse(parser, method, body, memory)
	c.readBuffer.EndMessage(parser)
	if err == nil && c.earlyResponse {
		return checkEarlyResponse(response)
	}
	return response, err
}

// checkEarlyInput reads the bytes that have arrived, of which there must be at least one, and sets earlyResponse unless they begin
// an interim response. A server may send one as soon as it has read a request's head.
func (c *serverConn) checkEarlyInput() {
	_ = c.readBuffer.ReadMore() // readBuffer.Err keeps the error
	c.earlyResponse = !protocol.BeginsInterimResponse(c.readBuffer.Peek())
}

// checkEarlyResponse checks a response that began before the request was complete. A server executes only complete requests, so a
// response with outcome Completed answers another one. An error may be the answer, such as a rejection for too many connections. In
// any case the server may answer the request later, so the connection must not carry another one.
func checkEarlyResponse(response protocol.ServerResponse) (protocol.ServerResponse, error) {
	if response.Outcome == protocol.Completed {
		return protocol.ServerResponse{Body: response.Body}, protocol.ErrMalformedResponse
	}
	response.Close = true
	return response, nil
}

// reusable is the result of closeReason for a connection that can return to the pool.
const reusable netio.CloseReason = ""

// closeReason returns the reason to close the connection after readResponse, or reusable.
func (c *serverConn) closeReason(response protocol.ServerResponse, err error) netio.CloseReason {
	switch {
	case err == nil && !response.Close && c.readBuffer.Empty():
		return reusable
	case err == nil:
		return netio.ReasonServerRequestedClose
	case c.readBuffer.Err() == nil:
		return netio.ReasonServerMalformed
	case netio.TimedOut(c.readBuffer.Err()):
		return netio.ReasonServerTimeout
	}
	return netio.ReasonServerReset
}
