package appserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cherrygap/internal/protocol"
)

// Request is the part of a request that the laboratory's app servers use.
type Request struct {
	Method  string
	Path    string
	ID      string        // request ID, or empty if the request has none
	Timeout time.Duration // time that the client waits for the response, or 0 if the request does not state it
	Header  http.Header
}

// ReadRequest reads a request with its body, which it discards. After an error the connection is unusable.
func ReadRequest(reader *bufio.Reader) (Request, error) {
	parsed, err := http.ReadRequest(reader)
	if err != nil {
		return Request{}, err
	}
	if _, err := io.Copy(io.Discard, parsed.Body); err != nil {
		return Request{}, err
	}
	return RequestOf(parsed), nil
}

// RequestOf returns the Request of a request that net/http has parsed.
func RequestOf(parsed *http.Request) Request {
	request := Request{
		Method: parsed.Method,
		Path:   parsed.URL.Path,
		ID:     parsed.Header.Get(protocol.HeaderRequestID),
		Header: parsed.Header,
	}
	if ms, err := strconv.Atoi(parsed.Header.Get(protocol.HeaderTimeout)); err == nil && ms > 0 {
		request.Timeout = time.Duration(ms) * time.Millisecond
	}
	return request
}

// WriteResponse writes a whole response. Each of headers is a header line without its line end.
func WriteResponse(w io.Writer, status int, body string, headers ...string) error {
	_, err := io.WriteString(w, responseHead(status, len(body), headers)+body)
	return err
}

// WriteHalfResponse writes the head of a 200 response and the first half of its body.
func WriteHalfResponse(w io.Writer, body string) error {
	_, err := io.WriteString(w, responseHead(http.StatusOK, len(body), nil)+body[:len(body)/2])
	return err
}

// responseHead returns the status line and the headers of a response, up to the blank line.
func responseHead(status, bodyLength int, headers []string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, header := range headers {
		head += header + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLength)
}
