package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// startDiscoveryClient runs a client until the test ends. It sets Limits and Log, and defaults for Counters and OnList.
func startDiscoveryClient(t *testing.T, client *Client) {
	t.Helper()
	log := zerolog.Nop()
	client.Limits, client.Log = frontendtest.Limits, &log
	if client.Counters == nil {
		client.Counters = &Counters{}
	}
	if client.OnList == nil {
		client.OnList = func(*protocol.EndpointList) {}
	}
	go client.Run()
	t.Cleanup(client.Stop)
}

// awaitCall waits for one call. It fails the test if the call is not want or does not arrive within 3 s.
func awaitCall(t *testing.T, calls <-chan string, want string) {
	t.Helper()
	select {
	case got := <-calls:
		if got != want {
			t.Errorf("the client sent the call %s, want %s", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatalf("the client sent no call within 3 s, want %s", want)
	}
}

// A restarted discovery may count revisions from a low number. After a lower revision the client must ask for the full list.
// Otherwise it would wait for its known, higher revision while servers drain.
func TestDiscoveryClientAsksForAllWhereRevisionsGoBack(t *testing.T) {
	listener, calls := nettest.Listen(t), make(chan string, 99)
	go nettest.ServeHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		calls <- request.RequestURI
		switch request.FormValue(protocol.QueryRevision) {
		case "":
			nettest.WriteString(w, `{"rev":3,"all":true,"targets":[]}`)
		case "90":
			nettest.WriteString(w, `{"rev":2,"all":false,"targets":[]}`)
		default:
			<-request.Context().Done()
		}
	}))
	startDiscoveryClient(t, &Client{Addr: listener.Addr().String(), Revision: 90, OnFailure: func() {}})
	for _, want := range []string{"/v1/servers?from=90&hold_ms=1", "/v1/servers", "/v1/servers?from=3&hold_ms=1000"} {
		awaitCall(t, calls, want)
	}
}

// A race of connections must not read a long list on several connections at once, because on one core all would time out.
// The client may open at most four connections for a list that takes a second to arrive. If a response stops after half of the
// list, another connection delivers the list.
func TestDiscoveryClientReadsALongListOnce(t *testing.T) {
	for name, stops := range map[string]bool{"slow": false, "stops after half": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, conns := nettest.Listen(t), atomic.Int64{}
			go nettest.ServeConns(listener, func(conn net.Conn) {
				first := conns.Add(1) == 1
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					sendLongList(conn, stops && first, !stops || first)
					nettest.WaitForClose(conn)
				}
			})
			listed := make(chan struct{}, 99)
			startedAt := time.Now()
			startDiscoveryClient(t, &Client{
				Addr: listener.Addr().String(), NeedsFullList: true,
				OnList: func(*protocol.EndpointList) { listed <- struct{}{} }, OnFailure: func() {},
			})
			select {
			case <-listed:
			case <-time.After(5 * time.Second):
				t.Fatal("the client received no list within 5 s, want one")
			}
			took, opened := time.Since(startedAt), conns.Load()
			if t.Logf("the client received the list after %v and %d connections", took, opened); took > 1900*time.Millisecond || opened > 4 {
				t.Errorf("the client received the list after %v and %d connections, want at most 1.9 s and 4", took, opened)
			}
		})
	}
}

// sendLongList sends a list of 2 MiB in fifty pieces. If slow is set it pauses after each piece. If stops is set it stops after
// half of the list.
func sendLongList(conn net.Conn, stops, slow bool) {
	text := `{"rev":1,"all":true,"targets":[` + strings.Repeat(" ", 2<<20) + `]}`
	nettest.Respondf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	for i := 0; i < len(text); i += len(text) / 50 {
		if stops && i > len(text)/2 {
			return
		}
		if _, err := io.WriteString(conn, text[i:min(len(text), i+len(text)/50)]); err != nil {
			return
		}
		if slow {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// The client must stay up to date after a malformed list: it counts and drops the list, and calls again. After each response
// the next call follows at once.
func TestDiscoveryClientContinuesAfterMalformedList(t *testing.T) {
	listener, calls := nettest.Listen(t), make(chan string, 9)
	go serveResponsesInOrder(listener, calls, `{"rev":5,"all":true,"targets":[]}`, `{"rev":6,"targets":[]}`, `{"rev":"x"}`,
		`{"rev":7,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"terminating"}]}`)
	counters, lists := &Counters{}, make(chan *protocol.EndpointList, 9)
	startedAt := time.Now()
	startDiscoveryClient(t, &Client{
		Addr: listener.Addr().String(), NeedsFullList: true, Counters: counters,
		OnList: func(list *protocol.EndpointList) { lists <- list }, OnFailure: func() {},
	})
	for _, want := range []string{
		"/v1/servers", "/v1/servers?from=5&hold_ms=1000", "/v1/servers?from=6&hold_ms=1000",
		"/v1/servers?from=6&hold_ms=1", // the first call on a connection has a short hold
	} {
		if got := <-calls; got != want {
			t.Errorf("the client sent the call %q, want %q", got, want)
		}
	}
	if list := <-lists; !list.Full || list.Revision != 5 {
		t.Errorf("first list %+v, want the full list with revision 5", list)
	}
	list := <-lists
	if malformed, took := counters.MalformedLists.Load(), time.Since(startedAt); list.Revision != 7 || len(list.Endpoints) != 1 ||
		malformed != 1 || took > 2*time.Second {
		t.Errorf("second list %+v, %d malformed lists, after %v, want revision 7 with one endpoint, 1 malformed list, at most 2 s",
			list, malformed, took)
	}
}

// Interim responses ahead of a list must not fail the call: the node would miss changes from a discovery that sends them with each
// response. The client applies each list, and reuses the connection unless the interim response had status 101.
func TestDiscoveryClientReadsListsBehindInterimResponses(t *testing.T) {
	for _, c := range []struct {
		interim   string
		wantCalls int64 // number of answered calls on one connection
	}{
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 3},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n", 1},
	} {
		listener, mostCalls, lists := nettest.Listen(t), atomic.Int64{}, make(chan *protocol.EndpointList, 9)
		go nettest.ServeConns(listener, func(conn net.Conn) {
			calls := int64(0)
			nettest.ServeRequests(conn, func(conn net.Conn, request *http.Request) bool {
				revision, _ := strconv.Atoi(request.URL.Query().Get(protocol.QueryRevision))
				if revision == 3 {
					nettest.WaitForClose(conn)
					return false
				}
				calls++
				mostCalls.Store(max(calls, mostCalls.Load())) // one connection at a time is answered twice
				nettest.WriteString(conn, c.interim+listResponse(fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`, revision+1)))
				return true
			})
		})
		startDiscoveryClient(t, &Client{
			Addr: listener.Addr().String(), NeedsFullList: true, OnList: func(list *protocol.EndpointList) { lists <- list }, OnFailure: func() {},
		})
		for want := uint64(1); want <= 3; want++ {
			select {
			case list := <-lists:
				if list.Revision != want {
					t.Errorf("interim %q: list with revision %d, want %d", c.interim, list.Revision, want)
				}
			case <-time.After(5 * time.Second):
				t.Fatalf("interim %q: no list with revision %d within 5 s", c.interim, want)
			}
		}
		if got := mostCalls.Load(); got != c.wantCalls {
			t.Errorf("interim %q: %d calls on one connection, want %d", c.interim, got, c.wantCalls)
		}
	}
}

// Bytes behind a response belong to no call. The client must not take them for the response to its next call (RFC 9112, section
// 6.3), which it makes on another connection.
func TestDiscoveryClientIgnoresBytesBehindAResponse(t *testing.T) {
	listener, conns, lists := nettest.Listen(t), atomic.Int64{}, make(chan *protocol.EndpointList, 9)
	go nettest.ServeConns(listener, func(conn net.Conn) {
		first := conns.Add(1) == 1
		nettest.ServeRequests(conn, func(conn net.Conn, request *http.Request) bool {
			if first {
				nettest.WriteString(conn, listResponse(`{"rev":5,"all":true,"targets":[]}`)+listResponse(`{"rev":90,"all":true,"targets":[]}`))
				return true
			}
			if got := request.RequestURI; got != "/v1/servers?from=5&hold_ms=1000" {
				t.Errorf("second call %q, want the changes since revision 5", got)
			}
			nettest.WriteString(conn, listResponse(`{"rev":6,"all":true,"targets":[]}`))
			nettest.WaitForClose(conn)
			return false
		})
	})
	startDiscoveryClient(t, &Client{
		Addr: listener.Addr().String(), NeedsFullList: true, OnList: func(list *protocol.EndpointList) { lists <- list }, OnFailure: func() {},
	})
	for _, want := range []uint64{5, 6} {
		select {
		case list := <-lists:
			if list.Revision != want {
				t.Errorf("list with revision %d, want %d", list.Revision, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no list with revision %d within 5 s", want)
		}
	}
}

// serveResponsesInOrder serves one connection after another and answers each call with the next response. When there is none
// left it closes the connections.
func serveResponsesInOrder(listener net.Listener, calls chan<- string, responses ...string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		nettest.ServeRequests(conn, func(conn net.Conn, request *http.Request) bool {
			if len(responses) == 0 {
				return false
			}
			calls <- request.RequestURI
			nettest.WriteString(conn, listResponse(responses[0]))
			responses = responses[1:]
			return true
		})
		nettest.Close(conn)
	}
}

// Without a timeout of calls, a lost call would keep the client on an old list. After a call that is never answered the client
// must make another one.
func TestDiscoveryClientAsksAgainWhereACallIsLost(t *testing.T) {
	listener, calls := nettest.Listen(t), atomic.Int64{}
	go nettest.ServeHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if calls.Add(1) == 2 {
			<-request.Context().Done()
		}
		nettest.WriteString(w, `{"rev":5,"targets":[]}`)
	}))
	startedAt := time.Now()
	startDiscoveryClient(t, &Client{Addr: listener.Addr().String()}) // OnFailure is nil.
	nettest.Eventually(t, "a third call after the second was not answered", func() bool { return calls.Load() > 2 })
	if took := time.Since(startedAt); took > 4*time.Second {
		t.Errorf("the client made another call after %v, want at most 4 s", took)
	}
}

// A client that stayed with the old address or its revision would miss changes at the new one. SwitchTo ends a held call, and
// the client asks the new address for the full list.
func TestDiscoveryClientSwitches(t *testing.T) {
	calls := make(chan string, 9)
	var addrs []string
	for range 2 {
		listener := nettest.Listen(t)
		addrs = append(addrs, listener.Addr().String())
		go nettest.ServeHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			calls <- request.Host + request.RequestURI
			if request.RequestURI != protocol.EndpointsPath {
				<-request.Context().Done()
				return
			}
			nettest.WriteString(w, `{"rev":5,"all":true,"targets":[]}`)
		}))
	}
	var failed atomic.Bool
	client := &Client{Addr: addrs[0], NeedsFullList: true, OnFailure: func() { failed.Store(true) }}
	startDiscoveryClient(t, client)
	for _, addr := range []string{addrs[0], addrs[1], addrs[0]} {
		for _, uri := range []string{"/v1/servers", "/v1/servers?from=5&hold_ms=1000"} {
			awaitCall(t, calls, addr+uri)
		}
		if failed.Load() {
			t.Errorf("a call failed while the client followed %s, want no failure", addr)
		}
		client.SwitchTo(addrs[(slices.Index(addrs, addr)+1)%2])
	}
}
