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
	ContentType string  // empty: not given
	Body        []byte  // at most MaxBody bytes
	Units       float64 // what the request cost in truth; 0: not said
	Close       bool    // the connection ends with it
}

// AppendAttempt appends the head of an attempt, which the request's body follows. The app server is given the whole
// milliseconds of timeout.
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

// AppendHealthCheck appends a health check of an app server, whose address is host. It carries no id: it is no request's
// attempt.
func AppendHealthCheck(b []byte, host string) []byte {
	b = append(b, "GET "+HealthPath+" HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// ErrMalformedResponse is a response that an app server can't have meant: not HTTP, cut short, or with a body over
// MaxBody.
var ErrMalformedResponse = errors.New("malformed answer")

// ReadServerResponse reads an app server's response, its body appended to body[:0]. An error is an
// ErrMalformedResponse; where the connection broke, which its reader knows, it says nothing. The response then holds the
// body as far as it came.
func ReadServerResponse(br *bufio.Reader, body []byte) (ServerResponse, error) {
	parsed, err := http.ReadResponse(br, nil)
	for err == nil && interim(parsed.StatusCode) {
		parsed, err = http.ReadResponse(br, nil)
	}
	if err != nil || parsed.ContentLength > MaxBody {
		return ServerResponse{}, ErrMalformedResponse
	}
	r := ServerResponse{Outcome: Errored, ContentType: parsed.Header.Get(headerContentType), Close: parsed.Close}
	if r.Body, err = readBody(parsed.Body, body); err != nil {
		return r, ErrMalformedResponse
	}
	r.Outcome, r.Units = outcomeOf(parsed), trueUnits(parsed.Header)
	return r, nil
}

// interim reports whether a status is followed by the response proper.
func interim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// outcomeOf is the outcome that a whole response tells. Only the two statuses that the platform's table has with
// X-Rejected prove that the attempt never ran.
func outcomeOf(r *http.Response) Outcome {
	switch r.StatusCode {
	case http.StatusOK:
		return Completed
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if r.Header.Get(HeaderRejected) == RejectedValue {
			return Overloaded
		}
	}
	return Errored
}

// trueUnits is what a response says that its request cost; 0 where it says nothing that can be.
func trueUnits(header http.Header) float64 {
	units, err := strconv.ParseFloat(header.Get(HeaderUnits), 64)
	if err != nil || !(units > 0 && units < maxUnits) {
		return 0
	}
	return units
}
