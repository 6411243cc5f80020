package netio

import (
	"bufio"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// MessageTimeout is how long a message may take: the first from the connection's begin on, others from their own.
// Clients are owed a response or a close within 3 s of connecting.
const MessageTimeout = 2 * time.Second

// parserPool holds the readers that messages are parsed by. They are lent for one message, as idle connections are
// many and a reader's buffer is large.
var parserPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, ParserBuffer) }}

// BorrowParser lends a reader over source, until ReturnParser.
func BorrowParser(source io.Reader) *bufio.Reader {
	parser := parserPool.Get().(*bufio.Reader)
	parser.Reset(source)
	return parser
}

// ReturnParser takes back a reader that BorrowParser lent.
func ReturnParser(parser *bufio.Reader) {
	parser.Reset(nil)
	parserPool.Put(parser)
}

// RingBuffer is the buffer of one direction of a connection. One goroutine uses it at a time.
type RingBuffer struct {
	Conn          readDeadliner // whose read deadline bounds a message
	Stream        io.ReadWriter // what is read from or written to
	buf           []byte        // nil until allocate
	Taken, Filled int           // bytes taken out and put in, ever
	allowed       int           // bytes that a message may still take
	Err           error         // of the stream: it stays, but for ReadMore
	DeadlineSet   bool          // a read deadline bounds the message being read
	Arrivals      *ArrivalMarks // of what is in it; nil where nobody asks
}

// NewRingBuffer returns a buffer of size bytes.
func NewRingBuffer(conn readDeadliner, stream io.ReadWriter, size int) RingBuffer {
	return RingBuffer{Conn: conn, Stream: stream, buf: make([]byte, size)}
}

// Allocate gives a ring its buffer, if it has none yet.
func (b *RingBuffer) Allocate(size int) {
	if b.buf == nil {
		b.buf = make([]byte, size)
	}
}

// Empty reports whether there is nothing to take out.
func (b *RingBuffer) Empty() bool { return b.Taken == b.Filled }

// Wait waits until there is a byte to take out.
func (b *RingBuffer) Wait() error {
	for b.Empty() && b.Err == nil {
		b.Fill()
	}
	if !b.Empty() {
		return nil
	}
	return b.Err
}

// Fill reads once, but never over the last bytes that were taken out, which EndMessage may give back.
func (b *RingBuffer) Fill() {
	at := b.Filled % len(b.buf)
	n, err := b.Stream.Read(b.buf[at:min(len(b.buf), at+len(b.buf)-ParserBuffer-(b.Filled-b.Taken))])
	b.Filled += n
	if n == 0 {
		b.Err = err
	} else if b.Arrivals != nil {
		b.Arrivals.Add(b.Filled, time.Now())
	}
}

// Read hands out what is there, or waits. A message that comes in pieces has MessageTimeout to arrive. Past what
// Allow set the error is protocol.ErrHeadTooLarge.
func (b *RingBuffer) Read(p []byte) (int, error) {
	if b.allowed <= 0 {
		return 0, protocol.ErrHeadTooLarge
	}
	if b.Empty() {
		if !b.DeadlineSet {
			b.DeadlineSet = true
			SetReadDeadline(b.Conn, time.Now().Add(MessageTimeout))
		}
		if err := b.Wait(); err != nil {
			return 0, err
		}
	}
	at := b.Taken % len(b.buf)
	n := copy(p[:min(len(p), b.allowed)], b.buf[at:min(len(b.buf), at+b.Filled-b.Taken)])
	b.Taken += n
	b.allowed -= n
	return n, nil
}

// ReadMore reads once behind what is there, which must leave room, and returns the stream's end, if it came. A deadline
// that passes is none.
func (b *RingBuffer) ReadMore() error {
	if b.Err == nil {
		b.Fill()
	}
	if TimedOut(b.Err) {
		b.Err = nil
	}
	return b.Err
}

// Full reports whether nothing more can be read before something is taken out.
func (b *RingBuffer) Full() bool { return b.Filled-b.Taken >= len(b.buf)-ParserBuffer }

// Discard drops what is there.
func (b *RingBuffer) Discard() { b.Taken = b.Filled }

// Allow sets how many bytes a message may take from now on.
func (b *RingBuffer) Allow(bytes int) { b.allowed = bytes }

// EndMessage ends a message: what the parser read past it is given back.
func (b *RingBuffer) EndMessage(parser *bufio.Reader) {
	b.Taken -= parser.Buffered()
	if b.DeadlineSet {
		b.DeadlineSet = false
		SetReadDeadline(b.Conn, time.Time{})
	}
}

// Space is an empty slice to append to, over the whole of an empty ring; appended has to follow.
func (b *RingBuffer) Space() []byte {
	if b.Empty() {
		b.Taken, b.Filled = 0, 0
	}
	at := b.Filled % len(b.buf)
	return b.buf[at:at:min(len(b.buf), at+len(b.buf)-(b.Filled-b.Taken))]
}

// Appended takes over what was appended to space, which is another array where the ring had too little room.
func (b *RingBuffer) Appended(p []byte) {
	if len(p) > 0 && &p[0] == &b.buf[b.Filled%len(b.buf)] {
		b.Filled += len(p)
		return
	}
	b.Write(p)
}

// Write puts bytes in, and writes to the stream whenever the ring is full. An error of that is flush's to return.
func (b *RingBuffer) Write(p []byte) {
	for n := 0; n < len(p); {
		if b.Filled-b.Taken == len(b.buf) && b.Flush() != nil || b.Err != nil {
			return
		}
		at := b.Filled % len(b.buf)
		copied := copy(b.buf[at:min(len(b.buf), at+len(b.buf)-(b.Filled-b.Taken))], p[n:])
		b.Filled += copied
		n += copied
	}
}

// Flush writes all that is in the ring to the stream. An error stays.
func (b *RingBuffer) Flush() error { return b.FlushExcept(0) }

// FlushExcept writes all but the last bytes.
func (b *RingBuffer) FlushExcept(last int) error {
	for b.Taken < b.Filled-last && b.Err == nil {
		at := b.Taken % len(b.buf)
		n, err := b.Stream.Write(b.buf[at:min(len(b.buf), at+b.Filled-last-b.Taken)])
		b.Taken += n
		b.Err = err
	}
	return b.Err
}

// TrimBuffer returns b, or nil if its capacity is over MinBuffer, so that one large body does not hold memory for long.
func TrimBuffer(b []byte) []byte {
	if cap(b) > MinBuffer {
		return nil
	}
	return b
}
