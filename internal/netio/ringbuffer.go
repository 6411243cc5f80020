package netio

import (
	"bufio"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// MessageTimeout bounds the reading of one message. For the first message of a connection it runs from the accept.
// The platform owes each client a response or a close within 3 s of connecting.
const MessageTimeout = 2 * time.Second

// Sizes of one direction's buffer of a connection, in bytes.
const (
	ParserBuffer = 2 << 10 // a parser reads at most this far past the end of a message
	MinBuffer    = 2 * ParserBuffer
	maxBuffer    = 64 << 10
)

// parserPool holds the readers of parsers. Each is lent for one message, because a node has many idle connections and a
// reader's buffer is large.
var parserPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, ParserBuffer) }}

// BorrowParser lends a reader of source. The caller returns it with ReturnParser.
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
	Conn          readDeadliner // has the read deadline of a message
	Stream        io.ReadWriter // is read into the buffer, or written from it
	buf           []byte        // nil until Allocate
	Taken, Filled int           // bytes taken out and put in since the buffer was made
	allowed       int           // bytes that the current message may still take
	Err           error         // the first error of Stream; later calls return it too
	DeadlineSet   bool          // a read deadline for the current message is already set
	Arrivals      *ArrivalTimes // of the buffered bytes; may be nil
}

// NewRingBuffer returns a buffer of size bytes.
func NewRingBuffer(conn readDeadliner, stream io.ReadWriter, size int) RingBuffer {
	return RingBuffer{Conn: conn, Stream: stream, buf: make([]byte, size)}
}

// Allocate gives a RingBuffer without memory a buffer of size bytes.
func (b *RingBuffer) Allocate(size int) {
	if b.buf == nil {
		b.buf = make([]byte, size)
	}
}

// Empty reports whether the buffer holds no bytes.
func (b *RingBuffer) Empty() bool { return b.Taken == b.Filled }

// Buffered returns the number of buffered bytes.
func (b *RingBuffer) Buffered() int { return b.Filled - b.Taken }

// Wait blocks until the buffer holds a byte or the stream fails.
func (b *RingBuffer) Wait() error {
	for b.Empty() && b.Err == nil {
		b.fill()
	}
	if !b.Empty() {
		return nil
	}
	return b.Err
}

// fill reads once. It leaves the last ParserBuffer bytes that were taken out intact, because EndMessage may put them back.
func (b *RingBuffer) fill() {
	at := b.Filled % len(b.buf)
	n, err := b.Stream.Read(b.buf[at:min(len(b.buf), at+len(b.buf)-ParserBuffer-(b.Filled-b.Taken))])
	b.Filled += n
	if n == 0 {
		b.Err = err
	} else if b.Arrivals != nil {
		b.Arrivals.Add(b.Filled, time.Now())
	}
}

// Read returns buffered bytes, or waits for some. The first wait within a message sets its deadline, MessageTimeout from
// then. After the bytes that Allow granted the error is protocol.ErrHeadTooLarge.
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

// ReadMore reads once into a buffer that is not Full and returns the stream's error. A passed deadline is no error.
func (b *RingBuffer) ReadMore() error {
	if b.Err == nil {
		b.fill()
	}
	if TimedOut(b.Err) {
		b.Err = nil
	}
	return b.Err
}

// Full reports whether the buffer has no space for a read.
func (b *RingBuffer) Full() bool { return b.Filled-b.Taken >= len(b.buf)-ParserBuffer }

// Discard drops the buffered bytes.
func (b *RingBuffer) Discard() { b.Taken = b.Filled }

// Allow sets how many bytes Read returns from now on.
func (b *RingBuffer) Allow(bytes int) { b.allowed = bytes }

// EndMessage puts back the bytes that the parser read past the end of a message, and clears the message's deadline.
func (b *RingBuffer) EndMessage(parser *bufio.Reader) {
	b.Taken -= parser.Buffered()
	if b.DeadlineSet {
		b.DeadlineSet = false
		SetReadDeadline(b.Conn, time.Time{})
	}
}

// AvailableBuffer returns an empty slice over the free space, to append to. The caller passes the result to Commit.
func (b *RingBuffer) AvailableBuffer() []byte {
	if b.Empty() {
		b.Taken, b.Filled = 0, 0
	}
	at := b.Filled % len(b.buf)
	return b.buf[at:at:min(len(b.buf), at+len(b.buf)-(b.Filled-b.Taken))]
}

// Commit adds the bytes that were appended to AvailableBuffer. Where these outgrew it and p is another array, it copies.
func (b *RingBuffer) Commit(p []byte) {
	if len(p) > 0 && &p[0] == &b.buf[b.Filled%len(b.buf)] {
		b.Filled += len(p)
		return
	}
	b.Append(p)
}

// Append adds bytes and writes to the stream whenever the buffer is full. The next Flush returns an error of the stream.
func (b *RingBuffer) Append(p []byte) {
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

// Flush writes all buffered bytes to the stream. After an error every call returns it.
func (b *RingBuffer) Flush() error { return b.FlushExcept(0) }

// FlushExcept writes all buffered bytes but the last ones.
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
