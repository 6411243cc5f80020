package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// A node serves by its known list while discovery is down. SIGHUP moves it to another discovery address, or changes nothing
// where the file is malformed. SIGTERM ends it once every accepted request has its response.
func TestNodeServesAndDrains(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-answer
		_, _ = io.Copy(w, q.Body)
	})
	listenOn := nodetest.FreeAddress(t)
	text := nodetest.NodeConfig(t, server.Addr(), listenOn, nodetest.FreeAddress(t))
	c := mustParse(t, text)
	ended := startNode(c)
	nodetest.Eventually(t, 5*time.Second, "a listener", func() bool { return nodetest.Accepts(listenOn) })
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-arrived
	requestURIs := make(chan string, 1)
	discovery := nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		requestURIs <- q.RequestURI
		<-answer
	})
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, file)
	t.Setenv(envDiscovery, c.Discovery)
	newText := strings.Replace(text, c.Discovery, discovery.Addr().String(), 1)
	for _, content := range []string{newText[:len(newText)-9], newText} {
		nodetest.WriteFile(t, file, content)
		nodetest.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case uri := <-requestURIs:
		if uri != protocol.EndpointsPath {
			t.Errorf("the new discovery was asked %s", uri)
		}
	case <-time.After(3 * time.Second):
		t.Error("the new discovery was never asked")
	}
	nodetest.SignalSelf(t, syscall.SIGTERM)
	time.Sleep(drainAcceptTime + 100*time.Millisecond)
	select {
	case err := <-ended:
		t.Fatalf("ended with a request open: %v", err)
	default:
	}
	close(answer)
	wantLastResponse(t, conn)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// wantLastResponse reads a complete response that has the request's body and closes its connection.
func wantLastResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || string(body) != nodetest.RequestBody || !response.Close || err != nil {
		t.Errorf("status %d, %q, closes %v, %v", response.StatusCode, body, response.Close, err)
	}
}

// wantEnd waits for a node that drains, for 3 s longer than it still accepts clients.
func wantEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(drainAcceptTime + 3*time.Second):
		t.Error("the node does not end")
	}
}

// A node whose log is never read serves, and ends on SIGTERM.
func TestBlockedLogDoesNotDelayShutdown(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseAtEnd(t, r)
	nodetest.CloseAtEnd(t, w)
	old := os.Stderr
	os.Stderr = w
	defer func() { os.Stderr = old }()
	fillPipe(t, w)
	listenOn := nodetest.FreeAddress(t)
	ended := startNode(mustParse(t, nodetest.ConfigAt(listenOn, nodetest.FreeAddress(t), nodetest.AnyPort)))
	nodetest.Eventually(t, 5*time.Second, "a listener", func() bool { return nodetest.Accepts(listenOn) })
	nodetest.SignalSelf(t, syscall.SIGTERM)
	wantEnd(t, ended)
}

// fillPipe writes until a pipe takes no more.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var err error
	for err == nil {
		_, err = w.Write(make([]byte, 1<<12))
	}
	if err := w.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// A node waits at its start for addresses that the previous process still holds. Any other error on an address ends the start
// at once.
func TestStartWaitsForItsAddresses(t *testing.T) {
	tcp, udp := nettest.Listen(t), nodetest.ListenPacket(t)
	c := mustParse(t, nodetest.ConfigAt(tcp.Addr().String(), nodetest.FreeAddress(t), udp.LocalAddr().String()))
	ended := startNode(c)
	time.Sleep(2 * startRetryInterval)
	nodetest.CloseNow(t, udp)
	time.Sleep(2 * startRetryInterval)
	select {
	case err := <-ended:
		t.Fatal(err)
	default:
	}
	nodetest.CloseNow(t, tcp)
	nodetest.Eventually(t, 5*time.Second, "a listener", func() bool {
		response, err := http.Get("http://" + c.Listen + protocol.HealthPath)
		return err == nil && response.Body.Close() == nil
	})
	nodetest.SignalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := retryOpen(nil, func() error { return syscall.EACCES }); !errors.Is(err, syscall.EACCES) {
		t.Error(err)
	}
}

// Close closes the parts in the reverse order, each once, also where it is called twice.
func TestPartsAreClosedInReverse(t *testing.T) {
	var n Node
	var closed []int
	for i := range 3 {
		n.onClose(func() { closed = append(closed, i) })
	}
	n.Close()
	n.Close()
	if !slices.Equal(closed, []int{2, 1, 0}) {
		t.Errorf("closed %v", closed)
	}
}

// After a start that failed Close closes the opened parts: here the log and the timer, as the peer socket's address is foreign.
func TestFailedStartIsClosed(t *testing.T) {
	n := New(mustParse(t, strings.Replace(nodetest.GoodConfig, `"127.0.0.4:7946"`, `"192.0.2.1:7946"`, 1)))
	err := n.Start()
	if !errors.Is(err, syscall.EADDRNOTAVAIL) || len(n.closers) != 2 || n.router != nil {
		t.Errorf("%v, %d to close", err, len(n.closers))
	}
	n.Close()
	if len(n.closers) != 0 {
		t.Errorf("%d left to close", len(n.closers))
	}
}
