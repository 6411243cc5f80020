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
	Completed   Outcome = iota
	Errored             // the app server answered with an error: it may have run
	TurnedAway          // not looked at
	TimedOut            // the node stopped waiting: it may have run, or may yet
	Unconnected         // no connection, or it broke before the last byte was written
	Broken              // the connection broke after that: it may have run
	Withdrawn           // the node gave it up
	Unsent              // the node held it back before its first byte
	Spoilt              // what came can't be read, over a connection that stands: it may have run
	Outcomes            // how many there are
)

var outcomeNames = [Outcomes]string{"completed", "errored", "turned_away", "timed_out", "unconnected",
	"broken", "withdrawn", "unsent", "spoilt"}

func (o Outcome) String() string { return outcomeNames[o] }

// Reply is an app server's answer.
type Reply struct {
	Outcome Outcome
	Type    string
	Body    []byte
	Units   float64 // the true units; 0: not told
	Close   bool    // the connection ends with it
}

// AppendExecution appends an execution's head; the request's body follows it.
func AppendExecution(b []byte, r *Request, wait time.Duration) []byte {
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(append(b, r.Host...), "\r\nX-Call-Id: "...), r.ID...)
	b = append(b, "\r\nX-Budget-Ms: "...)
	b = strconv.AppendInt(b, wait.Milliseconds(), 10)
	if r.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), r.Key...)
	}
	if r.Type != "" {
		b = append(append(b, "\r\nContent-Type: "...), r.Type...)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// AppendProbe appends a probe of an app server. It carries no id: it is no ticket's execution.
func AppendProbe(b []byte, host string) []byte {
	return append(append(append(b, "GET /healthz HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ErrAnswer is an answer that an app server can't have meant.
var ErrAnswer = errors.New("malformed answer")

// ReadReply reads an app server's answer, its body appended to body[:0]. Where the connection broke, which
// its reader knows, the error says nothing.
func ReadReply(br *bufio.Reader, body []byte) (Reply, error) {
	a, err := http.ReadResponse(br, nil)
	for err == nil && a.StatusCode < 200 && a.StatusCode != http.StatusSwitchingProtocols {
		a, err = http.ReadResponse(br, nil)
	}
	if err != nil || a.ContentLength > MostBody {
		return Reply{}, ErrAnswer
	}
	r := Reply{Outcome: Errored, Type: a.Header.Get("Content-Type"), Close: a.Close}
	if r.Body, err = readBody(a.Body, body); err != nil {
		return r, ErrAnswer
	}
	switch {
	case a.StatusCode == http.StatusOK:
		r.Outcome = Completed
	case (a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusGatewayTimeout) &&
		a.Header.Get("X-Rejected") == "1":
		r.Outcome = TurnedAway
	}
	if v, err := strconv.ParseFloat(a.Header.Get("X-True-Cost"), 64); err == nil && v > 0 && v < 1e9 {
		r.Units = v
	}
	return r, nil
}
