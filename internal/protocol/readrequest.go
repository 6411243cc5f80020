package protocol

import (
	"bufio"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// chunkedBodyFactor limits the encoded size of a chunked body to chunkedBodyFactor*MaxBody bytes.
const chunkedBodyFactor = 4

// Source is the connection that a request is read from.
type Source interface {
	Memory

	// Allow sets the number of bytes that the reader may return from now on. After them the reader returns ErrHeadTooLarge.
	Allow(bytes int)
	// Continue sends an interim response with status 100 (Continue).
	Continue() error
}

// ReadRequest reads a request from br, whose reader reads from src. It appends the body to body[:0], and accounts for the memory
// of a large head or body. An error is a *RequestError, also after an error of br's reader, or it is the error of src.Continue. After an error only r.Body is
// valid, so that the caller can reuse its buffer.
func ReadRequest(br *bufio.Reader, src Source, r *Request, body []byte) error {
	src.Allow(MaxHead)
	head, line, err := readRequestHead(br, src)
	if err != nil {
		return malformedRequestError(err)
	}
	*r = Request{Method: line.method, URI: line.target, Host: line.host(head.fields), Close: head.closesConnection(), Body: body[:0]}
	if err := r.readBody(br, &head, src, body); err != nil {
		return err
	}
	if r.IsNodeHealthCheck() {
		return nil
	}
	unparsed, err := r.readHeaders(head.fields)
	if err != nil {
		return err
	}
	if err := r.readPath(line.url); err != nil {
		return err
	}
	if !validID(r.ID) {
		return badRequestError("malformed " + HeaderRequestID)
	}
	if !r.readTimeout(unparsed.timeout) {
		return badRequestError("malformed " + HeaderTimeout)
	}
	if !r.readWeight(unparsed.weight) {
		return badRequestError("malformed " + HeaderWeight)
	}
	return nil
}

// requestLine is a parsed request line.
type requestLine struct {
	method string
	target string   // request target as the client sent it
	url    *url.URL // parsed target
}

// host returns the host of an absolute target, otherwise the Host header. It is empty if there is none.
func (l requestLine) host(fields headerFields) string {
	if l.url.Host != "" {
		return l.url.Host
	}
	return fields.get(headerHost)
}

// readRequestHead reads the head of a request. Each line is checked before the next one is read, so that malformed input costs little.
func readRequestHead(br *bufio.Reader, memory Memory) (messageHead, requestLine, error) {
	lines := newSection(br, strictGrammar, memory)
	var head messageHead
	startLine, err := lines.nextLine()
	if err != nil {
		return head, requestLine{}, err
	}
	line, err := head.parseRequestLine(startLine)
	if err != nil {
		return head, requestLine{}, err
	}
	head.fields, err = lines.readFields()
	return head, line, err
}

// parseRequestLine parses the start line of a request and sets the head's version.
func (h *messageHead) parseRequestLine(startLine string) (requestLine, error) {
	method, rest, _ := strings.Cut(startLine, " ")
	target, version, _ := strings.Cut(rest, " ")
	if err := h.setVersion(version); err != nil {
		return requestLine{}, err
	}
	if !httpguts.ValidHeaderFieldName(method) { // A method is a token, as a field name is.
		return requestLine{}, errStartLine
	}
	if method == http.MethodConnect {
		return requestLine{}, errConnectMethod
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return requestLine{}, err
	}
	return requestLine{method: method, target: target, url: parsed}, nil
}

// readBody reads the body of a request. It rejects a head that states the body's length more than once, even with equal
// values.
func (r *Request) readBody(br *bufio.Reader, head *messageHead, src Source, body []byte) error {
	length, err := head.statedLength()
	if err == nil && len(head.fields.values(headerContentLength)) > 1 {
		err = errLengthRepeated
	}
	switch {
	case errors.Is(err, errLengthRepeated):
		return &RequestError{Status: http.StatusBadRequest, Reason: err.Error(), Err: err}
	case err != nil:
		return malformedRequestError(err)
	case length > MaxBody:
		return bodyTooLargeError(nil)
	case length == 0 || length == lengthUnstated:
		return nil
	}
	// A client of HTTP/1.0 knows no interim responses (RFC 9110, sections 10.1.1 and 15.2).
	if head.minorVersion > 0 && strings.EqualFold(head.fields.get(headerExpect), "100-continue") {
		if err := src.Continue(); err != nil {
			return err
		}
	}
	src.Allow(chunkedBodyFactor * MaxBody)
	if r.Body, err = readBody(br, length, body, src); err == nil {
		return nil
	}
	if errors.Is(err, errBodyTooLarge) {
		return bodyTooLargeError(err)
	}
	return malformedRequestError(err)
}
