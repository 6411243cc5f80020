package upstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// hiddenResponse is a response in the body of another one.
const hiddenResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"

// ambiguousResponses are responses that end at different bytes for different recipients, or that have a body where none may be.
var ambiguousResponses = map[string]string{
	"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and a length in HTTP/1.0": "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and a length":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and a spaced length":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length : 3\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"different lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length : 4\r\n\r\nokay",
	"HTTP/2.0":                        "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/0.9":                        "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                      "HTTP/1.1 099 Odd\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"status 000":                      "HTTP/1.1 000 Odd\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"status +10":                      "HTTP/1.1 +10 Odd\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"interim response with a body":    "HTTP/1.1 103 Early Hints\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"interim response with chunks":    "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + hiddenResponse,
	"switch of protocols with a body": "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"204 with a body":                 "HTTP/1.1 204 No Content\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"304 with a body":                 "HTTP/1.1 304 Not Modified\r\nContent-Length: 44\r\n\r\n" + hiddenResponse,
	"malformed trailer section":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX a: b\r\n\r\n",
}

// Protects against a client that gets bytes which no app server made as the answer to its request: chunk framing, or a response
// within a response. Such a response fails its attempt, and its connection carries no other request.
func TestAmbiguousResponsesAreNotPassedOn(t *testing.T) {
	for name, response := range ambiguousResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serve := func(conn net.Conn, request *http.Request) bool {
				body, _ := io.ReadAll(request.Body)
				if string(body) == "odd" {
					nettest.WriteString(conn, response)
				} else {
					nettest.Respondf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				return true
			}
			node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, serve)
			client := node.Dial(t)
			if status, body, _ := frontendtest.RoundTrip(t, client, frontendtest.RequestText(2000, "odd")); status != 502 {
				t.Errorf("response %q: client got status %d, body %q; want 502", response, status, body)
			}
			if malformed := node.Counters.Upstream.AttemptOutcomes[protocol.MalformedResponse].Load(); malformed != 1 {
				t.Errorf("response %q: %d attempts with a malformed response, want 1", response, malformed)
			}
			if status, body, _ := frontendtest.RoundTrip(t, client, frontendtest.RequestText(2000, "next")); status != 200 || body != "next" {
				t.Errorf("request after response %q: status %d, body %q; want 200, \"next\"", response, status, body)
			}
			if dials := node.Counters.Upstream.Dials.Load(); dials != 2 {
				t.Errorf("response %q: %d connections dialled, want 2", response, dials)
			}
		})
	}
}
