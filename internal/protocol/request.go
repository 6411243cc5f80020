// Package protocol reads and writes what passes on the wire: tickets of clients and their answers,
// executions at app servers, discovery's list and peers' datagrams. It holds no sockets and decides nothing.
package protocol

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of what is taken in.
const (
	MaxBody  = 64 << 10 // bytes of a body
	MaxHead  = 16 << 10 // bytes of a request's head
	mostWord = 128      // bytes of an id
	mostTime = time.Hour

	customerBits = 33 // a customer's number
	mostDigits   = 16 // in which it is written
)

// Request is a client's request. Words are as they came; the facade maps them.
type Request struct {
	Method, URI, Host           string
	ContentType, IdempotencyKey string // Content-Type and Idempotency-Key, passed on
	ID, Class, Plan             string
	Customer                    uint64
	Timeout                     time.Duration
	Units                       float64
	Spread, FirstNode           int
	Body                        []byte
	Close                       bool // the client wants no further request on this connection
}

// RequestError is input that gets a status of its own and a close.
type RequestError struct {
	Status int
	Reason string
}

func (b *RequestError) Error() string { return b.Reason }

// ErrHeadTooLarge is what a reader returns once a head is longer than MostHead.
var ErrHeadTooLarge = &RequestError{http.StatusRequestHeaderFieldsTooLarge, "head too large"}

// Source is what a request is read from.
type Source interface {
	Allow(bytes int)         // hand out so many from now on, then ErrHead
	Continue() error         // tell the client that its body is awaited
	ContentLengthLines() int // Content-Length lines of the head, as it came
}

// ReadRequest reads one request from br, which reads from src. Its body is appended to body[:0]. Where the
// connection broke, which its reader knows, the error says nothing.
func ReadRequest(br *bufio.Reader, src Source, r *Request, body []byte) error {
	src.Allow(MaxHead)
	q, err := http.ReadRequest(br)
	if err != nil {
		return fault(err)
	}
	*r = Request{Method: q.Method, URI: q.RequestURI, Host: q.Host, Close: q.Close, Body: body[:0]}
	// Two words on where the body ends, of which the parser quietly drops one: another request may hide in it.
	// It refuses a client that repeats the same length, which none has reason to.
	if n := src.ContentLengthLines(); n > 1 || n > 0 && len(q.TransferEncoding) > 0 {
		return &RequestError{http.StatusBadRequest, "more than one length"}
	}
	if q.ContentLength > MaxBody {
		return &RequestError{http.StatusRequestEntityTooLarge, "body too large"}
	}
	if q.ContentLength != 0 {
		if strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
			if err := src.Continue(); err != nil {
				return err
			}
		}
		src.Allow(4 * MaxBody) // chunks have frames
		if r.Body, err = readBody(q.Body, body); err != nil {
			if errors.Is(err, errBody) {
				return &RequestError{http.StatusRequestEntityTooLarge, "body too large"}
			}
			return fault(err)
		}
	}
	if r.ForNode() {
		return nil
	}
	var odd error
	word := func(name string) string {
		v := q.Header[name]
		if len(v) > 1 || len(v) == 1 && !plain(v[0]) {
			odd = &RequestError{http.StatusBadRequest, "odd " + name}
		}
		if len(v) == 0 {
			return ""
		}
		return v[0]
	}
	r.ContentType, r.IdempotencyKey = word("Content-Type"), word("Idempotency-Key")
	r.ID, r.Plan = word("X-Call-Id"), word("X-Tariff")
	budget, weight := word("X-Budget-Ms"), word("X-Weight")
	if odd != nil || !plain(r.Host) {
		return cmp.Or(odd, error(&RequestError{http.StatusBadRequest, "odd Host"}))
	}
	path := strings.Trim(q.URL.Path, "/")
	first, last := strings.IndexByte(path, '/'), strings.LastIndexByte(path, '/')
	if first < 0 {
		return &RequestError{http.StatusNotFound, "path names no band and customer"}
	}
	r.Class = path[:first]
	if r.Customer, err = strconv.ParseUint(path[last+1:], 16, customerBits); err != nil || len(path)-last-1 != mostDigits {
		return &RequestError{http.StatusBadRequest, "malformed customer"}
	}
	if r.ID == "" || len(r.ID) > mostWord || strings.ContainsAny(r.ID, " \t") {
		return &RequestError{http.StatusBadRequest, "malformed X-Call-Id"}
	}
	ms, err := strconv.ParseUint(budget, 10, 32)
	if err != nil || ms == 0 {
		return &RequestError{http.StatusBadRequest, "malformed X-Budget-Ms"}
	}
	r.Timeout = min(time.Duration(ms)*time.Millisecond, mostTime)
	if !r.weight(weight) {
		return &RequestError{http.StatusBadRequest, "malformed X-Weight"}
	}
	return nil
}

// Validate tells what of a request that another protocol brought could not have come over HTTP/1.1: the words and figures
// that ReadRequest looks at.
func (r *Request) Validate() error {
	switch {
	case r.ID == "" || len(r.ID) > mostWord || strings.ContainsAny(r.ID, " \t") || !plain(r.ID):
		return errors.New("malformed id")
	case r.Customer>>customerBits > 0:
		return errors.New("malformed customer")
	case !(r.Units >= 0 && r.Units < 1e9) || r.Spread <= 0 || r.FirstNode < 0:
		return errors.New("malformed units or set")
	case len(r.Body) > MaxBody:
		return errBody
	case !plain(r.ContentType) || !plain(r.IdempotencyKey) || len(r.ContentType)+len(r.IdempotencyKey) > MaxHead/2:
		return errors.New("odd type or key")
	}
	return nil
}

// plain tells whether a header's value can be passed on as it is.
func plain(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// ForNode tells whether the request is for the node itself.
func (r *Request) ForNode() bool { return r.URI == "/healthz" }

// weight reads units=2,spread=3,first=1. Names that are not known are passed over.
func (r *Request) weight(s string) bool {
	var err error
	units, spread, first := false, false, false
	for s != "" && err == nil {
		var field string
		field, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "units":
			units = true
			r.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			spread = true
			r.Spread, err = strconv.Atoi(value)
		case "first":
			first = true
			r.FirstNode, err = strconv.Atoi(value)
		}
	}
	return err == nil && units && spread && first &&
		r.Units >= 0 && r.Units < 1e9 && r.Spread > 0 && r.FirstNode >= 0 // a NaN is neither
}

var errBody = errors.New("body too large")

// readBody appends a body to buf[:0], at most MostBody bytes.
func readBody(r io.Reader, buf []byte) ([]byte, error) {
	buf = buf[:0]
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), MaxBody+1)])
		buf = buf[:len(buf)+n]
		if len(buf) > MaxBody {
			return buf, errBody
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// fault is the client's error, unless the reader gave one of its own to be told.
func fault(err error) error {
	if bad := (*RequestError)(nil); errors.As(err, &bad) {
		return err
	}
	return &RequestError{http.StatusBadRequest, "malformed request"}
}
