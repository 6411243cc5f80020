package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client is told.
type Answer struct {
	Status int
	Type   string        // Content-Type
	Advice time.Duration // when to come back; 0: not said
	Body   []byte
	Close  bool
}

// The answers that the node words itself.
const (
	StatusCompleted = http.StatusOK
	StatusDenied    = http.StatusForbidden
	StatusBounced   = http.StatusServiceUnavailable
	StatusBrokenOff = http.StatusBadGateway
)

// AppendHead appends the head of an answer; the body follows it.
func AppendHead(b []byte, a *Answer) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	if a.Type != "" {
		b = append(append(b, "\r\nContent-Type: "...), a.Type...)
	}
	if a.Advice > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, a.Advice.Seconds(), 'f', 3, 64)
	}
	if a.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}
