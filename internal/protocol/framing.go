package protocol

import (
	"errors"
	"math"
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

// resemblesFramingHeader reports whether a field name is that of a framing header with underscores for hyphens. Recipients that pass
// headers on as CGI variables can't tell the two names apart (RFC 3875, section 4.1.18).
func resemblesFramingHeader(name string) bool {
	hyphenated := strings.ReplaceAll(name, "_", "-")
	return hyphenated != name && (strings.EqualFold(hyphenated, headerContentLength) || strings.EqualFold(hyphenated, headerTransferEncoding))
}

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
	codings, lengths := h.fields.values(headerTransferEncoding), h.fields.values(headerContentLength)
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
