package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
)

// serveDiscovery is a discovery service that holds every call, and reports which host was asked.
func serveDiscovery(t *testing.T, requestedHosts chan<- string) net.Listener {
	t.Helper()
	return nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		requestedHosts <- q.Host
		<-q.Context().Done()
	})
}

// wantDiscoveryCall waits until a host was asked.
func wantDiscoveryCall(t *testing.T, requestedHosts <-chan string, host string) {
	t.Helper()
	for deadline := time.After(3 * time.Second); ; {
		select {
		case got := <-requestedHosts:
			if got == host {
				return
			}
		case <-deadline:
			t.Fatal("discovery was not followed there")
		}
	}
}

// Signals before the start, many at once, and during a drain neither end the process nor displace a signal of another kind. A
// SIGHUP during a drain moves discovery, as open requests may still be forwarded.
func TestSignalsAtAnyMoment(t *testing.T) {
	file, requestedHosts := filepath.Join(t.TempDir(), "config.json"), make(chan string, 99)
	first, second := serveDiscovery(t, requestedHosts), serveDiscovery(t, requestedHosts)
	arrived, answer := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-answer
		_, _ = io.Copy(w, q.Body)
	})
	listenOn := nodetest.FreeAddress(t)
	text := nodetest.NodeConfig(t, server.Addr(), listenOn, nodetest.FreeAddress(t))
	c := mustParse(t, text)
	writeConfig := func(ln net.Listener) {
		nodetest.WriteFile(t, file, strings.Replace(text, c.fileDiscovery, ln.Addr().String(), 1))
	}
	t.Setenv(EnvConfig, file)
	writeConfig(first)
	signals := CatchSignals() // as main does, before it reads anything
	for range 20 {
		nodetest.SignalSelf(t, syscall.SIGUSR1)
		nodetest.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	if len(signals.reload) != 1 || len(signals.counters) != 1 || len(signals.terminate) != 0 {
		t.Errorf("%d, %d, %d wait", len(signals.reload), len(signals.counters), len(signals.terminate))
	}
	ended := startNode(c)
	wantDiscoveryCall(t, requestedHosts, first.Addr().String())
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-arrived
	nodetest.SignalSelf(t, syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	writeConfig(second)
	for range 9 {
		nodetest.SignalSelf(t, syscall.SIGUSR1)
		nodetest.SignalSelf(t, syscall.SIGTERM)
		nodetest.SignalSelf(t, syscall.SIGHUP)
	}
	wantDiscoveryCall(t, requestedHosts, second.Addr().String())
	close(answer)
	wantLastResponse(t, conn)
	wantEnd(t, ended)
	signals.discard()
}

// discard removes pending signals, so that no other test receives them.
func (s Signals) discard() {
	for len(s.terminate)+len(s.reload)+len(s.counters) > 0 {
		select {
		case <-s.terminate:
		case <-s.reload:
		case <-s.counters:
		}
	}
}

// A log reader that closes its end, as in a restart, does not end the node. The test runs itself as the writing process.
func TestClosedLogPipeDoesNotEndNode(t *testing.T) {
	if os.Getenv("LOG_READER_WENT") != "" {
		CatchSignals()
		for range 3 {
			fmt.Fprintln(os.Stderr, "a line that nobody reads")
		}
		fmt.Println("goes on")
		return
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseNow(t, r)
	nodetest.CloseAtEnd(t, w)
	cmd := exec.Command(os.Args[0], "-test.run=^TestClosedLogPipeDoesNotEndNode$")
	cmd.Env, cmd.Stderr = append(os.Environ(), "LOG_READER_WENT=1"), w
	if out, err := cmd.Output(); err != nil || !strings.Contains(string(out), "goes on") {
		t.Errorf("%q, %v", out, err)
	}
}
