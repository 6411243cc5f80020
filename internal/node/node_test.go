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

// A node must serve with the known list of its configuration while discovery is down. SIGHUP must switch it to another discovery
// address, but change nothing while the file is truncated. SIGTERM must not end it before every accepted request has its response.
func TestNodeServesAndDrains(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-respond
		_, _ = io.Copy(w, q.Body)
	})
	listenOn := nodetest.FreeAddress(t)
	text := nodetest.NodeConfig(t, server.Addr(), listenOn, nodetest.FreeAddress(t))
	c := mustParse(t, text)
	ended := startNode(c)
	nodetest.Eventually(t, 5*time.Second, "the node to listen at "+listenOn, func() bool { return nodetest.Accepts(listenOn) })
	conn := nodetest.SendRequest(t, listenOn, "9", 9*time.Second)
	<-arrived
	requestURIs := make(chan string, 1)
	discovery := nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		requestURIs <- q.RequestURI
		<-respond
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
			t.Errorf("the new discovery service received a request of %s, want %s", uri, protocol.EndpointsPath)
		}
	case <-time.After(3 * time.Second):
		t.Error("the new discovery service received no request within 3 s of SIGHUP, want one")
	}
	nodetest.SignalSelf(t, syscall.SIGTERM)
	time.Sleep(drainAcceptTime + 100*time.Millisecond)
	select {
	case err := <-ended:
		t.Fatalf("Serve() = %v while a request was open, want it to wait for the response", err)
	default:
	}
	close(respond)
	wantLastResponse(t, conn)
	if err := <-ended; err != nil {
		t.Errorf("Serve() = %v after SIGTERM, want nil", err)
	}
}

// wantLastResponse reads a response from conn. It checks that the response is complete, has the request's body and closes the
// connection.
func wantLastResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("reading the response to the open request: error %v, want none", err)
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || string(body) != nodetest.RequestBody || !response.Close || err != nil {
		t.Errorf("response has status %d, body %q, closes the connection: %v, read error %v; want %d, %q, true, nil",
			response.StatusCode, body, response.Close, err, http.StatusOK, nodetest.RequestBody)
	}
}

// wantEnd waits until a draining node has ended, for at most 3 s more than drainAcceptTime. It checks that Serve returns no
// error.
func wantEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("Serve() = %v after SIGTERM, want nil", err)
		}
	case <-time.After(drainAcceptTime + 3*time.Second):
		t.Errorf("Serve did not return within %v of SIGTERM, want it to return", drainAcceptTime+3*time.Second)
	}
}

// A log reader that stops reading must not block the node. The test fills the pipe of the log before the node starts. The node
// must still accept connections, and end on SIGTERM.
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
	ended := startNode(mustParse(t, nodetest.ConfigAt(listenOn, nodetest.FreeAddress(t), nodetest.LoopbackAddr)))
	nodetest.Eventually(t, 5*time.Second, "the node to listen at "+listenOn, func() bool { return nodetest.Accepts(listenOn) })
	nodetest.SignalSelf(t, syscall.SIGTERM)
	wantEnd(t, ended)
}

// fillPipe writes to a pipe until it is full, so that the next write blocks.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatalf("set the pipe's write deadline: %v", err)
	}
	var err error
	for err == nil {
		_, err = w.Write(make([]byte, 1<<12))
	}
	if err := w.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatalf("clear the pipe's write deadline: %v", err)
	}
}

// After a restart the previous process may still use the node's addresses, so a start must wait until they are free. Any other
// error of an address must end the start at once.
func TestStartWaitsForItsAddresses(t *testing.T) {
	tcp, udp := nettest.Listen(t), nodetest.ListenPacket(t)
	c := mustParse(t, nodetest.ConfigAt(tcp.Addr().String(), nodetest.FreeAddress(t), udp.LocalAddr().String()))
	ended := startNode(c)
	time.Sleep(2 * startRetryInterval)
	nodetest.CloseNow(t, udp)
	time.Sleep(2 * startRetryInterval)
	select {
	case err := <-ended:
		t.Fatalf("Serve() = %v while its TCP address was in use, want it to wait", err)
	default:
	}
	nodetest.CloseNow(t, tcp)
	nodetest.Eventually(t, 5*time.Second, "the node's health check at "+c.Listen+" to respond", func() bool {
		response, err := http.Get("http://" + c.Listen + protocol.HealthPath)
		return err == nil && response.Body.Close() == nil
	})
	nodetest.SignalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("Serve() = %v after SIGTERM, want nil", err)
	}
	if err := retryOpen(nil, func() error { return syscall.EACCES }); !errors.Is(err, syscall.EACCES) {
		t.Errorf("retryOpen() of an address that fails with %v = %v, want that error", syscall.EACCES, err)
	}
}

// A part may use the parts opened before it until it is closed itself, so Close must close them in reverse order. A second Close
// must not close them again.
func TestPartsAreClosedInReverse(t *testing.T) {
	var n Node
	var closed []int
	for i := range 3 {
		n.onClose(func() { closed = append(closed, i) })
	}
	n.Close()
	n.Close()
	if !slices.Equal(closed, []int{2, 1, 0}) {
		t.Errorf("Close, called twice, closed the parts %v, want [2 1 0]", closed)
	}
}

// Close after a failed start must close the parts that are open. Here these are the log and the timer, because the address of
// the peer socket does not belong to this machine.
func TestFailedStartIsClosed(t *testing.T) {
	n := New(mustParse(t, strings.Replace(nodetest.GoodConfig, `"127.0.0.4:7946"`, `"192.0.2.1:7946"`, 1)))
	err := n.Start()
	if !errors.Is(err, syscall.EADDRNOTAVAIL) || len(n.closers) != 2 || n.router != nil {
		t.Errorf("Start() = %v, %d parts to close, router built: %v; want %v, 2 parts, no router",
			err, len(n.closers), n.router != nil, syscall.EADDRNOTAVAIL)
	}
	n.Close()
	if len(n.closers) != 0 {
		t.Errorf("after Close %d parts are left to close, want 0", len(n.closers))
	}
}
