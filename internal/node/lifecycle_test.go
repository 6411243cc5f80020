package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/operatorfile"
)

// leakTimeout is the time within which the goroutines and descriptors of a closed node must be released.
const leakTimeout = 10 * time.Second

// wantNoLeak waits until the process has no more goroutines and descriptors than before.
func wantNoLeak(t *testing.T, before processResources) {
	t.Helper()
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // a garbage collection would close leaked sockets
	for deadline := time.Now().Add(leakTimeout); ; time.Sleep(time.Millisecond) {
		now := resourcesNow(t)
		if now.goroutines <= before.goroutines && now.descriptors <= before.descriptors {
			return
		}
		if time.Now().After(deadline) {
			_ = pprof.Lookup("goroutine").WriteTo(os.Stderr, 1) // the stacks show which goroutines are leaked
			t.Fatalf("process has %+v %v after Close, want at most %+v as before New", now, leakTimeout, before)
		}
	}
}

// processResources counts the resources of the process that a node must release when it is closed.
type processResources struct{ goroutines, descriptors int }

func resourcesNow(t *testing.T) processResources {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return processResources{goroutines: runtime.NumGoroutine(), descriptors: len(files)}
}

// echo is an app server's handler that responds with the request's body.
func echo(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }

// respondNoChange is a discovery service's handler that responds after 50 ms with a list without changes.
func respondNoChange(w http.ResponseWriter, q *http.Request) {
	select {
	case <-q.Context().Done():
	case <-time.After(50 * time.Millisecond):
		_, _ = io.WriteString(w, `{"rev":41,"all":false,"targets":[]}`)
	}
}

// allParts is an operator file that enables every optional part that needs no gRPC.
const allParts = "[shadow]\nenabled = true\n[health_checks]\nenabled = true\n[quota]\nstore = \"127.0.0.1:1\"\n"

// fleetConfig changes text to a configuration of the node with number 2, from 0, of three nodes. They are allowed to share health
// checks. peer is the address of the node's peer socket.
func fleetConfig(text, peer string) string {
	return strings.NewReplacer(`"peer_listen":"127.0.0.1:0"`, `"peer_listen":"`+peer+`"`,
		`["127.0.0.5:7946"]`, `["127.0.0.1:1","127.0.0.1:2","`+peer+`"]`,
		`"replicas_of_me":1`, `"slot_no":2,"replicas_of_me":3`, `"peers":true`, `"peers":true,"probes":true`).Replace(text)
}

// mustApply applies the text of an operator file to a configuration, and fails the test on an error.
func mustApply(t *testing.T, c *Config, operator string) *Config {
	t.Helper()
	file, keyErrors := operatorfile.Parse(operator)
	if len(keyErrors) > 0 {
		t.Fatalf("operatorfile.Parse(%q): errors %v, want none", operator, keyErrors)
	}
	if err := c.ApplyOperator(file); err != nil {
		t.Fatalf("ApplyOperator(%q): error %v, want none", operator, err)
	}
	return c
}

// A part that Close forgets would keep its goroutines and descriptors. The test starts, drains and closes a node several times,
// once with the platform's parts only and once with all optional parts.
func TestNodeStopsWithoutLeak(t *testing.T) {
	for _, test := range []struct{ name, operator string }{{"platform only", ""}, {"all parts", allParts}} {
		t.Run(test.name, func(t *testing.T) {
			server, discovery := nodetest.ServeHTTP(t, echo), nodetest.ServeHTTP(t, respondNoChange)
			before := resourcesNow(t)
			for range 4 {
				peer := nodetest.ListenPacket(t)
				nodetest.CloseNow(t, peer)
				listenOn := nodetest.FreeAddress(t)
				text := fleetConfig(nodetest.NodeConfig(t, server.Addr(), listenOn, discovery.Addr().String()), peer.LocalAddr().String())
				c := mustApply(t, mustParse(t, text), test.operator)
				if c.sharesHealthChecks() != (test.operator != "") {
					t.Fatalf("sharesHealthChecks() with operator file %q = %v, want %v", test.operator, c.sharesHealthChecks(), test.operator != "")
				}
				n := New(c)
				if err := n.Start(); err != nil {
					t.Fatalf("Start() = %v, want nil", err)
				}
				conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
				n.Drain()
				wantLastResponse(t, conn)
				nodetest.CloseNow(t, conn)
				n.Close()
				wantNoLeak(t, before)
			}
		})
	}
}

// Close without an earlier Drain must not drop a request: it must wait until the accepted request has its response.
func TestCloseAnswersOpenRequests(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-respond
		echo(w, q)
	})
	discovery := nodetest.ServeHTTP(t, respondNoChange)
	before := resourcesNow(t)
	listenOn := nodetest.FreeAddress(t)
	n := New(mustParse(t, nodetest.NodeConfig(t, server.Addr(), listenOn, discovery.Addr().String())))
	if err := n.Start(); err != nil {
		t.Fatalf("Start() = %v, want nil", err)
	}
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-arrived
	closed := make(chan struct{})
	go func() { // ends with the request
		n.Close()
		close(closed)
	}()
	nodetest.Eventually(t, leakTimeout, "the listener at "+listenOn+" to close", func() bool { return !nodetest.Accepts(listenOn) })
	select {
	case <-closed:
		t.Error("Close returned while a request was open, want it to wait for the response")
	default:
	}
	close(respond)
	wantLastResponse(t, conn)
	nodetest.CloseNow(t, conn)
	<-closed
	wantNoLeak(t, before)
}

// A draining node still forwards open requests, so it must follow discovery until the last one has ended. After that Close must
// end the discovery client.
func TestDiscoveryIsFollowedUntilTheLastRequestHasEnded(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-respond
		echo(w, q)
	})
	calls := make(chan struct{}, 1)
	discovery := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		select {
		case calls <- struct{}{}:
		default:
		}
		respondNoChange(w, q)
	})
	before := resourcesNow(t)
	listenOn := nodetest.FreeAddress(t)
	n := New(mustParse(t, nodetest.NodeConfig(t, server.Addr(), listenOn, discovery.Addr().String())))
	if err := n.Start(); err != nil {
		t.Fatalf("Start() = %v, want nil", err)
	}
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-arrived
	var drained sync.WaitGroup
	drained.Add(1)
	go func() { // ends with the request
		defer drained.Done()
		n.Drain()
	}()
	nodetest.Eventually(t, leakTimeout, "the listener at "+listenOn+" to close", func() bool { return !nodetest.Accepts(listenOn) })
	for k := range 3 { // the channel may hold one call from before the drain
		select {
		case <-calls:
		case <-time.After(leakTimeout):
			t.Fatalf("discovery received %d calls during the drain and no further one within %v, want 3", k, leakTimeout)
		}
	}
	close(respond)
	wantLastResponse(t, conn)
	drained.Wait()
	nodetest.CloseNow(t, conn)
	n.Close()
	wantNoLeak(t, before)
}

// Reload must switch to the discovery address in the new file. A truncated file, as while it is being written, must change
// nothing and give an error that may be temporary.
func TestReloadByCall(t *testing.T) {
	requestedHosts := make(chan string, 99)
	server, first, second := nodetest.ServeHTTP(t, echo), serveDiscovery(t, requestedHosts), serveDiscovery(t, requestedHosts)
	before := resourcesNow(t)
	listenOn := nodetest.FreeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, file)
	textFor := func(discovery net.Listener) string {
		return nodetest.NodeConfig(t, server.Addr(), listenOn, discovery.Addr().String())
	}
	n := New(mustParse(t, textFor(first)))
	if err := n.Start(); err != nil {
		t.Fatalf("Start() = %v, want nil", err)
	}
	wantDiscoveryCall(t, requestedHosts, first.Addr().String())
	text := textFor(second)
	nodetest.WriteFile(t, file, text[:len(text)/2])
	current := n.config
	if err := n.Reload(); !mayBeTemporary(err) || n.config != current {
		t.Errorf("Reload() of a truncated file = %v, configuration replaced: %v; want a temporary error and no replacement", err, n.config != current)
	}
	nodetest.WriteFile(t, file, text)
	if err := n.Reload(); err != nil || n.config.fileDiscovery != second.Addr().String() {
		t.Errorf("Reload() of the complete file = %v with discovery address %s, want nil and %s", err, n.config.fileDiscovery, second.Addr())
	}
	wantDiscoveryCall(t, requestedHosts, second.Addr().String())
	n.Close()
	wantNoLeak(t, before)
}

// A start that fails at some part must not leak the parts opened before. Close must release them. The start fails because an
// address does not belong to this machine, or because the program has no gRPC front end.
func TestFailedStartLeaksNothing(t *testing.T) {
	discovery := nodetest.ServeHTTP(t, respondNoChange)
	for _, test := range []struct {
		name, old, new, operator string
		want                     error
	}{
		{"peer socket", `"127.0.0.4:7946"`, `"192.0.2.1:7946"`, "", syscall.EADDRNOTAVAIL},
		{"front end", "127.0.0.4:9000", "192.0.2.1:9000", "", syscall.EADDRNOTAVAIL},
		{"gRPC front end", "127.0.0.4:9000", nodetest.FreeAddress(t), "[grpc]\nlisten = \"192.0.2.1:9001\"\n", errGRPCStart},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := resourcesNow(t)
			text := strings.Replace(nodetest.GoodConfig, test.old, test.new, 1)
			text = strings.NewReplacer("127.0.0.4:7946", "127.0.0.1:0", "127.0.0.9:8500", discovery.Addr().String()).Replace(text)
			n := New(mustApply(t, mustParse(t, text), test.operator))
			if err := n.Start(); !errors.Is(err, test.want) {
				t.Errorf("Start() = %v, want %v", err, test.want)
			}
			n.Close()
			wantNoLeak(t, before)
		})
	}
}
