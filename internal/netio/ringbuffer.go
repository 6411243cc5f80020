package netio

import (
	"bufio"
	"errors"
	"io"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// MessageTimeout is the maximum time for reading one message. For the first message of a connection it starts at the accept.
// A client that sends no complete request is therefore disconnected well before the 3 s that the platform allows.
const MessageTimeout = 2 * time.Second

// Buffer sizes in bytes.
const (
	ParserBuffer = 2 << 10          // maximum number of bytes that a parser reads past the end of a message
	MinBuffer    = 2 * ParserBuffer // minimum size of the buffer for one direction of a connection
	maxBuffer    = 64 << 10         // maximum size of the buffer for one direction of a connection
)

// parserPool holds the buffered readers from which messages are parsed. A connection has one only while it reads a message,
// because a node has many idle connections and a reader's buffer is large.
var parserPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, ParserBuffer) }}

// BorrowParser returns a buffered reader of source from the pool. The caller returns it with ReturnParser.
func BorrowParser(source io.Reader) *bufio.Reader {
	parser := parserPool.Get().(*bufio.Reader)
	parser.Reset(source)
	return parser
}

// ReturnParser returns a reader of BorrowParser to the pool.
func ReturnParser(parser *bufio.Reader) {
	parser.Reset(nil)
	parserPool.Put(parser)
}

// bufferPool holds the memory of buffers that were released. Only buffers with bytes in them need memory, and most connections are
// idle.
var bufferPool sync.Pool

// borrowMemory returns size bytes of memory, from the pool if it has some of that size.
func borrowMemory(size int) []byte {
	if memory, ok := bufferPool.Get().(*[]byte); ok && len(*memory) == size {
		return *memory
	}
	return make([]byte, size)
}

// RingBuffer is the buffer of one direction of a connection. One goroutine uses it at a time.
type RingBuffer struct {
	Stream io.ReadWriter // source of a read buffer, or destination of a write buffer

	conn          readDeadliner // receives the read deadline of each message; nil if the caller sets deadlines
	arrivals      *ArrivalTimes // arrival times of the buffered bytes; nil if they are not recorded
	buf           []byte        // memory of the buffer; nil until Allocate
	taken, filled int           // positions of the next byte to take out and to put in
	allowed       int           // number of bytes that Read may still return
	err           error         // first error of Stream, which later calls also return; ReadMore clears a timeout
	deadlineSet   bool          // true if the read deadline of the current message is set
}

// NewRingBuffer returns a buffer of the given size in bytes. The caller sets the deadlines of stream.
func NewRingBuffer(stream io.ReadWriter, size int) RingBuffer {
	return RingBuffer{Stream: stream, buf: make([]byte, size)}
}

// NewMessageBuffer returns a buffer that sets a read deadline on conn for each message. It records the arrival times of bytes
// if arrivals is not nil. The buffer has no memory until Allocate.
func NewMessageBuffer(conn readDeadliner, stream io.ReadWriter, arrivals *ArrivalTimes) RingBuffer {
	return RingBuffer{Stream: stream, conn: conn, arrivals: arrivals}
}

// Allocate allocates size bytes for a buffer that has no memory.
func (b *RingBuffer) Allocate(size int) {
	if b.buf == nil {
		b.buf = borrowMemory(size)
	}
}

// Free releases the memory of an empty buffer until the next Allocate. A buffer with bytes in it keeps its memory.
func (b *RingBuffer) Free() {
	if b.buf == nil || !b.Empty() {
		return
	}
	memory := b.buf
	b.buf = nil
	bufferPool.Put(&memory)
}

// SetMessageDeadline sets the read deadline of the current message, for which Read then sets none.
func (b *RingBuffer) SetMessageDeadline(at time.Time) {
	b.deadlineSet = true
	SetReadDeadline(b.conn, at)
}

// Err returns the first error of the stream.
func (b *RingBuffer) Err() error { return b.err }

// Taken returns the number of bytes taken out of a read buffer since its creation, without those that EndMessage put back.
func (b *RingBuffer) Taken() int { return b.taken }

// Filled returns the number of bytes put into a read buffer since its creation.
func (b *RingBuffer) Filled() int { return b.filled }

// Empty reports whether the buffer holds no bytes.
func (b *RingBuffer) Empty() bool { return b.taken == b.filled }

// Buffered returns the number of buffered bytes.
func (b *RingBuffer) Buffered() int { return b.filled - b.taken }

// Peek returns buffered bytes without taking them out. They are valid until the next read. At the end of the memory they may be
// fewer than Buffered.
func (b *RingBuffer) Peek() []byte {
	if b.Empty() {
		return nil
	}
	return b.contiguous(b.taken, b.Buffered())
}

// Wait blocks until the buffer holds a byte or the stream fails. It returns ErrReadAheadStopped if the stream does, which does not
// affect later calls.
func (b *RingBuffer) Wait() error {
	for b.Empty() && b.err == nil {
		if err := b.fill(); errors.Is(err, ErrReadAheadStopped) {
			return err
		}
	}
	if !b.Empty() {
		return nil
	}
	return b.err
}

// readSpace returns the number of bytes that a read may put in. A read must not overwrite the last ParserBuffer bytes that
// were taken out, because EndMessage may put them back.
func (b *RingBuffer) readSpace() int { return len(b.buf) - ParserBuffer - b.Buffered() }

// contiguous returns the part of buf that begins at a position. It has size bytes, or fewer at the end of buf.
func (b *RingBuffer) contiguous(position, size int) []byte {
	at := position % len(b.buf)
	return b.buf[at:min(len(b.buf), at+size)]
}

// fill reads from Stream once, and returns the error of a read without bytes. The buffer must not be Full.
func (b *RingBuffer) fill() error {
	n, err := b.Stream.Read(b.contiguous(b.filled, b.readSpace()))
	b.filled += n
	switch {
	case n == 0 && errors.Is(err, ErrReadAheadStopped):
		return err
	case n == 0:
		b.err = err
		return err
	case b.arrivals != nil:
		b.arrivals.Add(b.filled, time.Now())
	}
	return nil
}

// Read returns buffered bytes, and waits if there are none. In a buffer of NewMessageBuffer, the first wait within a message
// sets the message's deadline to MessageTimeout later. Once Read has returned as many bytes as Allow set, it returns
// protocol.ErrHeadTooLarge.
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

// ReadMore reads once into a buffer that is not Full. It returns the stream's error, or nil if only a deadline passed.
// ErrReadAheadStopped does not affect later calls.
func (b *RingBuffer) ReadMore() error {
	if b.err == nil {
		if err := b.fill(); errors.Is(err, ErrReadAheadStopped) {
			return err
		}
	}
	if TimedOut(b.err) {
		b.err = nil
	}
	return b.err
}

// Full reports whether the buffer has no space for a read.
func (b *RingBuffer) Full() bool { return b.readSpace() <= 0 }

// Discard removes the buffered bytes.
func (b *RingBuffer) Discard() { b.taken = b.filled }

// Allow sets the number of bytes that Read may return from now on.
func (b *RingBuffer) Allow(bytes int) { b.allowed = bytes }

// EndMessage puts back the bytes that the parser read past the end of a message, and clears the message's deadline.
func (b *RingBuffer) EndMessage(parser *bufio.Reader) {
	b.taken -= parser.Buffered()
	if b.deadlineSet {
		b.deadlineSet = false
		SetReadDeadline(b.conn, time.Time{})
	}
}

// AvailableBuffer returns an empty slice over the free space. The caller appends to the slice and passes it to Commit.
func (b *RingBuffer) AvailableBuffer() []byte {
	if b.Empty() {
		b.taken, b.filled = 0, 0
	}
	free := b.contiguous(b.filled, len(b.buf)-b.Buffered())
	return free[:0:len(free)]
}

// Commit adds p, the slice of AvailableBuffer with the appended bytes. If the appends have moved p to a larger array, Commit
// copies the bytes.
func (b *RingBuffer) Commit(p []byte) {
	if len(p) > 0 && &p[0] == &b.buf[b.filled%len(b.buf)] {
		b.filled += len(p)
		return
	}
	b.Append(p)
}

// Append adds bytes, and writes to the stream whenever the buffer is full. If the stream fails, the next Flush returns the
// error.
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

// Flush writes all buffered bytes to the stream. After an error, every call returns that error.
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

// maxKeptBody is the largest capacity of a body's buffer that a connection keeps for its next message, in bytes.
const maxKeptBody = 1 << 10

// TrimBuffer returns b, or nil if the capacity of b exceeds maxKeptBody, so that one large body does not hold memory for long.
func TrimBuffer(b []byte) []byte {
	if cap(b) > maxKeptBody {
		return nil
	}
	return b
}
