package grpcfrontend

import (
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

// node is a node on loopback, before an app server that records its attempts.
type node struct {
	client GateClient
	http   string // address of the HTTP server
	grpc   string // address of the gRPC server

	mu  sync.Mutex     // guards ran
	ran map[string]int // attempts that the app server got, by the request's id
}

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

// startNode starts a node before an app server. authorizer may be nil.
func startNode(t *testing.T, authorizer frontend.Authorizer, serve http.HandlerFunc) *node {
	t.Helper()
	n := &node{ran: map[string]int{}}
	app := n.startAppServer(t, serve)
	set := testSettings()
	assembled := frontendtest.Assemble(t, frontendtest.Assembly{
		Routing:    routing.Config{Seed: 3, Settings: set},
		Endpoints:  []protocol.Endpoint{{UID: "s", Weight: 1, Addr: app}},
		Limits:     frontendtest.Limits,
		Authorizer: authorizer,
	})
	n.http = assembled.Server.Addr().String()
	methods, err := HTTPMethods(set)
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen("127.0.0.1:0", assembled.Server, methods, 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+server.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	n.client, n.grpc = NewGateClient(conn), server.Addr()
	return n
}

// startAppServer starts an app server and returns its address.
func (n *node) startAppServer(t *testing.T, serve http.HandlerFunc) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", nettest.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		n.ran[r.Header.Get(protocol.HeaderRequestID)]++
		n.mu.Unlock()
		serve(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }() // until the listener closes
	return netip.MustParseAddrPort(listener.Addr().String())
}

func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() }) // a test may have closed it
}

// runs returns how many attempts of a request the app server got.
func (n *node) runs(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran[id]
}

// pass sends a request with a timeout.
func (n *node) pass(ctx context.Context, id, class string, customer uint64, wait time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	call := &Ticket{Id: id, Band: class, Customer: customer, Plan: "team", Units: 1, Spread: 1}
	if class == "buy" {
		call.Body, call.Type = []byte("two seats"), "text/plain"
	}
	return n.client.Pass(ctx, call)
}

// dialTestAuthorizer makes an authorizer for the classes of startNode.
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
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}
