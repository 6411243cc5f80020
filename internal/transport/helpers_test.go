package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// logBuffer is a log that tests look into.
type logBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// closedFor reports whether a connection was closed for a reason.
func (l *logBuffer) closedFor(reason closeReason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), `"reason":"`+string(reason)+`"`)
}

// eventually waits until ok, or fails the test after some seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not seen in time: " + what)
		}
	}
}

// listen opens a listener on loopback that is closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(listener) })
	return listener
}

// serveConns runs serve for each connection until the listener is closed, and closes the connection once it returns.
func serveConns(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer closeConn(conn)
			serve(conn)
		}()
	}
}

// http2PrefaceMethod is what the first bytes of an HTTP/2 connection look like to an HTTP/1 server: a request with this
// method and no body. A node never sends it. It comes from another test's gRPC client that dials a port again which has
// become this app server's meanwhile.
const http2PrefaceMethod = "PRI"

// serveRequests reads one request after another and passes it to serve, which tells whether the connection stays.
func serveRequests(conn net.Conn, serve func(net.Conn, *http.Request) bool) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || request.Method == http2PrefaceMethod || !serve(conn, request) {
			return
		}
		discardAll(request.Body)
	}
}

// testNode is one node before app servers that a test plays.
type testNode struct {
	server   *Server
	pool     *Pool
	counters *Counters
	log      *logBuffer
}

// startNode starts a node; each app server answers by serve, which tells whether its connection stays.
func startNode(t *testing.T, repeats string, limits Limits, servers int, serve func(net.Conn, *http.Request) bool) *testNode {
	t.Helper()
	return startNodeWith(t, nil, repeats, limits, servers, serve)
}

// startNodeWith starts a node under further settings.
func startNodeWith(t *testing.T, more map[string]string, repeats string, limits Limits, servers int,
	serve func(net.Conn, *http.Request) bool,
) *testNode {
	t.Helper()
	node := &testNode{counters: &Counters{}, log: &logBuffer{}}
	log := zerolog.New(node.log)
	list := &protocol.EndpointList{Full: true}
	for i := range servers {
		listener := listen(t)
		go serveConns(listener, func(conn net.Conn) { serveRequests(conn, serve) })
		list.Endpoints = append(list.Endpoints, endpoint(fmt.Sprint(i), listener))
	}
	set := map[string]string{
		settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "seats",
		settings.ClassKey(0, settings.ClassLatencyObjective): "20000",
		settings.ClassKey(0, settings.ClassRetrySafety):      repeats, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "team", settings.Nodes: "1", settings.Tick: "20",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On, settings.MaxUnits: "6",
	}
	maps.Copy(set, more)
	timer, err := NewTimer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(timer.Close)
	router := routing.New(routing.Config{
		Seed: 3, Settings: settings.Parse(set), SetTimer: timer.Set, SendToPeer: func(int, []byte) {},
		PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	go timer.Run(router.Tick)
	router.UpdateEndpoints(list, true)
	node.pool = NewPool(limits, &log, node.counters)
	if node.server, err = Listen("127.0.0.1:0", router, node.pool, limits, nil, &log, node.counters); err != nil {
		t.Fatal(err)
	}
	return node
}

// endpoint is an app server on a listener, as discovery lists it.
func endpoint(uid string, listener net.Listener) protocol.Endpoint {
	return protocol.Endpoint{UID: uid, Weight: 1, Addr: netip.MustParseAddrPort(listener.Addr().String())}
}

// listOnly makes one app server all that a node knows.
func (n *testNode) listOnly(server protocol.Endpoint) {
	n.server.router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: []protocol.Endpoint{server}}, false)
}

var roomyLimits = Limits{Sockets: 1024, MemoryMB: 192, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second}

// limitsForEight are limits of eight clients' connections, and as many to app servers.
func limitsForEight() Limits {
	limits := roomyLimits
	limits.Sockets = minReserved + 16
	return limits
}

// dial connects as a client, with some seconds for all that follows.
func (n *testNode) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	setDeadline(conn, time.Now().Add(5*time.Second))
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// openClients is how many clients' connections the node has.
func (n *testNode) openClients() int {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	return len(n.server.clients)
}

var lastID atomic.Int64

// requestText is a request with an id of its own, whose client waits for so many milliseconds.
func requestText(timeout int, body string) string {
	return fmt.Sprintf("POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %d\r\nX-Tariff: team\r\nX-Budget-Ms: %d\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n%s", lastID.Add(1), timeout, len(body), body)
}

// roundTrip sends text and reads one response.
func roundTrip(t *testing.T, conn net.Conn, text string) (status int, body string, closes bool) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(raw), response.Close
}

// echo answers with the request's body.
func echo(conn net.Conn, request *http.Request) bool {
	body, _ := io.ReadAll(request.Body)
	respondf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

// The helpers below drop an error that shows elsewhere, where it matters: in what is read next, or in what comes of it.
// Most tests end connections at any moment on purpose.

func writeString(to io.Writer, text string) { _, _ = io.WriteString(to, text) }

func respondf(to io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(to, format, args...) }

func discardAll(from io.Reader) { _, _ = io.Copy(io.Discard, from) }

// waitForClose waits until the other side closes, or sends a byte.
func waitForClose(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }

// resetOnClose lets a close reset the connection.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// closeWrite ends what is sent.
func closeWrite(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// serveHTTP serves until the listener is closed.
func serveHTTP(listener net.Listener, handler http.Handler) { _ = http.Serve(listener, handler) }
