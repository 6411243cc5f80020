package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// MaxHead is the most bytes that a request's head may have.
const MaxHead = 16 << 10

const (
	maxIDBytes = 128
	maxTimeout = time.Hour
	maxUnits   = 1e9 // a request's units are below it

	customerBits   = 33 // of a customer's number
	customerDigits = 16 // hexadecimal, that it is written in

	// chunkedOverhead bounds the bytes of a body as it came, times MaxBody: chunks have frames.
	chunkedOverhead = 4
)

// Request is a client's request. Class and plan are as they came; the facade finds what they name.
type Request struct {
	Method, URI, Host           string
	ContentType, IdempotencyKey string // passed on as they are; empty: not given
	ID                          string // of the request, the same for all its attempts
	Class, Plan                 string
	Customer                    uint64        // below 2^33
	Timeout                     time.Duration // how long the client waits, at most an hour
	Units                       float64       // what the request is expected to cost, 0 to below 1e9
	Spread, FirstNode           int           // the customer's set: how many nodes, at least 1, and the first one
	Body                        []byte        // at most MaxBody bytes
	Close                       bool          // the client wants no further request on this connection
}

// Source is what a request is read from.
type Source interface {
	// Allow lets the reader hand out so many bytes from now on, and ErrHeadTooLarge after them.
	Allow(bytes int)
	// Continue tells the client that its body is awaited (100 Continue).
	Continue() error
	// ContentLengthLines is how many Content-Length lines the head had, as it came.
	ContentLengthLines() int
}

// ReadRequest reads one request from br, which reads from src. Its body is appended to body[:0]. An error is a
// *RequestError, or what src.Continue returned; where the connection broke, which its reader knows, it says nothing.
// After an error the request is partly read: only its body, for the buffer, is of use.
func ReadRequest(br *bufio.Reader, src Source, r *Request, body []byte) error {
	src.Allow(MaxHead)
	parsed, err := http.ReadRequest(br)
	if err != nil {
		return malformed(err)
	}
	*r = Request{Method: parsed.Method, URI: parsed.RequestURI, Host: parsed.Host, Close: parsed.Close, Body: body[:0]}
	if err := r.readBody(parsed, src, body); err != nil {
		return err
	}
	if r.ForNode() {
		return nil
	}
	timeout, weight, err := r.readHeaders(parsed.Header)
	if err != nil {
		return err
	}
	if err := r.readPath(parsed.URL); err != nil {
		return err
	}
	if !validID(r.ID) {
		return badRequest("malformed " + HeaderRequestID)
	}
	if !r.readTimeout(timeout) {
		return badRequest("malformed " + HeaderTimeout)
	}
	if !r.readWeight(weight) {
		return badRequest("malformed " + HeaderWeight)
	}
	return nil
}

// readBody reads a request's body, once its head is found to say in one way how long it is.
func (r *Request) readBody(parsed *http.Request, src Source, body []byte) error {
	// Of two lengths the parser quietly drops one: another request may hide in what is left. It refuses a client that
	// repeats the same length too, which none has reason to.
	if n := src.ContentLengthLines(); n > 1 || n > 0 && len(parsed.TransferEncoding) > 0 {
		return badRequest("more than one length")
	}
	if parsed.ContentLength > MaxBody {
		return tooLarge(nil)
	}
	if parsed.ContentLength == 0 {
		return nil
	}
	if strings.EqualFold(parsed.Header.Get(headerExpect), "100-continue") {
		if err := src.Continue(); err != nil {
			return err
		}
	}
	src.Allow(chunkedOverhead * MaxBody)
	var err error
	if r.Body, err = readBody(parsed.Body, body); err == nil {
		return nil
	}
	if errors.Is(err, errBodyTooLarge) {
		return tooLarge(err)
	}
	return malformed(err)
}

// readHeaders takes the headers that are passed on, and gives those that are yet to be read: the timeout and the weight.
func (r *Request) readHeaders(header http.Header) (timeout, weight string, err error) {
	h := singleHeaders{header: header}
	r.ContentType, r.IdempotencyKey = h.get(headerContentType), h.get(headerIdempotencyKey)
	r.ID, r.Plan = h.get(HeaderRequestID), h.get(HeaderPlan)
	timeout, weight = h.get(HeaderTimeout), h.get(HeaderWeight)
	if h.err == nil && !printable(r.Host) {
		h.err = badRequest("odd Host")
	}
	return timeout, weight, h.err
}

// singleHeaders gives the values of headers that may be there once. Of several that are not, err names the last.
type singleHeaders struct {
	header http.Header
	err    error
}

// get is the value of the header with a canonical name, or empty.
func (h *singleHeaders) get(name string) string {
	values := h.header[name]
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 || !printable(values[0]) {
		h.err = badRequest("odd " + name)
	}
	return values[0]
}

// readPath takes the class from the path's first part and the customer from its last.
func (r *Request) readPath(u *url.URL) error {
	path := strings.Trim(u.Path, "/")
	first, last := strings.IndexByte(path, '/'), strings.LastIndexByte(path, '/')
	if first < 0 {
		return &RequestError{Status: http.StatusNotFound, Reason: "path names no band and customer"}
	}
	r.Class = path[:first]
	customer := path[last+1:]
	var err error
	if r.Customer, err = strconv.ParseUint(customer, 16, customerBits); err != nil || len(customer) != customerDigits {
		return &RequestError{Status: http.StatusBadRequest, Reason: "malformed customer", Err: err}
	}
	return nil
}

// readTimeout reads whole milliseconds above 0, and takes at most an hour of them.
func (r *Request) readTimeout(text string) bool {
	ms, err := strconv.ParseUint(text, 10, 32)
	r.Timeout = min(time.Duration(ms)*time.Millisecond, maxTimeout)
	return err == nil && ms > 0
}

// FormatWeight returns the value of HeaderWeight for a request with the given units. Its customer's node set has spread nodes
// from firstNode on.
func FormatWeight(units float64, spread, firstNode int) string {
	return fmt.Sprintf("%s=%g,%s=%d,%s=%d", weightUnits, units, weightSpread, spread, weightFirstNode, firstNode)
}

// readWeight reads units=2,spread=3,first=1 in any order. Names that are not known are passed over.
func (r *Request) readWeight(text string) bool {
	var err error
	hasUnits, hasSpread, hasFirst := false, false, false
	for text != "" && err == nil {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case weightUnits:
			hasUnits = true
			r.Units, err = strconv.ParseFloat(value, 64)
		case weightSpread:
			hasSpread = true
			r.Spread, err = strconv.Atoi(value)
		case weightFirstNode:
			hasFirst = true
			r.FirstNode, err = strconv.Atoi(value)
		}
	}
	return err == nil && hasUnits && hasSpread && hasFirst && r.validWeight()
}

// Validate returns what of a request that another protocol brought could not have come over HTTP/1.1: it looks at what
// ReadRequest looks at, but for the class, plan and timeout.
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
		return errOddHeader
	}
	return nil
}

// ForNode reports whether the request is for the node itself, not for an app server.
func (r *Request) ForNode() bool { return r.URI == HealthPath }

// validWeight reports whether units and set are within their ranges; a NaN is in none.
func (r *Request) validWeight() bool {
	return r.Units >= 0 && r.Units < maxUnits && r.Spread > 0 && r.FirstNode >= 0
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, " \t")
}

// printable reports whether a header's value can be passed on as it is.
func printable(value string) bool {
	return !strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
