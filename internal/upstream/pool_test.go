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

// idleConn sends a request and returns the pool's only idle connection with its server.
func idleConn(t *testing.T, node *frontendtest.Node) (*routing.Server, *upstream.Conn) {
	t.Helper()
	if status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); status != 200 {
		t.Fatalf("request that opens a connection: status %d, want 200", status)
	}
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	for server, stack := range node.Pool.Idle() {
		return server, stack[0]
	}
	t.Fatal("the pool has no idle connection after a request, want one")
	return nil, nil
}

// TestUnusedConnectionKeepsIdleTime guards against using a connection beyond the server's idle timeout. A connection that
// was taken from the pool but carried no message keeps its idle time, as it does at the server.
func TestUnusedConnectionKeepsIdleTime(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	node.Pool.Mutex().Lock()
	conn.SetIdleSince(time.Now().Add(-frontendtest.Limits.ServerIdleTimeout / 2))
	since := conn.IdleSince()
	node.Pool.Mutex().Unlock()
	if node.Pool.Get(server) != conn {
		t.Fatal("Get did not return the pool's idle connection, want that connection")
	}
	if node.Pool.Put(conn); conn.IdleSince() != since {
		t.Errorf("unused connection after Put: idle since %v, want %v", conn.IdleSince(), since)
	}
	node.Pool.Get(server)
	conn.AddRequest()
	if node.Pool.Put(conn); time.Since(conn.IdleSince()) > time.Second {
		t.Errorf("used connection after Put: idle for %v, want at most %v", time.Since(conn.IdleSince()), time.Second)
	}
}

// TestConnectionOfAnUnlistedServerIsClosedOnPut guards against connections that stay open for a server out of service. The
// server goes out of service while its connection is in use.
func TestConnectionOfAnUnlistedServerIsClosedOnPut(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	nettest.Eventually(t, "the end of the wait before the connection's reuse", func() bool { return time.Since(conn.IdleSince()) > upstream.ReuseDelay })
	if node.Pool.Get(server) != conn {
		t.Fatal("Get did not return the pool's idle connection, want that connection")
	}
	node.Router.UpdateEndpoints(&protocol.EndpointList{Full: true}, routing.FromDiscovery)
	node.Pool.KeepOnly(node.Router.InService)
	node.Pool.Put(conn)
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	if len(node.Pool.Idle()) != 0 || node.Pool.Total() != 0 || !node.Log.ClosedFor(netio.ReasonServerUnlisted) {
		t.Errorf("pool has %d servers with idle connections and %d connections in all, close logged with reason %q = %v; want 0, 0, true",
			len(node.Pool.Idle()), node.Pool.Total(), netio.ReasonServerUnlisted, node.Log.ClosedFor(netio.ReasonServerUnlisted))
	}
}

// TestSecondResponseBeforeTheLastByteIsNoResponse guards against reading a duplicate response as that of the next request. The
// duplicate arrives between the first bytes and the last byte of the next request, which must use another connection.
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
	node.SetOnlyServer(frontendtest.Endpoint("s", listener))
	for i := range 4 {
		if status, body, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "mine")); status != 200 || body != "mine" {
			t.Errorf("request %d: status %d, body %q; want 200, %q", i, status, body, "mine")
		}
		time.Sleep(2 * upstream.ReuseDelay)
	}
	if !node.Log.ClosedFor(netio.ReasonServerStale) || node.Counters.Upstream.Attempts.Load() != 4 {
		t.Errorf("4 requests: close logged with reason %q = %v, %d attempts; want true, 4",
			netio.ReasonServerStale, node.Log.ClosedFor(netio.ReasonServerStale), node.Counters.Upstream.Attempts.Load())
	}
}

// TestTheWaitForAResetIsAFewRoundTrips guards against adding a fixed delay to each request on a fast network. The wait for a
// reset before the last byte depends on the connection's round trip. Only the faster half of the requests counts, because a
// busy machine delays some.
func TestTheWaitForAResetIsAFewRoundTrips(t *testing.T) {
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 2, frontendtest.Echo)
	conn := node.Dial(t)
	var took []time.Duration
	for range 60 {
		startedAt := time.Now()
		if status, body, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(2000, "x")); status != 200 || body != "x" {
			t.Fatalf("response status %d, body %q; want 200, %q", status, body, "x")
		}
		took = append(took, time.Since(startedAt))
	}
	slices.Sort(took)
	if median := took[len(took)/2]; median > 2*time.Millisecond {
		t.Errorf("median duration of %d requests = %v, want at most %v", len(took), median, 2*time.Millisecond)
	}
}

// TestConnectionClosedWhileIdleIsNotUsed guards against using a connection that its server closed while it was idle. A request
// written to it would count as one that may have run.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		frontendtest.Echo(conn, request)
		return false
	})
	conn := node.Dial(t)
	for i := range 5 {
		if status, _, _ := frontendtest.RoundTrip(t, conn, frontendtest.RequestText(3000, "x")); status != 200 {
			t.Fatalf("request %d: status %d, want 200", i, status)
		}
		nettest.Eventually(t, "the server's close of the idle connection", func() bool {
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
		time.Sleep(upstream.ReuseDelay)
	}
	if !node.Log.ClosedFor(netio.ReasonServerClosed) {
		t.Errorf("no connection logged as closed with reason %q, want each that the server closed", netio.ReasonServerClosed)
	}
}

// TestStaleConnectionReducesIdleLimit guards against losing several unsafe requests to stale connections. The app server
// closes each connection at its second request. After the first such failure, connections that were idle as long must not be
// used.
func TestStaleConnectionReducesIdleLimit(t *testing.T) {
	var mu sync.Mutex // guards served
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
		time.Sleep(4 * upstream.ReuseDelay)
	}
	if failed != 1 {
		t.Errorf("%d of 12 requests failed, want exactly 1", failed)
	}
}

// TestConnectionIsNotReusedAtOnce guards against reading a duplicate response as the next one. A connection must not be
// used within ReuseDelay of a response.
func TestConnectionIsNotReusedAtOnce(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 1, frontendtest.Echo)
	server, conn := idleConn(t, node)
	node.Pool.Mutex().Lock()
	conn.SetIdleSince(time.Now().Add(time.Hour))
	node.Pool.Mutex().Unlock()
	if node.Pool.Get(server) != nil {
		t.Error("Get returned a connection immediately after its last response, want nil")
	}
	conn.SetIdleSince(time.Now().Add(-upstream.ReuseDelay))
	if node.Pool.Get(server) != conn {
		t.Error("Get did not return the connection after the wait before its reuse, want the connection")
	}
}

// TestIdleConnectionsAreClosedBeforeTheServerDoes guards against a request on a connection that the server is closing. The
// node must close idle connections before the server's idle timeout ends.
func TestIdleConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	limits := frontendtest.Limits
	limits.ServerIdleTimeout = 100 * time.Millisecond
	node := frontendtest.Start(t, settings.RetryUnsafe, limits, 1, frontendtest.Echo)
	frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	if node.Pool.IdleLimit() >= limits.ServerIdleTimeout {
		t.Errorf("idle limit of the pool = %v, want less than the server's idle timeout %v", node.Pool.IdleLimit(), limits.ServerIdleTimeout)
	}
	nettest.Eventually(t, "the node's close of the idle connection", func() bool { return node.Log.ClosedFor(netio.ReasonIdle) })
	node.Pool.Mutex().Lock()
	defer node.Pool.Mutex().Unlock()
	if node.Pool.Total() != 0 || len(node.Pool.Idle()) != 0 {
		t.Errorf("pool has %d connections in all and %d servers with idle ones, want 0 and 0", node.Pool.Total(), len(node.Pool.Idle()))
	}
}

// TestPoolNeverHoldsMoreThanItsLimit guards against more connections to app servers than the file descriptor limit allows.
// Four clients send requests to more app servers than the pool may have connections.
func TestPoolNeverHoldsMoreThanItsLimit(t *testing.T) {
	limits := frontendtest.LimitsForEightConnections()
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
					t.Errorf("response = %v, error %v; want a response with a status other than 502", response, err)
					return
				}
				nettest.DiscardAll(response.Body)
				node.Pool.Mutex().Lock()
				if node.Pool.Total() > limits.MaxConnsPerSide() {
					t.Errorf("pool has %d connections, want at most %d", node.Pool.Total(), limits.MaxConnsPerSide())
				}
				node.Pool.Mutex().Unlock()
			}
		}()
	}
	clients.Wait()
}

// TestFullPoolIsNoConnectFailure guards against ejecting a healthy server because the node itself ran out of resources. A
// reported connect failure would eject the server, at the node's peers too.
func TestFullPoolIsNoConnectFailure(t *testing.T) {
	node := frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 2, frontendtest.Echo)
	node.Pool.Mutex().Lock()
	node.Pool.SetTotal(frontendtest.Limits.MaxConnsPerSide())
	node.Pool.Mutex().Unlock()
	status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x"))
	outcomes := &node.Counters.Upstream.AttemptOutcomes
	if unsent := outcomes[protocol.NotSent].Load(); status != 503 || unsent == 0 || outcomes[protocol.ConnectFailed].Load() != 0 {
		t.Errorf("full pool: status %d, %d attempts counted as %v, %d as %v; want 503, at least 1, and 0",
			status, unsent, protocol.NotSent, outcomes[protocol.ConnectFailed].Load(), protocol.ConnectFailed)
	}
	node.Pool.Mutex().Lock()
	node.Pool.SetTotal(0)
	node.Pool.Mutex().Unlock()
	if status, _, _ := frontendtest.RoundTrip(t, node.Dial(t), frontendtest.RequestText(3000, "x")); status != 200 {
		t.Errorf("pool with room again: status %d, want 200", status)
	}
}
