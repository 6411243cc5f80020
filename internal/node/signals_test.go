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

// serveDiscovery starts a discovery service that leaves every call open, and sends the Host header of each call to
// requestedHosts.
func serveDiscovery(t *testing.T, requestedHosts chan<- string) net.Listener {
	t.Helper()
	return nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		requestedHosts <- q.Host
		<-q.Context().Done()
	})
}

// wantDiscoveryCall waits until requestedHosts delivers host, and fails the test after 3 s.
func wantDiscoveryCall(t *testing.T, requestedHosts <-chan string, host string) {
	t.Helper()
	for deadline := time.After(3 * time.Second); ; {
		select {
		case got := <-requestedHosts:
			if got == host {
				return
			}
		case <-deadline:
			t.Fatalf("discovery at %s received no call within 3 s, want one", host)
		}
	}
}

// Signals may come before the start, many at once, or during a drain. They must not end the process, and must not displace
// signals of another kind. A SIGHUP during a drain must switch discovery, because open requests may still be forwarded.
func TestSignalsAtAnyMoment(t *testing.T) {
	file, requestedHosts := filepath.Join(t.TempDir(), "config.json"), make(chan string, 99)
	first, second := serveDiscovery(t, requestedHosts), serveDiscovery(t, requestedHosts)
	arrived, respond := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-respond
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
	signals := CatchSignals() // as main does before it reads any file
	for range 20 {
		nodetest.SignalSelf(t, syscall.SIGUSR1)
		nodetest.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	if len(signals.reload) != 1 || len(signals.counters) != 1 || len(signals.terminate) != 0 {
		t.Errorf("pending signals: %d SIGHUP, %d SIGUSR1, %d SIGTERM, want 1, 1, 0",
			len(signals.reload), len(signals.counters), len(signals.terminate))
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
	close(respond)
	wantLastResponse(t, conn)
	wantEnd(t, ended)
	signals.discard()
}

// discard removes the pending signals, so that no other test receives them.
func (s Signals) discard() {
	for len(s.terminate)+len(s.reload)+len(s.counters) > 0 {
		select {
		case <-s.terminate:
		case <-s.reload:
		case <-s.counters:
		}
	}
}

// A log reader that closes its end of the pipe, as in a restart, must not end the node by SIGPIPE. The test runs its own binary
// as the process that writes.
func TestClosedLogPipeDoesNotEndNode(t *testing.T) {
	if os.Getenv("LOG_READER_CLOSED") != "" {
		CatchSignals()
		for range 3 {
			fmt.Fprintln(os.Stderr, "a line that nobody reads")
		}
		fmt.Println("still running")
		return
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseNow(t, r)
	nodetest.CloseAtEnd(t, w)
	cmd := exec.Command(os.Args[0], "-test.run=^TestClosedLogPipeDoesNotEndNode$")
	cmd.Env, cmd.Stderr = append(os.Environ(), "LOG_READER_CLOSED=1"), w
	if out, err := cmd.Output(); err != nil || !strings.Contains(string(out), "still running") {
		t.Errorf("process with a closed log pipe wrote %q and ended with error %v, want %q and no error", out, err, "still running")
	}
}
