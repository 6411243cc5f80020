package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// ambiguousHeads are heads whose body ends at different bytes for different recipients. Each has the HTTP version and the
// framing headers, with %d for the Content-Length.
var ambiguousHeads = []struct{ name, version, headers string }{
	{"both headers", "1.1", "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n"},
	{"both headers in HTTP/1.0", "1.0", "Connection: keep-alive\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n"},
	{"chunks in HTTP/1.0", "1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nX-Length: %d\r\n"},
	{"both headers in HTTP/2.0", "2.0", "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n"},
	{"space after Transfer-Encoding", "1.1", "Content-Length: %d\r\nTransfer-Encoding : chunked\r\n"},
	{"space after Content-Length", "1.1", "Content-Length : %d\r\nTransfer-Encoding: chunked\r\n"},
	{"tab after Content-Length", "1.1", "Content-Length\t: %d\r\nTransfer-Encoding: chunked\r\n"},
	{"space after the only Content-Length", "1.1", "Content-Length : %d\r\n"},
	{"space before Transfer-Encoding", "1.1", "X-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: %d\r\n"},
	{"folded Transfer-Encoding", "1.1", "Content-Length: %d\r\nTransfer-Encoding:\r\n\tchunked\r\n"},
	{"control after Transfer-Encoding", "1.1", "Content-Length: %d\r\nTransfer-Encoding\x0b: chunked\r\n"},
	{"underscore in Transfer-Encoding", "1.1", "Content-Length: %d\r\nTransfer_Encoding: chunked\r\n"},
	{"underscore in Content-Length", "1.1", "Content_Length: %d\r\nTransfer-Encoding: chunked\r\n"},
	{"line feed within a line", "1.1", "X-A: b\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n"},
	{"carriage return within a line", "1.1", "X-A: b\rTransfer-Encoding: chunked\r\nContent-Length: %d\r\n"},
	{"two lengths", "1.1", "Content-Length: %d\r\nContent-Length: 0\r\n"},
	{"list of lengths", "1.1", "Content-Length: %d, 0\r\n"},
	{"length with a sign", "1.1", "Content-Length: +%d\r\n"},
	{"chunks behind another coding", "1.1", "Transfer-Encoding: identity, chunked\r\nContent-Length: %d\r\n"},
	{"two codings", "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nX-Length: %d\r\n"},
}

// executedIDs records the request ids that app servers executed.
type executedIDs struct {
	mu  sync.Mutex
	ids map[string]bool
}

// serve records a request and answers it.
func (e *executedIDs) serve(conn net.Conn, request *http.Request) bool {
	e.mu.Lock()
	e.ids[request.Header.Get(protocol.HeaderRequestID)] = true
	e.mu.Unlock()
	return frontendtest.Echo(conn, request)
}

// Protects against a purchase that a client hides in the body of another request and that an app server then executes. A
// request whose head does not delimit its body unambiguously is rejected, and its connection is closed.
func TestHiddenRequestsReachNoServer(t *testing.T) {
	executed := executedIDs{ids: map[string]bool{}}
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, executed.serve)
	for _, head := range ambiguousHeads {
		hiddenRequest := func(id string) string {
			return strings.Replace(frontendtest.RequestText(1000, "seat 14"), protocol.HeaderRequestID+": ", protocol.HeaderRequestID+": "+id, 1)
		}
		inChunks := hiddenRequest("chunks-")
		sizeLine := fmt.Sprintf("%x\r\n", len(inChunks))
		emptyChunks := "0\r\n\r\n"
		inLength := emptyChunks + hiddenRequest("length-")
		for _, body := range []struct {
			text   string
			length int
		}{
			{sizeLine + inChunks + "\r\n" + emptyChunks, len(sizeLine)}, // hidden by the chunks, behind the body by the length
			{inLength, len(inLength)},                                   // hidden by the length, behind the body by the chunks
		} {
			lines, _, _ := strings.Cut(frontendtest.RequestText(1000, ""), "Content-Length")
			lines = strings.Replace(lines, "HTTP/1.1", "HTTP/"+head.version, 1)
			text := lines + fmt.Sprintf(head.headers, body.length) + "\r\n" + body.text
			conn := node.Dial(t)
			if status, _, closes := frontendtest.RoundTrip(t, conn, text); status < 400 || !closes {
				t.Errorf("%s, length %d: status %d, closes %v; want an error status, closes true", head.name, body.length, status, closes)
			}
			if rest, err := io.ReadAll(conn); len(rest) > 0 || err != nil {
				t.Errorf("%s, length %d: %q (error %v) after the first response, want a close", head.name, body.length, rest, err)
			}
			nettest.Close(conn)
		}
	}
	executed.mu.Lock()
	defer executed.mu.Unlock()
	for id := range executed.ids {
		t.Errorf("an app server executed request %s, want none", id)
	}
}

// Responses to HEAD have no body, whatever length they state (RFC 9112, section 6.3). The node must not wait for a body from the app
// server, nor send a length of its own to the client, and both connections must stay usable.
func TestHeadRequestsHaveNoBody(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n")
		if request.Method != http.MethodHead {
			nettest.WriteString(conn, "body")
		}
		return true
	})
	conn := node.Dial(t)
	reader := bufio.NewReader(conn)
	for _, method := range []string{http.MethodHead, http.MethodGet, http.MethodHead} {
		lines, _, _ := strings.Cut(frontendtest.RequestText(2000, ""), "Content-Length")
		nettest.WriteString(conn, strings.Replace(lines, http.MethodPost, method, 1)+"\r\n")
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("read the response to %s: %v", method, err)
		}
		body, err := io.ReadAll(response.Body)
		want, wantLength := "body", int64(4)
		if method == http.MethodHead {
			want, wantLength = "", -1
		}
		if err != nil || response.StatusCode != http.StatusOK || string(body) != want || response.ContentLength != wantLength {
			t.Errorf("%s: status %d, body %q, length %d, error %v; want 200, %q, %d", method, response.StatusCode, body, response.ContentLength, err, want, wantLength)
		}
		time.Sleep(upstream.ReuseDelay)
	}
	if dials := node.Counters.Upstream.Dials.Load(); dials != 1 {
		t.Errorf("%d connections dialled to the app server, want 1", dials)
	}
}

// After a response of 2xx to CONNECT a connection is a tunnel (RFC 9112, section 6.3). The node offers none, so the request must
// not reach an app server, whatever form its target has.
func TestConnectIsRejected(t *testing.T) {
	executed := executedIDs{ids: map[string]bool{}}
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, executed.serve)
	for _, target := range []string{protocol.RequestPath("seats", 5), "api:80", "http://api" + protocol.RequestPath("seats", 5)} {
		text := strings.Replace(frontendtest.RequestText(1000, "x"), "POST "+protocol.RequestPath("seats", 5), "CONNECT "+target, 1)
		conn := node.Dial(t)
		if status, _, closes := frontendtest.RoundTrip(t, conn, text); status != http.StatusNotImplemented || !closes {
			t.Errorf("CONNECT %s: status %d, closes %v; want 501, closes true", target, status, closes)
		}
		nettest.Close(conn)
	}
	executed.mu.Lock()
	defer executed.mu.Unlock()
	if len(executed.ids) > 0 {
		t.Errorf("an app server executed %d requests with method CONNECT, want none", len(executed.ids))
	}
}

// A client of HTTP/1.0 knows no interim responses and takes one for the final response (RFC 9110, section 15.2). Its expectation of
// one is ignored (section 10.1.1).
func TestNoInterimResponseInHTTP10(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, frontendtest.Echo)
	for version, want := range map[string]int{"HTTP/1.0": 200, "HTTP/1.1": 100} {
		text := strings.Replace(frontendtest.RequestText(1000, "body"), "Content-Length", "Expect: 100-continue\r\nContent-Length", 1)
		conn := node.Dial(t)
		if status, _, _ := frontendtest.RoundTrip(t, conn, strings.Replace(text, "HTTP/1.1", version, 1)); status != want {
			t.Errorf("%s with an expectation: first response has status %d, want %d", version, status, want)
		}
		nettest.Close(conn)
	}
}
