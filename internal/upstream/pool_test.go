package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
	"cherrygap/internal/upstream"
)

// idleConn makes a request and returns the pool's one idle connection.
func idleConn(t *testing.T, node *frontendtest.Node) (*routing.Server, *upstream.Conn) {
	t.Helper()
	if status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); status != 200 {
		t.Fatalf("status %d", status)
	}
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	for server, stack := range node.Pool.Idle() {
		return server, stack[0]
	}
	t.Fatal("no idle connection")
	return nil, nil
}

// A connection that was taken and carried no message keeps its idle time, as it does at its server.
func TestUnusedConnectionKeepsIdleTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	node.Pool.Mutex().Lock()
	conn.SetIdleSince(time.Now().Add(-frontendtest.Limits.ServerIdleTimeout / 2))
	since := conn.IdleSince()
	node.Pool.Mutex().Unlock()
	if node.Pool.Get(server) != conn {
		t.Fatal("another connection")
	}
	if node.Pool.Put(conn); conn.IdleSince() != since {
		t.Errorf("idle since %v, not %v", conn.IdleSince(), since)
	}
	node.Pool.Get(server)
	conn.AddRequest()
	if node.Pool.Put(conn); time.Since(conn.IdleSince()) > time.Second {
		t.Errorf("used, idle since %v", conn.IdleSince())
	}
}

// A connection that is put back after its server went out of service is closed.
func TestConnectionOfAnUnlistedServerIsClosedOnPut(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	nettest.Eventually(t, "its settling", func() bool { return time.Since(conn.IdleSince()) > upstream.SettleTime })
	if node.Pool.Get(server) != conn {
		t.Fatal("another connection")
	}
	node.Router.UpdateEndpoints(&protocol.EndpointList{Full: true}, routing.FromDiscovery)
	node.Pool.KeepOnly(node.Router.InService)
	node.Pool.Put(conn)
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	if len(node.Pool.Idle()) != 0 || node.Pool.Total() != 0 || !node.Log.ClosedFor(netio.ReasonServerUnlisted) {
		t.Errorf("%d stacks, %d connections", len(node.Pool.Idle()), node.Pool.Total())
	}
}

// A duplicate response that arrives between the first bytes and the last byte of the next request is not read as its
// response. The request uses another connection.
func TestSecondResponseBeforeTheLastByteIsNoResponse(t *testing.T) {
	listener := nettest.Listen(t)
	go nettest.ServeConns(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for served := 0; ; served++ {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			if served > 0 {
				nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			}
			request, err := http.ReadRequest(reader)
			if err != nil || !frontendtest.Echo(conn, request) {
				return
			}
		}
	})
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 0, nil)
	node.ListOnly(frontendtest.Endpoint("s", listener))
	for range 4 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "mine")); status != 200 || body != "mine" {
			t.Errorf("status %d, %q", status, body)
		}
		time.Sleep(2 * upstream.SettleTime)
	}
	if !node.Log.ClosedFor(netio.ReasonServerStale) || node.Counters.Upstream.Attempts.Load() != 4 {
		t.Errorf("%d attempts", node.Counters.Upstream.Attempts.Load())
	}
}

// The wait for a reset before the last byte depends on the connection's round trip, so it is short on a fast network.
// Only the faster half of the requests counts, because a busy machine delays some.
func TestTheWaitForAResetIsAFewRoundTrips(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 2, frontendtest.Echo)
	conn := node.Dial(t)
	var took []time.Duration
	for range 60 {
		startedAt := time.Now()
		if status, body, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(2000, "x")); status != 200 || body != "x" {
			t.Fatal(status, body)
		}
		took = append(took, time.Since(startedAt))
	}
	slices.Sort(took)
	if half := took[len(took)/2]; half > 2*time.Millisecond {
		t.Errorf("half of the requests took over %v", half)
	}
}

// A connection that its server closed while idle is not used: a request written to it would count as one that may have
// run.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		frontendtest.Echo(conn, request)
		return false
	})
	conn := node.Dial(t)
	for range 5 {
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 {
			t.Fatalf("status %d", status)
		}
		nettest.Eventually(t, "the server's close", func() bool {
			node.Pool.Mutex().Lock()
			defer node.Pool.Mutex().Unlock()
			closed := 0
			for _, stack := range node.Pool.Idle() {
				for _, idle := range stack {
					if !idle.Usable() {
						closed++
					}
				}
			}
			return closed == 1
		})
		time.Sleep(upstream.SettleTime)
	}
	if !node.Log.ClosedFor(netio.ReasonServerClosed) {
		t.Error("no line for the closed connection")
	}
}

// If an idle connection breaks at its next use, others that were idle as long are not used. Otherwise each would cost
// an unsafe request.
func TestStaleConnectionReducesIdleLimit(t *testing.T) {
	var mu sync.Mutex // guards first
	served := map[string]bool{}
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		remoteAddr := conn.RemoteAddr().String()
		if served[remoteAddr] {
			nettest.DiscardAll(request.Body)
			return false
		}
		served[remoteAddr] = true
		return frontendtest.Echo(conn, request)
	})
	failed := 0
	for range 12 {
		if status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); status != 200 {
			failed++
		}
		time.Sleep(4 * upstream.SettleTime)
	}
	if failed != 1 {
		t.Errorf("%d of 12 requests failed", failed)
	}
}

// A connection is not used within SettleTime of a response, so a duplicate response can't be read as the next one.
func TestConnectionSettlesAfterAResponse(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	node.Pool.Mutex().Lock()
	conn.SetIdleSince(time.Now().Add(time.Hour))
	node.Pool.Mutex().Unlock()
	if node.Pool.Get(server) != nil {
		t.Error("taken at once")
	}
	conn.SetIdleSince(time.Now().Add(-upstream.SettleTime))
	if node.Pool.Get(server) != conn {
		t.Error("not taken once it has settled")
	}
}

func TestIdleConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	limits := frontendtest.Limits
	limits.ServerIdleTimeout = 100 * time.Millisecond
	node := frontendtest.Start(t, settings.RetryUnsafe, limits, 1, frontendtest.Echo)
	frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	if node.Pool.IdleLimit() >= limits.ServerIdleTimeout {
		t.Errorf("closed after %v", node.Pool.IdleLimit())
	}
	nettest.Eventually(t, "its close", func() bool { return node.Log.ClosedFor(netio.ReasonIdle) })
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	if node.Pool.Total() != 0 || len(node.Pool.Idle()) != 0 {
		t.Errorf("%d connections left", node.Pool.Total())
	}
}

func TestPoolNeverHoldsMoreThanItsLimit(t *testing.T) {
	limits := frontendtest.LimitsForEight()
	node := frontendtest.Start(t, settings.RetrySafe, limits, 12, frontendtest.Echo)
	var clients sync.WaitGroup
	for range 4 {
		conn := node.Dial(t)
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range 60 {
				nettest.WriteString(conn, frontendtest.RequestText(3000, "x"))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode == 502 {
					t.Errorf("%v, %v", response, err)
					return
				}
				nettest.DiscardAll(response.Body)
				node.Pool.Mutex().Lock()
				if node.Pool.Total() > limits.MaxConnsPerSide() {
					t.Errorf("%d connections", node.Pool.Total())
				}
				node.Pool.Mutex().Unlock()
			}
		}()
	}
	clients.Wait()
}

// Resource exhaustion of the node is not reported as a failed connect, which would eject the server, at peers too.
func TestFullPoolIsNoConnectFailure(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 2, frontendtest.Echo)
	node.Pool.Mutex().Lock()
	node.Pool.SetTotal(frontendtest.Limits.MaxConnsPerSide())
	node.Pool.Mutex().Unlock()
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	outcomes := &node.Counters.Upstream.AttemptOutcomes
	if unsent := outcomes[protocol.NotSent].Load(); status != 503 || unsent == 0 || outcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("status %d, %d unsent", status, unsent)
	}
	node.Pool.Mutex().Lock()
	node.Pool.SetTotal(0)
	node.Pool.Mutex().Unlock()
	if status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); status != 200 {
		t.Errorf("then %d", status)
	}
}
