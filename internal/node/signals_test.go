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
func serveDiscovery(t *testing.T, asked chan<- string) net.Listener {
	t.Helper()
	return nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		asked <- q.Host
		<-q.Context().Done()
	})
}

// wantAsked waits until a host was asked.
func wantAsked(t *testing.T, asked <-chan string, host string) {
	t.Helper()
	for deadline := time.After(3 * time.Second); ; {
		select {
		case got := <-asked:
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
	file, asked := filepath.Join(t.TempDir(), "config.json"), make(chan string, 99)
	first, second := serveDiscovery(t, asked), serveDiscovery(t, asked)
	got, answer := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(got)
		<-answer
		_, _ = io.Copy(w, q.Body)
	})
	listenOn := nodetest.FreeAddress(t)
	text := nodetest.NodeConfig(t, server.Addr(), listenOn, nodetest.FreeAddress(t))
	c := mustParse(t, text)
	nameDiscovery := func(ln net.Listener) {
		nodetest.WriteFile(t, file, strings.Replace(text, c.fileDiscovery, ln.Addr().String(), 1))
	}
	t.Setenv(EnvConfig, file)
	nameDiscovery(first)
	caught := CatchSignals() // as main does, before it reads anything
	for range 20 {
		nodetest.SignalSelf(t, syscall.SIGUSR1)
		nodetest.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	if len(caught.reload) != 1 || len(caught.counters) != 1 || len(caught.terminate) != 0 {
		t.Errorf("%d, %d, %d wait", len(caught.reload), len(caught.counters), len(caught.terminate))
	}
	ended := startNode(c)
	wantAsked(t, asked, first.Addr().String())
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-got
	nodetest.SignalSelf(t, syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	nameDiscovery(second)
	for range 9 {
		nodetest.SignalSelf(t, syscall.SIGUSR1)
		nodetest.SignalSelf(t, syscall.SIGTERM)
		nodetest.SignalSelf(t, syscall.SIGHUP)
	}
	wantAsked(t, asked, second.Addr().String())
	close(answer)
	wantLastResponse(t, conn)
	wantEnd(t, ended)
	caught.discard()
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
