package netio

import (
	"bufio"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// MessageTimeout bounds the reading of one message. For the first message of a connection it runs from the accept. A client
// that sends no complete request is closed well within the 3 s that the platform allows.
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
	Stream io.ReadWriter // is read into the buffer, or written from it

	conn          readDeadliner // gets the read deadline of each message; nil: the caller sets deadlines
	arrivals      *ArrivalTimes // of the buffered bytes; may be nil
	buf           []byte        // nil until Allocate
	taken, filled int           // bytes taken out and put in since the buffer was made
	allowed       int           // bytes that the current message may still take
	err           error         // the first error of Stream; later calls return it too
	deadlineSet   bool          // the read deadline of the current message is set
}

// NewRingBuffer returns a buffer of size bytes. The caller sets the deadlines of stream.
func NewRingBuffer(stream io.ReadWriter, size int) RingBuffer {
	return RingBuffer{Stream: stream, buf: make([]byte, size)}
}

// NewMessageBuffer returns a buffer that sets a read deadline of conn for each message, and records the arrival times of
// bytes if arrivals is not nil. It has no memory until Allocate.
func NewMessageBuffer(conn readDeadliner, stream io.ReadWriter, arrivals *ArrivalTimes) RingBuffer {
	return RingBuffer{Stream: stream, conn: conn, arrivals: arrivals}
}

// Allocate gives a buffer without memory size bytes.
func (b *RingBuffer) Allocate(size int) {
	if b.buf == nil {
		b.buf = make([]byte, size)
	}
}

// SetMessageDeadline sets the read deadline of the current message. Read then does not set one for it.
func (b *RingBuffer) SetMessageDeadline(at time.Time) {
	b.deadlineSet = true
	SetReadDeadline(b.conn, at)
}

// Err returns the first error of the stream.
func (b *RingBuffer) Err() error { return b.err }

// Taken returns how many bytes were taken out since the buffer was made.
func (b *RingBuffer) Taken() int { return b.taken }

// Filled returns how many bytes were put in since the buffer was made.
func (b *RingBuffer) Filled() int { return b.filled }

// Empty reports whether the buffer holds no bytes.
func (b *RingBuffer) Empty() bool { return b.taken == b.filled }

// Buffered returns the number of buffered bytes.
func (b *RingBuffer) Buffered() int { return b.filled - b.taken }

// Wait blocks until the buffer holds a byte or the stream fails.
func (b *RingBuffer) Wait() error {
	for b.Empty() && b.err == nil {
		b.fill()
	}
	if !b.Empty() {
		return nil
	}
	return b.err
}

// readSpace returns the number of bytes that a read may put in. It spares the last ParserBuffer bytes that were taken out,
// because EndMessage may put them back.
func (b *RingBuffer) readSpace() int { return len(b.buf) - ParserBuffer - b.Buffered() }

// contiguous returns the part of buf that begins at a position, of at most size bytes. It is shorter at the end of buf.
func (b *RingBuffer) contiguous(position, size int) []byte {
	at := position % len(b.buf)
	return b.buf[at:min(len(b.buf), at+size)]
}

// fill reads once. The buffer must not be Full.
func (b *RingBuffer) fill() {
	n, err := b.Stream.Read(b.contiguous(b.filled, b.readSpace()))
	b.filled += n
	if n == 0 {
		b.err = err
	} else if b.arrivals != nil {
		b.arrivals.Add(b.filled, time.Now())
	}
}

// Read returns buffered bytes, or waits for some. In a buffer of NewMessageBuffer the first wait within a message sets its
// deadline, MessageTimeout from then. After the bytes that Allow granted the error is protocol.ErrHeadTooLarge.
func (b *RingBuffer) Read(p []byte) (int, error) {
	if b.allowed <= 0 {
		return 0, protocol.ErrHeadTooLarge
	}
	if b.Empty() {
		if b.conn != nil && !b.deadlineSet {
			b.SetMessageDeadline(time.Now().Add(MessageTimeout))
		}
		if err := b.Wait(); err != nil {
			return 0, err
		}
	}
	n := copy(p[:min(len(p), b.allowed)], b.contiguous(b.taken, b.Buffered()))
	b.taken += n
	b.allowed -= n
	return n, nil
}

// ReadMore reads once into a buffer that is not Full and returns the stream's error. A passed deadline is no error.
func (b *RingBuffer) ReadMore() error {
	if b.err == nil {
		b.fill()
	}
	if TimedOut(b.err) {
		b.err = nil
	}
	return b.err
}

// Full reports whether the buffer has no space for a read.
func (b *RingBuffer) Full() bool { return b.readSpace() <= 0 }

// Discard drops the buffered bytes.
func (b *RingBuffer) Discard() { b.taken = b.filled }

// Allow sets how many bytes Read returns from now on.
func (b *RingBuffer) Allow(bytes int) { b.allowed = bytes }

// EndMessage puts back the bytes that the parser read past the end of a message, and clears the message's deadline.
func (b *RingBuffer) EndMessage(parser *bufio.Reader) {
	b.taken -= parser.Buffered()
	if b.deadlineSet {
		b.deadlineSet = false
		SetReadDeadline(b.conn, time.Time{})
	}
}

// AvailableBuffer returns an empty slice over the free space, to append to. The caller passes the result to Commit.
func (b *RingBuffer) AvailableBuffer() []byte {
	if b.Empty() {
		b.taken, b.filled = 0, 0
	}
	free := b.contiguous(b.filled, len(b.buf)-b.Buffered())
	return free[:0:len(free)]
}

// Commit adds p, which is the slice of AvailableBuffer after appends. If the appends have moved it to a larger array,
// Commit copies the bytes.
func (b *RingBuffer) Commit(p []byte) {
	if len(p) > 0 && &p[0] == &b.buf[b.filled%len(b.buf)] {
		b.filled += len(p)
		return
	}
	b.Append(p)
}

// Append adds bytes and writes to the stream whenever the buffer is full. The next Flush returns an error of the stream.
func (b *RingBuffer) Append(p []byte) {
	for n := 0; n < len(p); {
		if b.Buffered() == len(b.buf) && b.Flush() != nil || b.err != nil {
			return
		}
		copied := copy(b.contiguous(b.filled, len(b.buf)-b.Buffered()), p[n:])
		b.filled += copied
		n += copied
	}
}

// Flush writes all buffered bytes to the stream. After an error every call returns it.
func (b *RingBuffer) Flush() error { return b.FlushExcept(0) }

// FlushExcept writes all buffered bytes except the last heldBack bytes.
func (b *RingBuffer) FlushExcept(heldBack int) error {
	for b.Buffered() > heldBack && b.err == nil {
		n, err := b.Stream.Write(b.contiguous(b.taken, b.Buffered()-heldBack))
		b.taken += n
		b.err = err
	}
	return b.err
}

// TrimBuffer returns b, or nil if its capacity is over MinBuffer, so that one large body does not hold memory for long.
func TrimBuffer(b []byte) []byte {
	if cap(b) > MinBuffer {
		return nil
	}
	return b
}
