package transport

import (
	"bufio"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// messageTimeout is how long a message may take: the first from the connection's begin on, others from their own.
// Clients are owed a response or a close within 3 s of connecting.
const messageTimeout = 2 * time.Second

// parserPool holds the readers that messages are parsed by. They are lent for one message, as idle connections are
// many and a reader's buffer is large.
var parserPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, parserBuffer) }}

// borrowParser lends a reader over source, until returnParser.
func borrowParser(source io.Reader) *bufio.Reader {
	parser := parserPool.Get().(*bufio.Reader)
	parser.Reset(source)
	return parser
}

func returnParser(parser *bufio.Reader) {
	parser.Reset(nil)
	parserPool.Put(parser)
}

// ringBuffer is the buffer of one direction of a connection. One goroutine uses it at a time.
type ringBuffer struct {
	conn          readDeadliner // whose read deadline bounds a message
	stream        io.ReadWriter // what is read from or written to
	buf           []byte        // nil until allocate
	taken, filled int           // bytes taken out and put in, ever
	allowed       int           // bytes that a message may still take
	err           error         // of the stream: it stays, but for readMore
	deadlineSet   bool          // a read deadline bounds the message being read
	arrivals      *arrivalMarks // of what is in it; nil where nobody asks
}

func newRingBuffer(conn readDeadliner, stream io.ReadWriter, size int) ringBuffer {
	return ringBuffer{conn: conn, stream: stream, buf: make([]byte, size)}
}

// allocate gives a ring its buffer, if it has none yet.
func (b *ringBuffer) allocate(size int) {
	if b.buf == nil {
		b.buf = make([]byte, size)
	}
}

// empty reports whether there is nothing to take out.
func (b *ringBuffer) empty() bool { return b.taken == b.filled }

// wait waits until there is a byte to take out.
func (b *ringBuffer) wait() error {
	for b.empty() && b.err == nil {
		b.fill()
	}
	if !b.empty() {
		return nil
	}
	return b.err
}

// fill reads once, but never over the last bytes that were taken out, which endMessage may give back.
func (b *ringBuffer) fill() {
	at := b.filled % len(b.buf)
	n, err := b.stream.Read(b.buf[at:min(len(b.buf), at+len(b.buf)-parserBuffer-(b.filled-b.taken))])
	b.filled += n
	if n == 0 {
		b.err = err
	} else if b.arrivals != nil {
		b.arrivals.add(b.filled, time.Now())
	}
}

// Read hands out what is there, or waits. A message that comes in pieces has messageTimeout to arrive. Past what
// allow set the error is protocol.ErrHeadTooLarge.
func (b *ringBuffer) Read(p []byte) (int, error) {
	if b.allowed <= 0 {
		return 0, protocol.ErrHeadTooLarge
	}
	if b.empty() {
		if !b.deadlineSet {
			b.deadlineSet = true
			setReadDeadline(b.conn, time.Now().Add(messageTimeout))
		}
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	at := b.taken % len(b.buf)
	n := copy(p[:min(len(p), b.allowed)], b.buf[at:min(len(b.buf), at+b.filled-b.taken)])
	b.taken += n
	b.allowed -= n
	return n, nil
}

// readMore reads once behind what is there, which must leave room, and returns the stream's end, if it came. A deadline
// that passes is none.
func (b *ringBuffer) readMore() error {
	if b.err == nil {
		b.fill()
	}
	if timedOut(b.err) {
		b.err = nil
	}
	return b.err
}

// full reports whether nothing more can be read before something is taken out.
func (b *ringBuffer) full() bool { return b.filled-b.taken >= len(b.buf)-parserBuffer }

// discard drops what is there.
func (b *ringBuffer) discard() { b.taken = b.filled }

// allow sets how many bytes a message may take from now on.
func (b *ringBuffer) allow(bytes int) { b.allowed = bytes }

// endMessage ends a message: what the parser read past it is given back.
func (b *ringBuffer) endMessage(parser *bufio.Reader) {
	b.taken -= parser.Buffered()
	if b.deadlineSet {
		b.deadlineSet = false
		setReadDeadline(b.conn, time.Time{})
	}
}

// space is an empty slice to append to, over the whole of an empty ring; appended has to follow.
func (b *ringBuffer) space() []byte {
	if b.empty() {
		b.taken, b.filled = 0, 0
	}
	at := b.filled % len(b.buf)
	return b.buf[at:at:min(len(b.buf), at+len(b.buf)-(b.filled-b.taken))]
}

// appended takes over what was appended to space, which is another array where the ring had too little room.
func (b *ringBuffer) appended(p []byte) {
	if len(p) > 0 && &p[0] == &b.buf[b.filled%len(b.buf)] {
		b.filled += len(p)
		return
	}
	b.write(p)
}

// write puts bytes in, and writes to the stream whenever the ring is full. An error of that is flush's to return.
func (b *ringBuffer) write(p []byte) {
	for n := 0; n < len(p); {
		if b.filled-b.taken == len(b.buf) && b.flush() != nil || b.err != nil {
			return
		}
		at := b.filled % len(b.buf)
		copied := copy(b.buf[at:min(len(b.buf), at+len(b.buf)-(b.filled-b.taken))], p[n:])
		b.filled += copied
		n += copied
	}
}

// flush writes all that is in the ring to the stream. An error stays.
func (b *ringBuffer) flush() error { return b.flushExcept(0) }

// flushExcept writes all but the last bytes.
func (b *ringBuffer) flushExcept(last int) error {
	for b.taken < b.filled-last && b.err == nil {
		at := b.taken % len(b.buf)
		n, err := b.stream.Write(b.buf[at:min(len(b.buf), at+b.filled-last-b.taken)])
		b.taken += n
		b.err = err
	}
	return b.err
}
