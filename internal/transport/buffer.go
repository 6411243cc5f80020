package transport

import (
	"bufio"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

const (
	lookahead = 2 << 10 // bytes a parser may read ahead of a message's end, and give back
	leastRing = 2 * lookahead
	mostRing  = 64 << 10
)

// Times of clients, who are owed an answer or a close within 3 s of connecting.
const (
	messageBy   = 2 * time.Second        // for the first message from the connection on, for others from their begin
	askWithin   = 100 * time.Millisecond // for the first byte of the first, before others' needs go first
	lastLook    = 2 * time.Millisecond   // for who stands before a door that closes
	breakWithin = 3 * time.Millisecond   // in which a connection that has died shows it, once written to, at most:
	breakTrips  = 3                      // so many of the round trips that its dial took, as the reset takes one
	breakLeast  = 300 * time.Microsecond // and at least so long, for machines that are late
	lingerFor   = 250 * time.Millisecond // for who was refused to take the answer in
)

var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lookahead) }}

// ring is the buffer of one direction of a connection. One goroutine uses it at a time.
type ring struct {
	conn    deadliner
	sock    io.ReadWriter
	buf     []byte
	r, w    int // bytes taken out and put in, ever
	allowed int // bytes that a message may still take
	err     error
	patient bool // a read deadline guards the message under way
}

type deadliner interface{ SetReadDeadline(time.Time) error }

func newRing(conn deadliner, sock io.ReadWriter, size int) ring {
	return ring{conn: conn, sock: sock, buf: make([]byte, size)}
}

// make gives a ring its buffer, if it has none yet.
func (g *ring) make(size int) {
	if g.buf == nil {
		g.buf = make([]byte, size)
	}
}

// Wait waits until a byte is there.
func (g *ring) Wait() error {
	for g.r == g.w && g.err == nil {
		g.fill()
	}
	if g.r < g.w {
		return nil
	}
	return g.err
}

// fill reads once, but never over the last bytes that were taken out, which may be given back.
func (g *ring) fill() {
	at := g.w % len(g.buf)
	n, err := g.sock.Read(g.buf[at:min(len(g.buf), at+len(g.buf)-lookahead-(g.w-g.r))])
	g.w += n
	if n == 0 {
		g.err = err
	}
}

// Read hands out what is there, or waits. A message that comes in pieces has messageBy to come.
func (g *ring) Read(p []byte) (int, error) {
	if g.allowed <= 0 {
		return 0, protocol.ErrHeadTooLarge
	}
	if g.r == g.w {
		if !g.patient {
			g.patient = true
			g.conn.SetReadDeadline(time.Now().Add(messageBy))
		}
		if err := g.Wait(); err != nil {
			return 0, err
		}
	}
	at := g.r % len(g.buf)
	n := copy(p[:min(len(p), g.allowed)], g.buf[at:min(len(g.buf), at+g.w-g.r)])
	g.r += n
	g.allowed -= n
	return n, nil
}

// More reads once behind what is there, which must leave room, and tells of an end; a deadline that passes is none.
func (g *ring) More() error {
	if g.err == nil {
		g.fill()
	}
	if timedOut(g.err) {
		g.err = nil
	}
	return g.err
}

// full tells whether nothing more can be read before something is taken out.
func (g *ring) full() bool { return g.w-g.r >= len(g.buf)-lookahead }

// drop forgets what is there.
func (g *ring) drop() { g.r = g.w }

// Allow sets how much a message may take from now on.
func (g *ring) Allow(bytes int) { g.allowed = bytes }

// done ends a message: what the parser read past it goes back.
func (g *ring) done(br *bufio.Reader) {
	g.r -= br.Buffered()
	if g.patient {
		g.patient = false
		g.conn.SetReadDeadline(time.Time{})
	}
}

// room is space for an append, the whole of an empty ring; took notes what was appended to it.
func (g *ring) room() []byte {
	if g.r == g.w {
		g.r, g.w = 0, 0
	}
	at := g.w % len(g.buf)
	return g.buf[at:at:min(len(g.buf), at+len(g.buf)-(g.w-g.r))]
}

func (g *ring) took(b []byte) {
	if len(b) > 0 && &b[0] == &g.buf[g.w%len(g.buf)] {
		g.w += len(b)
		return
	}
	g.Write(b)
}

// Write puts bytes in and writes to the connection whenever the ring is full.
func (g *ring) Write(p []byte) (int, error) {
	for n := 0; n < len(p); {
		if g.w-g.r == len(g.buf) {
			g.Flush()
		}
		if g.err != nil {
			return n, g.err
		}
		at := g.w % len(g.buf)
		k := copy(g.buf[at:min(len(g.buf), at+len(g.buf)-(g.w-g.r))], p[n:])
		g.w += k
		n += k
	}
	return len(p), nil
}

// Flush writes all that is in the ring. An error stays.
func (g *ring) Flush() error { return g.FlushBut(0) }

// FlushBut writes all but the last bytes.
func (g *ring) FlushBut(k int) error {
	for g.r < g.w-k && g.err == nil {
		at := g.r % len(g.buf)
		n, err := g.sock.Write(g.buf[at:min(len(g.buf), at+g.w-k-g.r)])
		g.r += n
		g.err = err
	}
	return g.err
}
