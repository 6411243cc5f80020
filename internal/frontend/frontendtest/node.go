// Package frontendtest runs the front end, the connection pool and the decision engine of one node in the test's process.
package frontendtest

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

	"cherrygap/internal/frontend"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// Log holds a node's log lines in memory. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// ClosedFor reports whether the log has a connection that was closed for the given reason.
func (l *Log) ClosedFor(reason netio.CloseReason) bool {
	return l.Contains(`"reason":"` + string(reason) + `"`)
}

// Contains reports whether the log contains text.
func (l *Log) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Counters holds the counters of the packages frontend and upstream.
type Counters struct {
	frontend.Counters
	Upstream upstream.Counters
}

// Node is one node whose app servers the test emulates.
type Node struct {
	Server   *frontend.Server
	Pool     *upstream.Pool
	Router   *routing.Router
	Counters *Counters
	Log      *Log
}

// Config is the configuration of StartWith.
type Config struct {
	Settings    settings.Values // additions to the settings of a node with the class "seats" and the plan "team"
	RetrySafety string          // retry safety of the class
	Limits      netio.Limits
	PoolLimits  *netio.Limits   // limits of the connection pool; nil means Limits
	Servers     int             // number of app servers to start
	Serve       nettest.Handler // handler of the app servers
}

// Start starts a node and its app servers, each of which answers requests with serve.
func Start(t *testing.T, retrySafety string, limits netio.Limits, servers int, serve nettest.Handler) *Node {
	t.Helper()
	return StartWith(t, Config{RetrySafety: retrySafety, Limits: limits, Servers: servers, Serve: serve})
}

// StartWith starts a node and its app servers.
func StartWith(t *testing.T, cfg Config) *Node {
	t.Helper()
	var endpoints []protocol.Endpoint
	for i := range cfg.Servers {
		listener := nettest.Listen(t)
		go nettest.ServeConns(listener, func(conn net.Conn) { nettest.ServeRequests(conn, cfg.Serve) })
		endpoints = append(endpoints, Endpoint(fmt.Sprint(i), listener))
	}
	values := settings.Values{
		settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "seats",
		settings.ClassKey(0, settings.ClassLatencyObjective): "20000",
		settings.ClassKey(0, settings.ClassRetrySafety):      cfg.RetrySafety, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "team", settings.Nodes: "1", settings.Tick: "20",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On, settings.MaxUnits: "6",
	}
	maps.Copy(values, cfg.Settings)
	return Assemble(t, Assembly{
		Routing:    routing.Config{Seed: 3, Settings: settings.Parse(values)},
		Endpoints:  endpoints,
		Limits:     cfg.Limits,
		PoolLimits: cfg.PoolLimits,
	})
}

// Assembly is the configuration of a node whose app servers the caller starts.
type Assembly struct {
	Routing    routing.Config // Assemble sets its callbacks
	Endpoints  []protocol.Endpoint
	Limits     netio.Limits
	PoolLimits *netio.Limits       // limits of the connection pool; nil means Limits
	Authorizer frontend.Authorizer // nil admits all requests
}

// Assemble starts a node that has no peers and no discovery.
func Assemble(t *testing.T, a Assembly) *Node {
	t.Helper()
	node := &Node{Counters: &Counters{}, Log: &Log{}}
	log := zerolog.New(node.Log)
	timer, err := netio.NewTimer()
	if err != nil {
		t.Fatalf("create the node's timer: %v", err)
	}
	t.Cleanup(timer.Close)
	a.Routing.SetTimer = timer.Set
	a.Routing.SendToPeer = func(int, []byte) {}
	a.Routing.PollEndpoints = func() {}
	a.Routing.LogSummary = func([]byte) {}
	node.Router = routing.New(a.Routing)
	go timer.Run(node.Router.TimerFired) // returns when the timer is closed
	node.Router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: a.Endpoints}, routing.FromCache)
	poolLimits := a.Limits
	if a.PoolLimits != nil {
		poolLimits = *a.PoolLimits
	}
	node.Pool = upstream.NewPool(poolLimits, nil, &log, &node.Counters.Upstream)
	node.Server, err = frontend.Listen(frontend.Config{
		Addr: "127.0.0.1:0", Router: node.Router, Pool: node.Pool, Limits: a.Limits, Authorizer: a.Authorizer,
		Log: &log, Counters: &node.Counters.Counters,
	})
	if err != nil {
		t.Fatalf("start the front end: %v", err)
	}
	return node
}

// Endpoint returns the endpoint of the app server that accepts on listener, as discovery would list it.
func Endpoint(uid string, listener net.Listener) protocol.Endpoint {
	return protocol.Endpoint{UID: uid, Weight: 1, Addr: netip.MustParseAddrPort(listener.Addr().String())}
}

// SetOnlyServer sends the node a full endpoint list with server as the only app server.
func (n *Node) SetOnlyServer(server protocol.Endpoint) {
	n.Router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: []protocol.Endpoint{server}}, routing.FromDiscovery)
}

// Limits are limits for tests that must not reach any of them.
var Limits = netio.Limits{MaxDescriptors: 1024, MemoryMiB: 192, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second}

// LimitsForEightConnections returns limits that allow eight client connections and eight connections to app servers.
func LimitsForEightConnections() netio.Limits {
	limits := Limits
	limits.MaxDescriptors = netio.MinReserved + 16
	return limits
}

// clientTimeout bounds the time of all reads and writes on a client connection of a test.
const clientTimeout = 5 * time.Second

// Dial connects as a client. All reads and writes on the connection fail after clientTimeout.
func (n *Node) Dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.Server.Addr().String())
	if err != nil {
		t.Fatalf("dial the node: %v", err)
	}
	netio.SetDeadline(conn, time.Now().Add(clientTimeout))
	t.Cleanup(func() { nettest.Close(conn) })
	return conn
}

// LastRequestID is the request id that was assigned last.
var LastRequestID atomic.Int64

// RequestText returns the text of a request with a unique id and a timeout in milliseconds.
func RequestText(timeoutMs int, body string) string {
	lines := protocol.AppendRequestLines(nil, &protocol.Request{
		Method: http.MethodPost, URI: protocol.RequestPath("seats", 5), Host: "a", ID: fmt.Sprint(LastRequestID.Add(1)), Plan: "team",
		Timeout: time.Duration(timeoutMs) * time.Millisecond, Units: 1, Spread: 1,
	})
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
}

// RoundTrip sends text and reads one response. closes reports whether the response closes the connection.
func RoundTrip(t *testing.T, conn net.Conn, text string) (status int, body string, closes bool) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("write request to the node: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read the node's response: %v", err)
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("read the body of the node's response: %v", err)
	}
	return response.StatusCode, string(raw), response.Close
}

// Echo is a handler that answers with the request's body.
func Echo(conn net.Conn, request *http.Request) bool {
	body, _ := io.ReadAll(request.Body)
	nettest.Respondf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}
