package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/protocol"
)

// client is one connection of a client. One goroutine reads it, so that a client's leaving is noticed while
// its ticket waits; the other sees to the ticket.
type client struct {
	front   *Server
	conn    *net.TCPConn
	sock    *socket // what it is read by
	in, out ring
	pass    *RequestHandler
	request protocol.Request
	lengths protocol.ContentLengthScanner // of the head being read
	body    []byte
	came    time.Time // when the request's first byte was read
	began   time.Time
	tickets int
	busy    bool      // a ticket was handed over
	leaves  bool      // evicted; under the front's lock
	held    time.Time // it waited for a slot since, and its first request with it; zero: it did not

	todo   chan struct{} // a request is there
	done   chan struct{} // it has been seen to
	owed   atomic.Bool   // a ticket is open
	idle   atomic.Bool   // between requests, or before the first is whole: who sets it to false may close
	asked  atomic.Bool   // it has sent a whole request
	half   atomic.Bool   // the first bytes of its first request are there
	onward atomic.Bool   // its ticket waits, and its reader reads what it sent behind it
	flood  atomic.Bool   // that was more than waits for its turn: the answer is its last
	idleAt atomic.Int64
	ending sync.Once
	why    reason
}

func newClient(f *Server, conn *net.TCPConn) *client {
	c := &client{front: f, conn: conn, began: time.Now(), sock: newSocket(conn)}
	c.in, c.out = ring{conn: conn, sock: c.sock}, ring{conn: conn, sock: newSocket(conn)}
	conn.SetKeepAlive(false)
	conn.SetReadDeadline(c.began.Add(messageBy)) // whoever says nothing, or never all of it, is closed
	c.in.patient = true
	return c
}

// open readies what tickets need. Before the first a connection has none of it, and no buffers before its first
// byte, so that crowds of connections that say nothing cost next to nothing.
func (c *client) open() {
	c.todo, c.done = make(chan struct{}, 1), make(chan struct{}, 1)
	c.pass = c.front.NewRequestHandler(c.away)
	go c.serve()
}

// end closes the connection; the first reason stays.
func (c *client) end(why reason) {
	c.ending.Do(func() {
		c.why = why
		c.conn.Close()
	})
}

// read takes in one request after another and hands them over.
func (c *client) read() {
	c.rest()
	c.sock.ready()
	c.in.make(c.front.limits.ring())
	for c.next() {
	}
	if c.pass != nil {
		close(c.todo)
		<-c.done // the last word of serve
		c.pass.Release()
	}
	c.front.gone(c)
	logEnd(c.front.log, "client", c.conn.RemoteAddr().String(), c.why, c.began, c.tickets)
}

// rest marks the connection as idle.
func (c *client) rest() {
	c.idleAt.Store(time.Now().UnixNano())
	c.idle.Store(true)
	if c.front.crowded.Load() {
		c.front.evict()
	}
}

// next waits for a request, takes it in, and tells whether there may be another. While a ticket is open it
// waits too, and so notices a client that leaves.
func (c *client) next() bool {
	err, came, gone := c.in.Wait(), time.Now(), false
	if c.busy {
		if err == nil {
			err = c.readOn()
		}
		if gone = err != nil && c.owed.Load(); gone {
			c.pass.ClientGone()
		}
		<-c.done
		c.busy = false
		if c.onward.CompareAndSwap(true, false) {
			c.conn.SetReadDeadline(time.Time{}) // serve may have let it pass
		}
		if c.flood.Load() && (err == nil || timedOut(err)) {
			return c.linger()
		}
	}
	if !c.held.IsZero() { // its time ran while it waited for a slot
		came, c.held = c.held, time.Time{}
	}
	c.half.Store(err == nil)
	// Until its first request is whole a client may be closed for others: half of one must hold no slot.
	if c.asked.Load() && !c.idle.CompareAndSwap(true, false) {
		return false // closed meanwhile
	}
	if err != nil {
		if gone {
			c.end(leaving(err, clientGone))
		}
		c.end(leaving(err, clientClosed))
		return false
	}
	c.came = came
	br := parsers.Get().(*bufio.Reader)
	c.lengths = protocol.ContentLengthScanner{}
	br.Reset(c)
	err = protocol.ReadRequest(br, c, &c.request, c.body)
	c.in.done(br)
	br.Reset(nil)
	parsers.Put(br)
	if !c.asked.Load() && !c.idle.CompareAndSwap(true, false) {
		return false
	}
	if cap(c.request.Body) > 0 {
		c.body = trim(c.request.Body)
	}
	if err == nil && !c.request.ForNode() && !c.front.router.KnowsClassAndPlan(&c.request) {
		err = &protocol.RequestError{Status: http.StatusNotFound, Reason: "unknown band or plan"}
	}
	if err == nil && !c.request.ForNode() && !c.front.router.WithinLimits(&c.request) {
		err = &protocol.RequestError{Status: http.StatusBadRequest, Reason: "figures outside the settings"}
	}
	if err == nil && !c.request.ForNode() && !c.front.ids.take(c.request.ID) {
		err = &protocol.RequestError{Status: http.StatusConflict, Reason: "id of another ticket"}
	}
	if err != nil {
		return c.refuse(err)
	}
	c.asked.Store(true)
	if !c.request.ForNode() && c.left() { // it waited unread until its client had gone: it runs for nobody
		c.front.count.Requests.Add(1)
		c.front.count.ClientsGone.Add(1)
		c.front.ids.answered(c.request.ID)
		c.end(leaving(c.in.err, clientGone))
		return false
	}
	if c.request.ForNode() {
		return c.health()
	}
	if c.pass == nil {
		c.open()
	}
	c.pass.Begin()
	c.tickets++
	c.busy = true
	c.owed.Store(true)
	c.todo <- struct{}{}
	return true
}

// left tells whether the client has closed its connection by now, be it behind further bytes.
func (c *client) left() bool {
	for c.in.err == nil && !c.sock.silent() {
		c.makeRoom()
		c.in.More()
	}
	return c.in.err != nil
}

// away tells the same while another goroutine reads, by a look that takes nothing.
func (c *client) away() bool { return c.out.sock.(*socket).hungUp() }

// readOn reads what a client sends while its ticket waits, as its leaving shows only behind that. It returns once the
// ticket waits no more, with the connection's end if that came first. It guards against tickets that are executed
// for clients which sent more than one request and left.
func (c *client) readOn() error {
	c.onward.Store(true) // serve wakes it
	for c.owed.Load() {
		c.makeRoom()
		if err := c.in.More(); err != nil {
			return err
		}
	}
	return nil
}

// makeRoom lets the client send more. What it has sent behind its request waits for its turn as far as there is room;
// past that nothing of it is a request any more, and the connection ends with its answer.
func (c *client) makeRoom() {
	if c.in.full() {
		c.flood.Store(true)
		c.in.drop()
	}
}

// linger lets a client whose connection ends take its answer in: bytes that nobody reads would reset it.
func (c *client) linger() bool {
	c.conn.SetReadDeadline(time.Now().Add(lingerFor))
	c.conn.CloseWrite()
	c.asked.Store(false) // from here on it may be closed for others
	c.idle.Store(true)
	io.Copy(io.Discard, c.conn) // until it closes, or its time is over
	c.end(clientBad)
	return false
}

// Read, Allow, Lengths and Continue are what a request is read by.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	c.lengths.Scan(p[:n])
	return n, err
}

func (c *client) Allow(bytes int)         { c.in.Allow(bytes) }
func (c *client) ContentLengthLines() int { return c.lengths.Count() }

// Continue tells the client to send its body.
func (c *client) Continue() error {
	c.conn.SetWriteDeadline(time.Now().Add(messageBy))
	c.out.make(c.front.limits.ring())
	c.out.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return c.out.Flush()
}

func leaving(err error, closed reason) reason {
	switch {
	case errors.Is(err, io.EOF):
		return closed
	case timedOut(err):
		return clientSlow
	}
	return clientBroken
}

// refuse answers what is no ticket and closes.
func (c *client) refuse(err error) bool {
	var bad *protocol.RequestError
	c.front.count.MalformedRequests.Add(1)
	if c.in.err != nil || !errors.As(err, &bad) {
		c.end(leaving(c.in.err, clientBroken))
		return false
	}
	c.conn.SetWriteDeadline(time.Now().Add(lingerFor))
	c.answer(&protocol.ClientResponse{Status: bad.Status, Close: true})
	return c.linger()
}

// health tells whether the node can take tickets.
func (c *client) health() bool {
	a := protocol.ClientResponse{Status: http.StatusOK, Close: c.request.Close || c.front.draining.Load()}
	if c.front.draining.Load() || !c.front.router.HasServers() {
		a.Status = http.StatusServiceUnavailable
	}
	c.conn.SetWriteDeadline(time.Now().Add(messageBy)) // the last ticket's may be over
	if !c.answer(&a) {
		c.end(clientBroken)
		return false
	}
	if a.Close {
		c.end(clientLast)
	}
	c.rest()
	return !a.Close
}

// answer writes an answer whole.
func (c *client) answer(a *protocol.ClientResponse) bool {
	c.out.make(c.front.limits.ring())
	c.out.took(protocol.AppendResponseHead(c.out.room(), a))
	c.out.Write(a.Body)
	return c.out.Flush() == nil
}

// serve sees to the tickets.
func (c *client) serve() {
	for range c.todo {
		c.see()
		if !c.owed.Load() && (c.onward.Load() || c.flood.Load()) {
			c.conn.SetReadDeadline(time.Unix(1, 0)) // it reads on no more
		}
		if !c.flood.Load() {
			c.rest()
		}
		c.done <- struct{}{}
	}
	close(c.done)
}

// see takes a ticket to its answer.
func (c *client) see() {
	defer c.front.ids.answered(c.request.ID)
	a, stays := c.pass.Handle(&c.request, c.came)
	if !stays {
		return
	}
	c.owed.Store(false)
	a.Close = c.request.Close || c.front.draining.Load() || c.front.tight() || c.flood.Load()
	c.conn.SetWriteDeadline(c.came.Add(c.request.Timeout + time.Second))
	if !c.answer(&a) {
		c.front.count.ResponsesUnwritten.Add(1)
		c.end(answerBroken)
	} else if c.flood.Load() { // its reader ends it
	} else if a.Close && c.front.draining.Load() {
		c.end(nodeDrains)
	} else if a.Close && !c.request.Close {
		c.end(nodeTight)
	} else if a.Close {
		c.end(clientLast)
	}
}
