// Package protocol reads and writes what passes on the wire: tickets of clients and their answers,
// executions at app servers, discovery's list and peers' datagrams. It holds no sockets and decides nothing.
package protocol

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of what is taken in.
const (
	MostBody = 64 << 10 // bytes of a body
	MostHead = 16 << 10 // bytes of a request's head
	mostWord = 128      // bytes of an id
	mostTime = time.Hour
)

// Request is a client's request. Words are as they came; the facade maps them.
type Request struct {
	Method, URI, Host string
	Type, Key         string // Content-Type and Idempotency-Key, passed on
	ID, Band, Plan    string
	Customer          uint64
	Budget            time.Duration
	Units             float64
	Spread, First     int
	Body              []byte
	Close             bool // the client wants no further request on this connection
}

// Bad is input that gets a status of its own and a close.
type Bad struct {
	Status int
	Why    string
}

func (b *Bad) Error() string { return b.Why }

// ErrHead is what a reader returns once a head is longer than MostHead.
var ErrHead = &Bad{http.StatusRequestHeaderFieldsTooLarge, "head too large"}

// Source is what a request is read from.
type Source interface {
	Allow(bytes int) // hand out so many from now on, then ErrHead
	Continue() error // tell the client that its body is awaited
}

// ReadRequest reads one request from br, which reads from src. Its body is appended to body[:0]. Where the
// connection broke, which its reader knows, the error says nothing.
func ReadRequest(br *bufio.Reader, src Source, r *Request, body []byte) error {
	src.Allow(MostHead)
	q, err := http.ReadRequest(br)
	if err != nil {
		return fault(err)
	}
	*r = Request{Method: q.Method, URI: q.RequestURI, Host: q.Host, Close: q.Close, Body: body[:0]}
	if q.ContentLength > MostBody {
		return &Bad{http.StatusRequestEntityTooLarge, "body too large"}
	}
	if q.ContentLength != 0 {
		if strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
			if err := src.Continue(); err != nil {
				return err
			}
		}
		src.Allow(4 * MostBody) // chunks have frames
		if r.Body, err = readBody(q.Body, body); err != nil {
			if errors.Is(err, errBody) {
				return &Bad{http.StatusRequestEntityTooLarge, "body too large"}
			}
			return fault(err)
		}
	}
	r.Type, r.Key = q.Header.Get("Content-Type"), q.Header.Get("Idempotency-Key")
	r.ID, r.Plan = q.Header.Get("X-Call-Id"), q.Header.Get("X-Tariff")
	if r.Own() {
		return nil
	}
	path := strings.Trim(q.URL.Path, "/")
	first, last := strings.IndexByte(path, '/'), strings.LastIndexByte(path, '/')
	if first < 0 {
		return &Bad{http.StatusNotFound, "path names no band and customer"}
	}
	r.Band = path[:first]
	if r.Customer, err = strconv.ParseUint(path[last+1:], 16, 64); err != nil {
		return &Bad{http.StatusBadRequest, "malformed customer"}
	}
	if r.ID == "" || len(r.ID) > mostWord {
		return &Bad{http.StatusBadRequest, "malformed X-Call-Id"}
	}
	ms, err := strconv.ParseUint(q.Header.Get("X-Budget-Ms"), 10, 32)
	if err != nil {
		return &Bad{http.StatusBadRequest, "malformed X-Budget-Ms"}
	}
	r.Budget = min(time.Duration(ms)*time.Millisecond, mostTime)
	if !r.weight(q.Header.Get("X-Weight")) {
		return &Bad{http.StatusBadRequest, "malformed X-Weight"}
	}
	return nil
}

// Own tells whether the request is for the node itself.
func (r *Request) Own() bool { return r.URI == "/healthz" }

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
			r.First, err = strconv.Atoi(value)
		}
	}
	return err == nil && units && spread && first &&
		r.Units >= 0 && r.Units < 1e9 && r.Spread > 0 && r.First >= 0 // a NaN is neither
}

var errBody = errors.New("body too large")

// readBody appends a body to buf[:0], at most MostBody bytes.
func readBody(r io.Reader, buf []byte) ([]byte, error) {
	buf = buf[:0]
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), MostBody+1)])
		buf = buf[:len(buf)+n]
		if len(buf) > MostBody {
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
	if bad := (*Bad)(nil); errors.As(err, &bad) {
		return err
	}
	return &Bad{http.StatusBadRequest, "malformed request"}
}
