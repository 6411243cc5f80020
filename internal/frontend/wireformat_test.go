package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/authz"
	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// The tests of this file compare the exact bytes that clients and app servers receive. The bytes must not change, because
// nodes of different versions run side by side in one fleet.

// attemptRecorder is an app server that records the bytes of each attempt.
type attemptRecorder struct {
	mu       sync.Mutex // guards attempts
	attempts []string   // raw bytes of each attempt
}

// serve answers the attempts on one connection. answer returns the response to the request with the given id.
func (r *attemptRecorder) serve(conn net.Conn, answer func(id string) string) {
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		r.mu.Lock()
		r.attempts = append(r.attempts, raw.String()) // the node sends nothing behind an attempt before its response
		r.mu.Unlock()
		raw.Reset()
		if _, err := io.WriteString(conn, answer(request.Header.Get(protocol.HeaderRequestID))); err != nil {
			return
		}
	}
}

// fixedResponse returns a function for attemptRecorder.serve that returns the same response to each request.
func fixedResponse(response string) func(string) string {
	return func(string) string { return response }
}

// startServers starts app servers that share the recorder, and sends the node an endpoint list of them.
func (r *attemptRecorder) startServers(t *testing.T, node *frontendtest.Node, servers int, answer func(id string) string) {
	t.Helper()
	list := &protocol.EndpointList{Full: true}
	for i := range servers {
		listener := nettest.Listen(t)
		go nettest.ServeConns(listener, func(conn net.Conn) { r.serve(conn, answer) })
		list.Endpoints = append(list.Endpoints, frontendtest.Endpoint(fmt.Sprint(i), listener))
	}
	node.Router.UpdateEndpoints(list, routing.FromDiscovery)
}

var (
	timeoutHeader    = regexp.MustCompile(`\r\nX-Budget-Ms: ([0-9]+)\r\n`)
	retryAfterHeader = regexp.MustCompile(`\r\nRetry-After: ([0-9]+\.[0-9]{3})\r\n`)
)

// masked replaces the number in a header by #, because the number depends on the clock. The number must be above 0 and at
// most maximum.
func masked(t *testing.T, text string, header *regexp.Regexp, maximum float64) string {
	t.Helper()
	return header.ReplaceAllStringFunc(text, func(line string) string {
		number := header.FindStringSubmatch(line)[1]
		if value, err := strconv.ParseFloat(number, 64); err != nil || !(value > 0 && value <= maximum) {
			t.Errorf("number in header line %q: want above 0 and at most %v", line, maximum)
		}
		return strings.Replace(line, number, "#", 1)
	})
}

// exchange sends text on a new connection and returns the bytes of the response. If the response closes the connection, it
// also returns the bytes up to the close.
func exchange(t *testing.T, node *frontendtest.Node, text string) string {
	t.Helper()
	conn := node.Dial(t)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("write request to the node: %v", err)
	}
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("read the node's response (bytes so far %q): %v", raw.String(), err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("read the body of the node's response: %v", err)
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		if response.Close {
			if _, err := io.Copy(io.Discard, reader); err != nil {
				t.Errorf("read after the response: %v, want a close", err)
			}
		}
		nettest.Close(conn)
		return raw.String()
	}
}

const serverResponse = "HTTP/1.1 200 OK\r\nDate: Tue, 01 Dec 2026 00:00:00 GMT\r\nContent-Type: application/json\r\n" +
	"X-True-Cost: 1.5\r\nContent-Length: 7\r\n\r\n{\"a\":1}"

const completedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Type: application/json\r\n\r\n{\"a\":1}"

// requestCases lists the bytes that a client sends, that an app server receives, and that the client receives.
var requestCases = map[string]struct{ sent, attempt, response string }{
	"body, key, content type and headers that are not forwarded": {
		sent: "POST /seats/x/0000000000000005?q=%20a HTTP/1.1\r\nhost: shop.example\r\nx-call-id: golden-1\r\nX-Tariff: team\r\n" +
			"X-Budget-Ms: 3000\r\nX-Weight: units=1.25,spread=1,first=0\r\nContent-Type: text/plain; charset=utf-8\r\n" +
			"IDEMPOTENCY-KEY: k-1\r\nAccept: */*\r\nCookie: a=b\r\nContent-Length: 5\r\n\r\nhello",
		attempt: "POST /seats/x/0000000000000005?q=%20a HTTP/1.1\r\nHost: shop.example\r\nX-Call-Id: golden-1\r\nX-Budget-Ms: #\r\n" +
			"Idempotency-Key: k-1\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 5\r\n\r\nhello",
		response: completedResponse,
	},
	"chunked body": {
		sent: "PUT /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-2\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
			"X-Weight: first=0,units=1,spread=1,other=2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
		attempt: "PUT /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-2\r\nX-Budget-Ms: #\r\n" +
			"Content-Length: 5\r\n\r\nabcde",
		response: completedResponse,
	},
	"no body": {
		sent: "GET /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-3\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
			"X-Weight: units=1,spread=1,first=0\r\n\r\n",
		attempt:  "GET /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-3\r\nX-Budget-Ms: #\r\n\r\n",
		response: completedResponse,
	},
	"empty body of a method that may have one": {
		sent: "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-4\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
			"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n",
		attempt: "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-4\r\nX-Budget-Ms: #\r\n" +
			"Content-Length: 0\r\n\r\n",
		response: completedResponse,
	},
	"Connection: close by the client": {
		sent: "GET /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-5\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
			"X-Weight: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n",
		attempt: "GET /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-5\r\nX-Budget-Ms: #\r\n\r\n",
		response: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" +
			"{\"a\":1}",
	},
	"Expect: 100-continue": {
		sent: "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-6\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
			"X-Weight: units=1,spread=1,first=0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
		attempt: "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-6\r\nX-Budget-Ms: #\r\n" +
			"Content-Length: 2\r\n\r\nab",
		response: "HTTP/1.1 100 Continue\r\n\r\n" + completedResponse,
	},
}

// Other bytes of an attempt, or of the response to a completed request, would break app servers or clients.
func TestCompletedRequestWireFormat(t *testing.T) {
	for name, test := range requestCases {
		t.Run(name, func(t *testing.T) {
			node, recorder := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 0, nil), &attemptRecorder{}
			recorder.startServers(t, node, 1, fixedResponse(serverResponse))
			if got := exchange(t, node, test.sent); got != test.response {
				t.Errorf("response to the client\n%q, want\n%q", got, test.response)
			}
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if len(recorder.attempts) != 1 {
				t.Fatalf("%d attempts %q, want 1", len(recorder.attempts), recorder.attempts)
			}
			if got := masked(t, recorder.attempts[0], timeoutHeader, 3000); got != test.attempt {
				t.Errorf("attempt at the app server\n%q, want\n%q", got, test.attempt)
			}
		})
	}
}

const plainRequest = "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-7\r\nX-Tariff: team\r\nX-Budget-Ms: 3000\r\n" +
	"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 1\r\n\r\nx"

// Other responses to rejected and failed requests would break clients. Each attempt of such a request has the same bytes,
// except for its timeout.
func TestRejectedAndFailedWireFormat(t *testing.T) {
	const attempt = "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-7\r\nX-Budget-Ms: #\r\nContent-Length: 1\r\n\r\nx"
	for name, test := range map[string]struct {
		retrySafety, serverResponse, response string
		attempts                              int // expected attempts; a new node has no retry budget
	}{
		"rejected by every server": {
			retrySafety: settings.RetryUnsafe, serverResponse: "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
			response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: #\r\n\r\n", attempts: 1,
		},
		"unsafe, answered with an error": {
			retrySafety: settings.RetryUnsafe, serverResponse: "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nsome",
			response: "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", attempts: 1,
		},
		"safe, answered with errors": {
			retrySafety: settings.RetrySafe, serverResponse: "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nsome",
			response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: #\r\n\r\n", attempts: 1,
		},
		"no server": {
			retrySafety: settings.RetryUnsafe,
			response:    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: #\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			retryAfterSettings := settings.Values{settings.RetryAfter: settings.On, settings.MaxRetryAfter: "10000"}
			node, recorder := frontendtest.StartWith(t, frontendtest.Config{Settings: retryAfterSettings, RetrySafety: test.retrySafety, Limits: frontendtest.Limits}), &attemptRecorder{}
			if test.serverResponse != "" {
				recorder.startServers(t, node, 3, fixedResponse(test.serverResponse))
			}
			if got := masked(t, exchange(t, node, plainRequest), retryAfterHeader, 1); got != test.response {
				t.Errorf("response to the client\n%q, want\n%q", got, test.response)
			}
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if len(recorder.attempts) != test.attempts {
				t.Errorf("%d attempts, want %d", len(recorder.attempts), test.attempts)
			}
			for _, raw := range recorder.attempts {
				if got := masked(t, raw, timeoutHeader, 3000); got != attempt {
					t.Errorf("attempt at the app server\n%q, want\n%q", got, attempt)
				}
			}
		})
	}
}

// Other bytes of a retry would break app servers. They must be those of the first attempt except for its timeout.
func TestRetryWireFormat(t *testing.T) {
	const attempt = "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: golden-7\r\nX-Budget-Ms: #\r\nContent-Length: 1\r\n\r\nx"
	node, recorder := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 0, nil), &attemptRecorder{}
	recorder.startServers(t, node, 3, func(id string) string {
		if id == "golden-7" {
			return "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return serverResponse
	})
	conn := node.Dial(t)
	for range 40 { // these requests fill the retry budget
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 {
			t.Fatalf("request before the retries: status %d, want 200", status)
		}
	}
	if got, want := exchange(t, node, plainRequest), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"; got != want {
		t.Errorf("response to the client\n%q, want\n%q", got, want)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	retries := recorder.attempts[40:]
	if len(retries) < 2 {
		t.Errorf("%d attempts of the rejected request, want at least 2", len(retries))
	}
	for _, raw := range retries {
		if got := masked(t, raw, timeoutHeader, 3000); got != attempt {
			t.Errorf("attempt at the app server\n%q, want\n%q", got, attempt)
		}
	}
}

// Other responses to invalid requests would break clients. Invalid requests are rejected and not forwarded.
func TestMalformedRequestWireFormat(t *testing.T) {
	replaced := func(old, replacement string) string { return strings.Replace(plainRequest, old, replacement, 1) }
	node, recorder := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 0, nil), &attemptRecorder{}
	recorder.startServers(t, node, 1, fixedResponse(serverResponse))
	for name, test := range map[string]struct{ sent, response string }{
		"not HTTP": {"hello\r\n\r\n", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"no id":    {replaced("X-Call-Id: golden-7\r\n", ""), "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"spread outside the settings": {
			replaced("spread=1", "spread=9"),
			"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		},
		"unknown class": {replaced("seats", "stalls"), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"unknown plan":  {replaced("team", "none"), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"huge body": {
			replaced("Length: 1", "Length: 65537"),
			"HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		},
		"huge head": {
			replaced("Host: a", "Host: a\r\nA: "+strings.Repeat("a", protocol.MaxHead)),
			"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exchange(t, node, test.sent); got != test.response {
				t.Errorf("response to the client\n%q, want\n%q", got, test.response)
			}
		})
	}
	exchange(t, node, plainRequest)
	const conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if got := exchange(t, node, plainRequest); got != conflict {
		t.Errorf("response to a request with a recently answered id:\n%q, want\n%q", got, conflict)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if len(recorder.attempts) != 1 {
		t.Errorf("%d attempts, want 1 for the only valid request", len(recorder.attempts))
	}
}

// fixedVerdict is an authorizer that gives the same verdict on each request.
type fixedVerdict struct {
	verdict    authz.Verdict
	retryAfter time.Duration
}

func (v fixedVerdict) Check(context.Context, *protocol.Request, time.Duration) frontend.Authorization {
	return frontend.Authorization{Verdict: v.verdict, RetryAfter: v.retryAfter}
}

// Other responses to requests that the authorizer denies or rejects would break clients.
func TestDeniedWireFormat(t *testing.T) {
	for _, test := range []struct {
		name     string
		check    fixedVerdict
		response string
	}{
		{"denied", fixedVerdict{verdict: authz.Deny}, "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n"},
		{
			"rejected",
			fixedVerdict{verdict: authz.Reject, retryAfter: 1250 * time.Millisecond},
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.250\r\n\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
			log := zerolog.New(node.Log)
			server, err := frontend.Listen(frontend.Config{
				Addr: "127.0.0.1:0", Router: node.Router, Pool: node.Pool, Limits: frontendtest.Limits,
				Authorizer: test.check, Log: &log, Counters: &node.Counters.Counters,
			})
			if err != nil {
				t.Fatalf("start the front end: %v", err)
			}
			node.Server = server
			if got := exchange(t, node, plainRequest); got != test.response {
				t.Errorf("response to the client\n%q, want\n%q", got, test.response)
			}
		})
	}
}

// Other responses to a load balancer's health checks of the node would take the node out of service, or keep it in service
// while it drains. Responses to requests during a drain must close their connections.
func TestHealthAndDrainingWireFormat(t *testing.T) {
	const healthRequest = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	node, recorder := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 0, nil), &attemptRecorder{}
	steps := []struct {
		name, sent, response string
		before               func()
	}{
		{name: "no server", sent: healthRequest, response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{
			name: "ready", sent: healthRequest, response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			before: func() { recorder.startServers(t, node, 1, fixedResponse(serverResponse)) },
		},
		{
			name: "ready, Connection: close", sent: strings.Replace(healthRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
			response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		},
		{
			name: "draining", sent: healthRequest, response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			before: func() { node.Server.Draining().Store(true) },
		},
		{name: "a request while draining", sent: plainRequest, response: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n" +
			"Content-Type: application/json\r\nConnection: close\r\n\r\n{\"a\":1}"},
	}
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		if got := exchange(t, node, step.sent); got != step.response {
			t.Errorf("%s: response\n%q, want\n%q", step.name, got, step.response)
		}
	}
}
