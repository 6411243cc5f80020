package quotastore

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/frontend/frontendtest"
	lab "cherrygap/internal/lab/store"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

const (
	fleetNodes = 6     // number of nodes of the fleet
	teamRate   = 100.0 // quota of the plan "team", in units per second
)

// appServer counts how often each request ran.
type appServer struct {
	addr netip.AddrPort // listening address

	mu         sync.Mutex
	executions map[string]int // number of executions by request id; guarded by mu
}

// startAppServer starts an app server that echoes request bodies.
func startAppServer(t *testing.T) *appServer {
	t.Helper()
	ln, err := net.Listen("tcp", nettest.LoopbackAddr())
	if err != nil {
		t.Fatal("listening for the app server:", err)
	}
	app := &appServer{addr: netip.MustParseAddrPort(ln.Addr().String()), executions: map[string]int{}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		app.mu.Lock()
		app.executions[request.Header.Get(protocol.HeaderRequestID)]++
		app.mu.Unlock()
		if _, err := io.Copy(w, request.Body); err != nil {
			t.Errorf("echoing the body of request %s at the app server: %v", request.Header.Get(protocol.HeaderRequestID), err)
		}
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }() // ends when the server is closed
	return app
}

// endpoints lists the server under many ids, so that no limit per server applies before the quota.
func (a *appServer) endpoints() []protocol.Endpoint {
	var endpoints []protocol.Endpoint
	for i := range 30 {
		endpoints = append(endpoints, protocol.Endpoint{UID: fmt.Sprint(i), Weight: 1, Addr: a.addr})
	}
	return endpoints
}

// startNode starts a node with quotas in a store, and returns its address.
func startNode(t *testing.T, id int, store string, app *appServer) string {
	t.Helper()
	log := zerolog.Nop()
	quotas := Open(store, fmt.Sprint("n", id), quota.Config{
		Self: quota.NodeID(id), Nodes: fleetNodes, Seed: 9, Timeout: 60 * time.Millisecond,
	}, &log)
	go quotas.Run()
	t.Cleanup(quotas.Close)
	node := frontendtest.Assemble(t, frontendtest.Assembly{
		Routing: routing.Config{
			Seed: uint64(id),
			Settings: settings.Parse(settings.Values{
				settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "buy",
				settings.ClassKey(0, settings.ClassLatencyObjective): "8000",
				settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetryUnsafe, settings.PlanCount: "1",
				settings.PlanKey(0, settings.PlanName):  "team",
				settings.PlanKey(0, settings.PlanRate):  fmt.Sprint(teamRate),
				settings.PlanKey(0, settings.PlanBurst): "200", settings.Nodes: fmt.Sprint(fleetNodes),
				settings.Node: fmt.Sprint(id), settings.Tick: "20", settings.MaxAttempts: "3",
			}),
			Quota: quotas,
		},
		Endpoints: app.endpoints(),
		Limits:    netio.Limits{MaxDescriptors: 512, MemoryMiB: 64, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second},
	})
	return node.Server.Addr().String()
}

// purchaser sends purchases and counts the responses by status.
type purchaser struct {
	t *testing.T

	mu                sync.Mutex
	responsesByStatus map[int]int // number of responses by HTTP status; guarded by mu
}

// purchase sends one purchase to a node and waits for the response.
func (p *purchaser) purchase(id, addr string) {
	p.t.Helper()
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+addr+"/buy/0000000000000007", strings.NewReader("seats"))
	if err != nil {
		p.t.Errorf("creating the request of purchase %s: %v", id, err)
		return
	}
	for name, value := range map[string]string{
		protocol.HeaderRequestID: id, protocol.HeaderPlan: "team", protocol.HeaderTimeout: "1000",
		protocol.HeaderWeight: fmt.Sprintf("units=1,spread=%d,first=0", fleetNodes),
	} {
		request.Header.Set(name, value)
	}
	sentAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Errorf("sending purchase %s: %v", id, err)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		p.t.Errorf("reading the response to purchase %s: %v", id, err)
	}
	_ = response.Body.Close()
	if took := time.Since(sentAt); took > time.Second {
		p.t.Errorf("purchase %s got its response after %v, want at most 1s", id, took)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesByStatus[response.StatusCode]++
}

// TestPurchasesHoldQuotaWhileTheStoreFails guards against a faulty store that affects requests. Six nodes serve purchases
// over HTTP while the store has its faults. No purchase runs twice, every request gets a response in time, and the customer
// gets at most a tenth more than its quota.
func TestPurchasesHoldQuotaWhileTheStoreFails(t *testing.T) {
	store, err := lab.Start("127.0.0.1:0", 5, []lab.Fault{
		{Kind: "cut", StartS: 3, DurationS: 0.7},
		{Kind: "split", StartS: 4.3, DurationS: 1},
		{Kind: "empty", StartS: 5.7},
		{Kind: "stall", StartS: 6.5, DurationS: 0.7},
		{Kind: "forget", StartS: 7.5, DurationS: 0.7, LossProbability: 0.3},
	})
	if err != nil {
		t.Fatal("starting the store:", err)
	}
	defer store.Close()
	app, nodes := startAppServer(t), make([]string, fleetNodes)
	for i := range nodes {
		nodes[i] = startNode(t, i, store.Addr(), app)
	}
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second))) // start of a window
	startedAt, duration := time.Now(), 9*time.Second
	client := &purchaser{t: t, responsesByStatus: map[int]int{}}
	var pending sync.WaitGroup
	sent := 0
	for ; time.Since(startedAt) < duration; sent++ { // sends twice the quota, half of it to one node
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(sent) / (2 * teamRate) * float64(time.Second)))))
		id, node := fmt.Sprint("p", sent), 0
		if sent%2 > 0 {
			node = 1 + sent/2%(fleetNodes-1)
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			client.purchase(id, nodes[node])
		}()
	}
	pending.Wait()
	app.mu.Lock()
	defer app.mu.Unlock()
	for id, count := range app.executions {
		if count > 1 {
			t.Errorf("purchase %s ran %d times, want at most once", id, count)
		}
	}
	quotaShare := float64(len(app.executions)) / (teamRate * duration.Seconds())
	t.Logf("%d purchases sent, responses by status %v, %.3f of the quota used", sent, client.responsesByStatus, quotaShare)
	responded := client.responsesByStatus[http.StatusOK] + client.responsesByStatus[http.StatusServiceUnavailable] + client.responsesByStatus[http.StatusBadGateway]
	if responded != sent || quotaShare > 1.1 || quotaShare < 0.5 {
		t.Errorf("%d purchases sent: %d responses with status 200, 502 or 503 (by status: %v), %.4f of the quota used; want %d, and 0.5 to 1.1",
			sent, responded, client.responsesByStatus, quotaShare, sent)
	}
}
