package protocol

import (
	"bufio"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// ServerResponse is an app server's response to an attempt.
type ServerResponse struct {
	Outcome     Outcome
	ContentType string  // Content-Type header; empty if the response has none
	Body        []byte  // body of at most MaxBody bytes
	Units       float64 // actual cost of the request in units; 0 if the response does not state it
	Close       bool    // true if the connection must not carry another request; also true after status 101
}

// AppendAttempt appends the head of an attempt to b. The caller sends the request's body after it. HeaderTimeout is
// the timeout in milliseconds, rounded down.
func AppendAttempt(b []byte, r *Request, timeout time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"+HeaderRequestID+": "...)
	b = append(b, r.ID...)
	b = append(b, "\r\n"+HeaderTimeout+": "...)
	b = strconv.AppendInt(b, timeout.Milliseconds(), 10)
	if r.IdempotencyKey != "" {
		b = append(b, "\r\n"+headerIdempotencyKey+": "...)
		b = append(b, r.IdempotencyKey...)
	}
	if r.ContentType != "" {
		b = append(b, "\r\n"+headerContentType+": "...)
		b = append(b, r.ContentType...)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// AppendHealthCheck appends a health check of an app server to b. host is the server's address. A health check has no
// request id.
func AppendHealthCheck(b []byte, host string) []byte {
	b = append(b, "GET "+HealthPath+" HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// ErrMalformedResponse is the error for a response that is not HTTP, is truncated, or has a body over MaxBody.
var ErrMalformedResponse = errors.New("malformed response")

// ReadServerResponse reads an app server's final response to a request with the given method, and skips interim ones before it. It
// appends the body to body[:0], and accounts for the memory of a large response; memory may be nil. The only error is ErrMalformedResponse, which also replaces an error of br's reader. After an error only Body is valid: it
// has the part that was read.
func ReadServerResponse(br *bufio.Reader, method string, body []byte, memory Memory) (ServerResponse, error) {
	head, err := readFinalHead(br, method, memory)
	if err != nil || head.length > MaxBody {
		return ServerResponse{}, ErrMalformedResponse
	}
	r := ServerResponse{Outcome: Errored, ContentType: head.fields.get(headerContentType), Close: head.closes}
	if r.Body, err = readBody(br, head.length, body, memory); err != nil {
		return r, ErrMalformedResponse
	}
	r.Outcome, r.Units = outcomeOf(&head), actualUnits(head.fields)
	return r, nil
}

// outcomeOf returns the outcome of an attempt with a complete response. HeaderRejected proves that the attempt was not
// executed, but only together with status 503 or 504.
func outcomeOf(head *responseHead) Outcome {
	switch head.status {
	case http.StatusOK:
		return Completed
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if head.fields.get(HeaderRejected) == RejectedValue {
			return Overloaded
		}
	}
	return Errored
}

// actualUnits returns the value of HeaderUnits, or 0 if it is missing or invalid.
func actualUnits(fields headerFields) float64 {
	units, err := strconv.ParseFloat(fields.get(HeaderUnits), 64)
	if err != nil || !(units > 0 && units < maxUnits) {
		return 0
	}
	return units
}
