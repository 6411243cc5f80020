package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// ClientResponse is what a client is told.
type ClientResponse struct {
	Status      int
	ContentType string        // Content-Type
	RetryAfter  time.Duration // when to come back; 0: not said
	Body        []byte
	Close       bool
}

// The answers that the node words itself.
const (
	StatusCompleted = http.StatusOK
	StatusDenied    = http.StatusForbidden
	StatusRejected  = http.StatusServiceUnavailable
	StatusFailed    = http.StatusBadGateway
)

// AppendResponseHead appends the head of an answer; the body follows it.
func AppendResponseHead(b []byte, a *ClientResponse) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	if a.ContentType != "" {
		b = append(append(b, "\r\nContent-Type: "...), a.ContentType...)
	}
	if a.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, a.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if a.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}
