package protocol

import (
	"bufio"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Outcome is how an execution ended, as the protocol's table tells it.
type Outcome uint8

// The outcomes. TurnedAway, Unconnected and Unsent prove that the execution never ran.
const (
	Completed         Outcome = iota
	Errored                   // the app server answered with an error: it may have run
	Overloaded                // not looked at
	TimedOut                  // the node stopped waiting: it may have run, or may yet
	ConnectFailed             // no connection, or it broke before the last byte was written
	ConnectionReset           // the connection broke after that: it may have run
	Cancelled                 // the node gave it up
	NotSent                   // the node held it back before its first byte
	MalformedResponse         // what came can't be read, over a connection that stands: it may have run
	OutcomeCount              // how many there are
)

var outcomeNames = [OutcomeCount]string{
	"completed", "errored", "turned_away", "timed_out", "unconnected",
	"broken", "withdrawn", "unsent", "spoilt",
}

func (o Outcome) String() string { return outcomeNames[o] }

// ServerResponse is an app server's answer.
type ServerResponse struct {
	Outcome     Outcome
	ContentType string
	Body        []byte
	Units       float64 // the true units; 0: not told
	Close       bool    // the connection ends with it
}

// AppendAttempt appends an execution's head; the request's body follows it.
func AppendAttempt(b []byte, r *Request, wait time.Duration) []byte {
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(append(b, r.Host...), "\r\nX-Call-Id: "...), r.ID...)
	b = append(b, "\r\nX-Budget-Ms: "...)
	b = strconv.AppendInt(b, wait.Milliseconds(), 10)
	if r.IdempotencyKey != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), r.IdempotencyKey...)
	}
	if r.ContentType != "" {
		b = append(append(b, "\r\nContent-Type: "...), r.ContentType...)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// AppendHealthCheck appends a probe of an app server. It carries no id: it is no ticket's execution.
func AppendHealthCheck(b []byte, host string) []byte {
	return append(append(append(b, "GET /healthz HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ErrMalformedResponse is an answer that an app server can't have meant.
var ErrMalformedResponse = errors.New("malformed answer")

// ReadServerResponse reads an app server's answer, its body appended to body[:0]. Where the connection broke, which
// its reader knows, the error says nothing.
func ReadServerResponse(br *bufio.Reader, body []byte) (ServerResponse, error) {
	a, err := http.ReadResponse(br, nil)
	for err == nil && a.StatusCode < 200 && a.StatusCode != http.StatusSwitchingProtocols {
		a, err = http.ReadResponse(br, nil)
	}
	if err != nil || a.ContentLength > MaxBody {
		return ServerResponse{}, ErrMalformedResponse
	}
	r := ServerResponse{Outcome: Errored, ContentType: a.Header.Get("Content-Type"), Close: a.Close}
	if r.Body, err = readBody(a.Body, body); err != nil {
		return r, ErrMalformedResponse
	}
	switch {
	case a.StatusCode == http.StatusOK:
		r.Outcome = Completed
	case (a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusGatewayTimeout) &&
		a.Header.Get("X-Rejected") == "1":
		r.Outcome = Overloaded
	}
	if v, err := strconv.ParseFloat(a.Header.Get("X-True-Cost"), 64); err == nil && v > 0 && v < 1e9 {
		r.Units = v
	}
	return r, nil
}
