package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// ClientResponse is what a client is answered.
type ClientResponse struct {
	Status      int    // of HTTP
	ContentType string // empty: not given
	RetryAfter  time.Duration
	Body        []byte
	Close       bool // the connection ends with it
}

// The statuses of requests, with which gRPC's are paired.
const (
	StatusCompleted = http.StatusOK
	StatusDenied    = http.StatusForbidden          // by the authoriser
	StatusRejected  = http.StatusServiceUnavailable // nothing has run: trying again is harmless
	StatusFailed    = http.StatusBadGateway         // it may have run
)

// AppendResponseHead appends the head of a response, which its body follows. Retry-After is in seconds, with
// milliseconds; it is left out where it is 0.
func AppendResponseHead(b []byte, r *ClientResponse) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.ContentType != "" {
		b = append(b, "\r\n"+headerContentType+": "...)
		b = append(b, r.ContentType...)
	}
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, r.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}
