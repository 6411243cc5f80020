package discovery

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// startDiscoveryClient runs a client until the test ends, with defaults for unset fields.
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

// awaitCall waits for one call.
func awaitCall(t *testing.T, calls <-chan string, want string) {
	t.Helper()
	select {
	case got := <-calls:
		if got != want {
			t.Errorf("call %s, want %s", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("no call for " + want)
	}
}

// After a lower revision the client asks for the full list. Otherwise it would wait for a distant revision while
// servers drain.
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

// A list that takes a second to arrive is read once, not on a dozen connections side by side, which on one core would
// all time out. After one that stops half-way another connection delivers the list in time.
func TestDiscoveryClientReadsALongListOnce(t *testing.T) {
	for name, stops := range map[string]bool{"slow": false, "stops half-way": true} {
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
				t.Fatal("never known")
			}
			took, opened := time.Since(startedAt), conns.Load()
			if t.Logf("known after %v, %d connections", took, opened); took > 1900*time.Millisecond || opened > 4 {
				t.Errorf("known after %v, %d connections", took, opened)
			}
		})
	}
}

// sendLongList sends a list of 2 MiB in fifty pieces, slowly or at once, and may stop half-way.
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

// The next call follows the last response at once. A malformed list is counted and dropped.
func TestDiscoveryClientGoesOn(t *testing.T) {
	listener, calls := nettest.Listen(t), make(chan string, 9)
	go answerInTurn(listener, calls, `{"rev":5,"all":true,"targets":[]}`, `{"rev":6,"targets":[]}`, `{"rev":"x"}`,
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
			t.Errorf("call %q, want %q", got, want)
		}
	}
	if list := <-lists; !list.Full || list.Revision != 5 {
		t.Errorf("first %+v", list)
	}
	list := <-lists
	if malformed, took := counters.MalformedLists.Load(), time.Since(startedAt); list.Revision != 7 || len(list.Endpoints) != 1 ||
		malformed != 1 || took > 2*time.Second {
		t.Errorf("then %+v, %d malformed, after %v", list, malformed, took)
	}
}

// answerInTurn serves one connection after another until all answers are sent.
func answerInTurn(listener net.Listener, calls chan<- string, answers ...string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		nettest.ServeRequests(conn, func(conn net.Conn, request *http.Request) bool {
			if len(answers) == 0 {
				return false
			}
			calls <- request.RequestURI
			nettest.WriteString(conn, listResponse(answers[0]))
			answers = answers[1:]
			return true
		})
		nettest.Close(conn)
	}
}

// After a call that is never answered the client soon makes another one.
func TestDiscoveryClientAsksAgainWhereACallIsLost(t *testing.T) {
	listener, calls := nettest.Listen(t), atomic.Int64{}
	go nettest.ServeHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if calls.Add(1) == 2 {
			<-request.Context().Done()
		}
		nettest.WriteString(w, `{"rev":5,"targets":[]}`)
	}))
	startedAt := time.Now()
	startDiscoveryClient(t, &Client{Addr: listener.Addr().String()}) // without OnFailure
	nettest.Eventually(t, "another call", func() bool { return calls.Load() > 2 })
	if took := time.Since(startedAt); took > 4*time.Second {
		t.Errorf("deaf for %v", took)
	}
}

// SwitchTo abandons a held call, and the client asks the new address for the full list.
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
			t.Error("a call failed")
		}
		client.SwitchTo(addrs[(slices.Index(addrs, addr)+1)%2])
	}
}
