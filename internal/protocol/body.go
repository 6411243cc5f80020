package protocol

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// MaxBody is the maximum size of the body of a request or response, in bytes.
const MaxBody = 64 << 10

// errBodyTooLarge is the error for a body over MaxBody. gRPC clients receive its text.
var errBodyTooLarge = errors.New("body too large")

// readBody reads a body from br and appends it to buf[:0]. After MaxBody+1 bytes it stops and returns errBodyTooLarge. After an
// error of memory it returns that error. A body of a stated length, at most MaxBody, is accounted for before its first byte.
func readBody(br *bufio.Reader, length bodyLength, buf []byte, memory Memory) ([]byte, error) {
	buf = buf[:0]
	if length > 0 {
		var err error
		if buf, err = grow(buf, int(length)+1, uncountedBody, int(length)+1, memory); err != nil {
			return buf, err
		}
	}
	r := bodyReader(br, length, memory)
	for {
		var memoryErr error
		if buf, memoryErr = grow(buf, len(buf)+1, uncountedBody, MaxBody+1, memory); memoryErr != nil {
			return buf, memoryErr
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), MaxBody+1)])
		buf = buf[:len(buf)+n]
		if len(buf) > MaxBody {
			return buf, errBodyTooLarge
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// bodyReader returns a reader of the body that follows the head in br. It returns io.EOF at the end of the body, and
// io.ErrUnexpectedEOF if the connection ends before that.
func bodyReader(br *bufio.Reader, length bodyLength, memory Memory) io.Reader {
	switch length {
	case lengthChunked:
		return &chunkedBody{br: br, memory: memory, chunks: httputil.NewChunkedReader(br)}
	case lengthUnstated:
		return br
	}
	return &fixedBody{rest: io.LimitedReader{R: br, N: int64(length)}}
}

// fixedBody reads a body of a fixed length.
type fixedBody struct {
	rest io.LimitedReader
}

func (b *fixedBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if errors.Is(err, io.EOF) && b.rest.N > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks, including the trailer section, whose fields it checks and ignores.
type chunkedBody struct {
	br     *bufio.Reader
	memory Memory    // accounts for the trailer section
	chunks io.Reader // the chunks' data in br, without the trailer section
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.readTrailer(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// readTrailer reads the trailer section (RFC 9112, section 7.1.2). Its grammar is always strict, because its last line end is part
// of the body's framing. It returns io.ErrUnexpectedEOF if the connection ends
// before the section does.
func (b *chunkedBody) readTrailer() error {
	_, err := newSection(b.br, strictGrammar, b.memory).readFields()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
