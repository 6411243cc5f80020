package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// ClientResponse is the response to a client.
type ClientResponse struct {
	Status      int           // HTTP status code
	ContentType string        // Content-Type header; empty if there is none
	RetryAfter  time.Duration // Retry-After header; 0 or less if there is none
	Body        []byte
	Close       bool // true if the node closes the connection after the response
	ToHead      bool // true for the response to a request with method HEAD: it has no body, and Body must be empty
}

// HTTP statuses of the responses to requests. The gRPC front end maps them to gRPC status codes.
const (
	// StatusCompleted is the status of a request that was executed.
	StatusCompleted = http.StatusOK
	// StatusDenied is the status of a request that the authorizer denied.
	StatusDenied = http.StatusForbidden
	// StatusRejected is the status of a request that was not executed. The client may retry it.
	StatusRejected = http.StatusServiceUnavailable
	// StatusFailed is the status of a request that may have been executed.
	StatusFailed = http.StatusBadGateway
)

// AppendResponseHead appends the head of a response to b. The caller sends the body after it. Retry-After is in seconds with
// three decimals.
func AppendResponseHead(b []byte, r *ClientResponse) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	if !r.ToHead { // The length would have to be that of the response to GET (RFC 9110, section 8.6).
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
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
