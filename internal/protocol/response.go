package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// errUnexpectedBody is the error for a response that states a body although its status excludes one.
var errUnexpectedBody = errors.New("body stated in a response with status 1xx, 204 or 304")

// statusDigits is the number of digits of a status code.
const statusDigits = 3

// maxQuotedLine is the maximum number of bytes of a malformed line that an error quotes.
const maxQuotedLine = 100

// responseHead is the head of a final response.
type responseHead struct {
	messageHead
	status int
	length bodyLength // length of the body; lengthUnstated if the body ends with the connection
	closes bool       // true if the connection must not carry another request
}

// readFinalHead reads heads of responses up to the first final one. Interim responses have no body (RFC 9110, section 15.2).
// One with status 101 is interim too: the node requests no other protocol, so a server must not switch to one (section 7.8).
// After it, the server may expect another protocol all the same, so the connection must not carry another request. method is that
// of the request.
func readFinalHead(br *bufio.Reader, method string, memory Memory) (responseHead, error) {
	closes := false
	for {
		head, err := readResponseHead(br, method, memory)
		if err != nil {
			return responseHead{}, err
		}
		head.closes = head.closes || closes
		if head.status >= http.StatusOK {
			return head, nil
		}
		closes = head.closes || head.status == http.StatusSwitchingProtocols
	}
}

// interimStatusClass is the first digit of the status of an interim response, at a fixed offset of the status line.
const (
	interimStatusClass       = '1'
	interimStatusClassOffset = len("HTTP/1.1 ")
)

// BeginsInterimResponse reports whether text begins with the status line of an interim response.
func BeginsInterimResponse(text []byte) bool {
	return bytes.HasPrefix(text, []byte("HTTP/1.")) && len(text) > interimStatusClassOffset && text[interimStatusClassOffset] == interimStatusClass
}

// readResponseHead reads the head of one response to a request with the given method.
func readResponseHead(br *bufio.Reader, method string, memory Memory) (responseHead, error) {
	lines := newSection(br, tolerantGrammar, memory)
	startLine, err := lines.nextLine()
	if err != nil {
		return responseHead{}, err
	}
	var head responseHead
	if err := head.parseStatusLine(startLine); err != nil {
		return responseHead{}, err
	}
	if head.fields, err = lines.readFields(); err != nil {
		return responseHead{}, err
	}
	if head.length, err = head.bodyLength(method); err != nil {
		return responseHead{}, err
	}
	head.closes = head.closesConnection() || head.length == lengthUnstated
	return head, nil
}

// parseStatusLine parses the start line of a response. The status is at least 100: a status with a leading zero belongs to no
// class, so nothing says whether another response follows (RFC 9110, section 15).
func (h *responseHead) parseStatusLine(startLine string) error {
	version, rest, _ := strings.Cut(startLine, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != statusDigits || status < http.StatusContinue {
		return fmt.Errorf("malformed HTTP response %q", startLine[:min(len(startLine), maxQuotedLine)])
	}
	h.status = int(status)
	return h.setVersion(version)
}

// bodyLength returns the length of the body of a response to a request with the given method (RFC 9112, section 6.3). A final
// response to HEAD states the length of a body that it does not have. A response whose status excludes a body must not state one.
// Status 304 may, but only in the response to a conditional request, which the node never sends.
func (h *responseHead) bodyLength(method string) (bodyLength, error) {
	length, err := h.statedLength()
	interim := h.status < http.StatusOK
	excludesBody := interim || h.status == http.StatusNoContent || h.status == http.StatusNotModified
	switch {
	case err != nil:
		return 0, err
	case method == http.MethodHead && !interim:
		return 0, nil
	case !excludesBody:
		return length, nil
	case length == lengthChunked || length > 0:
		return 0, errUnexpectedBody
	}
	return 0, nil
}
