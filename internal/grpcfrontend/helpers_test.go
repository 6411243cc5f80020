package grpcfrontend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cherrygap/internal/authz"
	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// node is a node on loopback with one app server. It counts the attempts that the app server gets. The node holds back the last byte of an
// attempt, and begins another where the connection breaks before it; an app server executes only complete requests.
type node struct {
	client   GateClient
	httpAddr string // address of the HTTP front end
	grpcAddr string // address of the gRPC front end

	mu       sync.Mutex     // guards the fields below
	begun    map[string]int // number of attempts of which the app server got the head, by request id
	complete map[string]int // number of attempts that the app server got whole, by request id
}

// testSettings returns the settings of startNode: the safe class "look", the unsafe class "buy" and the plan "team".
func testSettings() *settings.Settings {
	return settings.Parse(settings.Values{
		settings.ClassCount: "2", settings.ClassKey(0, settings.ClassName): "look",
		settings.ClassKey(0, settings.ClassLatencyObjective): "4000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe,
		settings.ClassKey(1, settings.ClassName):             "buy",
		settings.ClassKey(1, settings.ClassLatencyObjective): "8000",
		settings.ClassKey(1, settings.ClassRetrySafety):      settings.RetryUnsafe, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "team", settings.Nodes: "1", settings.Tick: "20",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On, settings.RetryAfter: settings.On,
		settings.MaxRetryAfter: "20000", settings.MaxUnits: "6",
	})
}

// startNode starts a node and an app server, whose handler is serve. With a nil authorizer, requests are not checked.
func startNode(t *testing.T, authorizer frontend.Authorizer, serve http.HandlerFunc) *node {
	t.Helper()
	n := &node{begun: map[string]int{}, complete: map[string]int{}}
	appAddr := n.startAppServer(t, serve)
	set := testSettings()
	assembled := frontendtest.Assemble(t, frontendtest.Assembly{
		Routing:    routing.Config{Seed: 3, Settings: set},
		Endpoints:  []protocol.Endpoint{{UID: "s", Weight: 1, Addr: appAddr}},
		Limits:     frontendtest.Limits,
		Authorizer: authorizer,
	})
	n.httpAddr = assembled.Server.Addr().String()
	methods, err := HTTPMethods(set)
	if err != nil {
		t.Fatalf("HTTPMethods of the test settings: %v", err)
	}
	server, err := Listen("127.0.0.1:0", assembled.Server, methods, 256)
	if err != nil {
		t.Fatalf("start the gRPC front end: %v", err)
	}
	t.Cleanup(server.server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+server.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatalf("create the gRPC client: %v", err)
	}
	closeAtEnd(t, conn)
	n.client, n.grpcAddr = NewGateClient(conn), server.Addr()
	return n
}

// startAppServer starts an app server, whose handler is serve, and returns its address.
func (n *node) startAppServer(t *testing.T, serve http.HandlerFunc) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", nettest.LoopbackAddr())
	if err != nil {
		t.Fatalf("listen for the app server: %v", err)
	}
	closeAtEnd(t, listener)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(protocol.HeaderRequestID)
		n.count(n.begun, id)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The connection broke before the last byte.
		}
		n.count(n.complete, id)
		r.Body = io.NopCloser(bytes.NewReader(body))
		serve(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }() // Serve returns once the listener is closed
	return netip.MustParseAddrPort(listener.Addr().String())
}

// closeAtEnd closes c at the end of the test.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() }) // Close fails if the test has closed c already
}

// count adds an attempt of a request to one of the node's counts.
func (n *node) count(counts map[string]int, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts[id]++
}

// begunCount returns the number of attempts of a request of which the app server got the head.
func (n *node) begunCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.begun[id]
}

// completeCount returns the number of attempts of a request that the app server got whole.
func (n *node) completeCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.complete[id]
}

// pass sends a request over gRPC with a timeout.
func (n *node) pass(ctx context.Context, id, class string, customer uint64, timeout time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := &Ticket{Id: id, Band: class, Customer: customer, Plan: "team", Units: 1, Spread: 1}
	if class == "buy" {
		call.Body, call.Type = []byte("two seats"), "text/plain"
	}
	return n.client.Pass(ctx, call)
}

// dialTestAuthorizer returns a client of the authorizer at addr, for the classes of testSettings. "look" fails open, "buy" closed.
func dialTestAuthorizer(t *testing.T, addr string) *Authorizer {
	t.Helper()
	a, err := DialAuthorizer(addr, authz.Config{
		MaxInFlight: 64, MaxRetryAfter: time.Second,
		Classes: []authz.Class{
			{LatencyObjective: 400 * time.Millisecond, FailOpen: true},
			{LatencyObjective: 800 * time.Millisecond},
		},
	}, map[string]int{"look": 0, "buy": 1})
	if err != nil {
		t.Fatalf("DialAuthorizer(%q): %v", addr, err)
	}
	t.Cleanup(a.Close)
	return a
}
