package protocol

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http/httputil"
	"strconv"
	"strings"
)

// Errors of a head that does not delimit the message's body unambiguously. Recipients that tolerate such a head read the body
// up to different bytes. The rest is another message to some of them, which allows request smuggling and response splitting
// (RFC 9112, sections 11.1 and 11.2).
var (
	errLengthRepeated  = errors.New("body length stated more than once")
	errLengthsDiffer   = errors.New("different values of Content-Length")
	errLengthMalformed = errors.New("malformed Content-Length")
	errCodingVersion   = errors.New("Transfer-Encoding in a message below HTTP/1.1")
	errCodingUnknown   = errors.New("Transfer-Encoding other than chunked")
)

// Headers that delimit a body.
const (
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
)

// bodyLength is the length of a body in bytes, or one of the constants below.
type bodyLength int64

const (
	// lengthChunked is a body in chunks.
	lengthChunked bodyLength = -1
	// lengthUnstated is a head that states no length. A request then has no body, and a response has one up to the
	// connection's end.
	lengthUnstated bodyLength = -2
)

// statedLength returns the length of the message's body as the head states it (RFC 9112, sections 6.1 and 6.3). A head with
// both headers, with different lengths, or with Transfer-Encoding in a message below HTTP/1.1 is an error.
func (h *messageHead) statedLength() (bodyLength, error) {
	codings, lengths := h.header[headerTransferEncoding], h.header[headerContentLength]
	switch {
	case len(codings) == 0 && len(lengths) == 0:
		return lengthUnstated, nil
	case len(codings) == 0:
		return parseLengths(lengths)
	case len(lengths) > 0:
		return 0, errLengthRepeated
	case h.minorVersion == 0:
		return 0, errCodingVersion
	case len(codings) > 1 || !strings.EqualFold(codings[0], "chunked"):
		return 0, errCodingUnknown
	}
	return lengthChunked, nil
}

// parseLengths parses the values of Content-Length, which must be equal.
func parseLengths(values []string) (bodyLength, error) {
	for _, value := range values[1:] {
		if value != values[0] {
			return 0, errLengthsDiffer
		}
	}
	length, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || length > math.MaxInt64 {
		return 0, errLengthMalformed
	}
	return bodyLength(length), nil
}

// bodyReader returns a reader of the body that follows the head in br. It returns io.EOF at the end of the body, and
// io.ErrUnexpectedEOF if the connection ends before that.
func bodyReader(br *bufio.Reader, length bodyLength) io.Reader {
	switch length {
	case lengthChunked:
		return &chunkedBody{br: br, chunks: httputil.NewChunkedReader(br)}
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
	lines, err := readSection(b.br, strictGrammar)
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	_, err = parseFields(lines, strictGrammar)
	return err
}
