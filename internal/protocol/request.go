package protocol

import (
	"bufio"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// MaxHead is the maximum size of a request's head, in bytes.
const MaxHead = 16 << 10

const (
	// maxIDBytes is the maximum size of a request id, in bytes.
	maxIDBytes = 128
	// maxTimeout is the maximum of Request.Timeout. Longer timeouts are reduced to it.
	maxTimeout = time.Hour
	// maxUnits is an exclusive upper bound of Request.Units.
	maxUnits = 1e9
	// customerBits is the maximum size of a customer's number, in bits.
	customerBits = 33
	// customerDigits is the number of hexadecimal digits of a customer's number in a path.
	customerDigits = 16
	// chunkedBodyFactor limits the encoded size of a chunked body to chunkedBodyFactor*MaxBody bytes.
	chunkedBodyFactor = 4
)

// Request is a client's request.
type Request struct {
	Method         string
	URI            string // path and query as the client sent them
	Host           string
	ContentType    string        // Content-Type header, forwarded unchanged; empty if the request has none
	IdempotencyKey string        // Idempotency-Key header, forwarded unchanged; empty if the request has none
	ID             string        // request id, the same for all attempts of the request
	Class          string        // name of the request class; may be unknown
	Plan           string        // name of the customer's plan; may be unknown or empty
	Customer       uint64        // customer number, below 2^33
	Timeout        time.Duration // time that the client waits for the response, at most 1 hour
	Units          float64       // expected cost in units, 0 to below 1e9
	Spread         int           // number of nodes in the customer's node set, at least 1
	FirstNode      int           // first node of the customer's node set, at least 0
	Body           []byte        // body of at most MaxBody bytes
	Close          bool          // true if the client closes the connection after the response
}

// Source is the connection that a request is read from.
type Source interface {
	// Allow sets the number of bytes that the reader may return from now on. After them the reader returns ErrHeadTooLarge.
	Allow(bytes int)
	// Continue sends an interim response with status 100 (Continue).
	Continue() error
}

// ReadRequest reads a request from br, whose reader reads from src. It appends the body to body[:0]. An error is a
// *RequestError, also after an error of br's reader, or it is the error of src.Continue. After an error only r.Body is
// valid, so that the caller can reuse its buffer.
func ReadRequest(br *bufio.Reader, src Source, r *Request, body []byte) error {
	src.Allow(MaxHead)
	head, err := readMessageHead(br, strictGrammar)
	if err != nil {
		return malformedRequestError(err)
	}
	line, err := head.parseRequestLine()
	if err != nil {
		return malformedRequestError(err)
	}
	*r = Request{Method: line.method, URI: line.target, Host: line.host, Close: head.closesConnection(), Body: body[:0]}
	if err := r.readBody(br, &head, src, body); err != nil {
		return err
	}
	if r.IsNodeHealthCheck() {
		return nil
	}
	unparsed, err := r.readHeaders(head.header)
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
	host   string   // host of an absolute target, otherwise the first Host header; empty if there is none
}

// parseRequestLine parses the start line of a request and sets the head's version.
func (h *messageHead) parseRequestLine() (requestLine, error) {
	method, rest, _ := strings.Cut(h.startLine, " ")
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
	line := requestLine{method: method, target: target, url: parsed, host: parsed.Host}
	if line.host == "" {
		line.host = h.header.Get("Host")
	}
	return line, nil
}

// readBody reads the body of a request. It rejects a head that states the body's length more than once, even with equal
// values.
func (r *Request) readBody(br *bufio.Reader, head *messageHead, src Source, body []byte) error {
	length, err := head.statedLength()
	if err == nil && len(head.header[headerContentLength]) > 1 {
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
	if head.minorVersion > 0 && strings.EqualFold(head.header.Get(headerExpect), "100-continue") {
		if err := src.Continue(); err != nil {
			return err
		}
	}
	src.Allow(chunkedBodyFactor * MaxBody)
	if r.Body, err = readBody(bodyReader(br, length), body); err == nil {
		return nil
	}
	if errors.Is(err, errBodyTooLarge) {
		return bodyTooLargeError(err)
	}
	return malformedRequestError(err)
}

// unparsedHeaders are the values of the headers that the caller of readHeaders must parse.
type unparsedHeaders struct {
	timeout string // value of HeaderTimeout
	weight  string // value of HeaderWeight
}

// readHeaders sets the fields that are unchanged header values, and returns the values that the caller must parse.
func (r *Request) readHeaders(header http.Header) (unparsedHeaders, error) {
	h := singleHeaders{header: header}
	r.ContentType, r.IdempotencyKey = h.get(headerContentType), h.get(headerIdempotencyKey)
	r.ID, r.Plan = h.get(HeaderRequestID), h.get(HeaderPlan)
	unparsed := unparsedHeaders{timeout: h.get(HeaderTimeout), weight: h.get(HeaderWeight)}
	if h.err == nil && !printable(r.Host) {
		h.err = invalidHeaderError("Host")
	}
	return unparsed, h.err
}

// singleHeaders reads headers that may occur at most once.
type singleHeaders struct {
	header http.Header
	err    error // error for the last invalid header; nil if there is none
}

// get returns the value of a header, or "" if it is missing. name is in canonical form. If the header is repeated or not
// printable, get sets the error.
func (h *singleHeaders) get(name string) string {
	values := h.header[name]
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 || !printable(values[0]) {
		h.err = invalidHeaderError(name)
	}
	return values[0]
}

// invalidHeaderError returns a RequestError for a header that is repeated or not printable.
func invalidHeaderError(name string) error { return badRequestError("repeated or unprintable " + name) }

// readPath reads the class from the first segment of the path and the customer from the last one.
func (r *Request) readPath(u *url.URL) error {
	path := strings.Trim(u.Path, "/")
	first, last := strings.IndexByte(path, '/'), strings.LastIndexByte(path, '/')
	if first < 0 {
		return &RequestError{Status: http.StatusNotFound, Reason: "path without request class and customer"}
	}
	r.Class = path[:first]
	customer := path[last+1:]
	var err error
	if r.Customer, err = strconv.ParseUint(customer, 16, customerBits); err != nil || len(customer) != customerDigits {
		return &RequestError{Status: http.StatusBadRequest, Reason: "malformed customer", Err: err}
	}
	return nil
}

// readTimeout parses HeaderTimeout and reports whether it is valid, that is a decimal integer from 1 to 2^32-1.
func (r *Request) readTimeout(text string) bool {
	ms, err := strconv.ParseUint(text, 10, 32)
	r.Timeout = min(time.Duration(ms)*time.Millisecond, maxTimeout)
	return err == nil && ms > 0
}

// readWeight parses HeaderWeight and reports whether it is valid. It accepts any order of the fields and ignores unknown
// fields.
func (r *Request) readWeight(text string) bool {
	var err error
	hasUnits, hasSpread, hasFirst := false, false, false
	for text != "" && err == nil {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case WeightUnits:
			hasUnits = true
			r.Units, err = strconv.ParseFloat(value, 64)
		case WeightSpread:
			hasSpread = true
			r.Spread, err = strconv.Atoi(value)
		case WeightFirstNode:
			hasFirst = true
			r.FirstNode, err = strconv.Atoi(value)
		}
	}
	return err == nil && hasUnits && hasSpread && hasFirst && r.validWeight()
}

// Validate checks a request of another protocol than HTTP/1.1 as strictly as ReadRequest does, except for its class, plan
// and timeout. gRPC clients receive the text of the error.
func (r *Request) Validate() error {
	switch {
	case !validID(r.ID) || !printable(r.ID):
		return errMalformedID
	case r.Customer>>customerBits > 0:
		return errMalformedCustomer
	case !r.validWeight():
		return errMalformedWeight
	case len(r.Body) > MaxBody:
		return errBodyTooLarge
	case !printable(r.ContentType) || !printable(r.IdempotencyKey) || len(r.ContentType)+len(r.IdempotencyKey) > MaxHead/2:
		return errInvalidHeader
	}
	return nil
}

// IsNodeHealthCheck reports whether the request is a health check of the node itself.
func (r *Request) IsNodeHealthCheck() bool { return r.URI == HealthPath }

// validWeight reports whether the units and the node set are within their ranges. NaN units are invalid.
func (r *Request) validWeight() bool {
	return r.Units >= 0 && r.Units < maxUnits && r.Spread > 0 && r.FirstNode >= 0
}

// validID reports whether a request id has 1 to maxIDBytes bytes and no spaces or tabs.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, " \t")
}

// printable reports whether a header's value has no control character except tabs, so that it can be forwarded unchanged.
func printable(value string) bool {
	return !strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
