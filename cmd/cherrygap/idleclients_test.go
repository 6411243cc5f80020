package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// fakeDiscovery is a discovery service that serves one endpoint list. On a silent listener, it accepts connections and never
// responds.
type fakeDiscovery struct {
	listSent chan time.Time // gets the time at which each listener has sent its first list
	list     string         // the full endpoint list in JSON, of revision 7
}

// serve accepts connections until the listener is closed.
func (d *fakeDiscovery) serve(ln net.Listener, silent bool) {
	var first sync.Once
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go d.serveConn(conn, silent, &first) // The goroutine ends with the connection.
	}
}

// serveConn responds to the calls on one connection. If silent, it reads them and does not respond.
func (d *fakeDiscovery) serveConn(conn net.Conn, silent bool, first *sync.Once) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		call, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if silent {
			continue
		}
		text := d.list
		if holdMs, _ := strconv.Atoi(call.FormValue(protocol.QueryHoldMs)); call.FormValue(protocol.QueryRevision) == "7" && holdMs > 0 {
			time.Sleep(time.Duration(holdMs) * time.Millisecond)
			text = `{"rev":7,"all":false,"targets":[]}`
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
		first.Do(func() { d.listSent <- time.Now() })
	}
}

// listenAt serves at an address until the listener is closed, at the latest at the test's end.
func (d *fakeDiscovery) listenAt(t *testing.T, address string, silent bool) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseAtEnd(t, ln)
	go d.serve(ln, silent)
	return ln
}

// idleClients are clients that hold idle connections to a node, and a goroutine that samples the node's descriptors.
type idleClients struct {
	stop            chan struct{}
	goroutines      sync.WaitGroup
	peakDescriptors int // largest number of descriptors that the node held; valid after stopAll
}

// startIdleClients starts the clients and the sampler. A third of the clients send nothing, a third a part of a request, and a
// third a whole request. Each then keeps its connection, and opens a new one 150 ms after the node has closed it.
func startIdleClients(node *nodeProcess, clients int) *idleClients {
	c := &idleClients{stop: make(chan struct{})}
	c.start(func() {
		for ; !c.stopped(); time.Sleep(2 * time.Millisecond) {
			c.peakDescriptors = max(c.peakDescriptors, node.descriptors())
		}
	})
	for k := range clients {
		c.start(func() {
			for ; !c.stopped(); time.Sleep(150 * time.Millisecond) {
				c.holdConnection(node.address, []string{"", "POST /seats/", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"}[k%3])
			}
		})
	}
	return c
}

// start runs a function on a goroutine that stopAll waits for.
func (c *idleClients) start(run func()) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		run()
	}()
}

func (c *idleClients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// holdConnection opens a connection, sends a text, and keeps the connection until the node closes it or stopAll is called.
func (c *idleClients) holdConnection(address, text string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text) // The node may have closed the connection already.
	ended := make(chan struct{})
	go func() { // The goroutine ends when the connection is closed.
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
}

// stopAll closes the clients' connections and waits for all goroutines.
func (c *idleClients) stopAll() {
	close(c.stop)
	c.goroutines.Wait()
}

// statusOf sends a request over a new connection and returns the response's status, or 0 without a response.
func statusOf(address, text string) (status int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(3*time.Second)) != nil {
		return 0
	}
	_, _ = io.WriteString(conn, text) // If the write fails, so does the read below.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// countStatuses sends requests over new connections, a few at a time, and counts their statuses. The node may close a connection
// in favour of others before it reads the request. The client then sends the request again, and countStatuses counts that in
// repeats.
func countStatuses(address string, requests int) (statuses map[int]int, repeats int) {
	const maxConcurrent = 4 // A node sends at most this many requests at once to a single new server.
	var mu sync.Mutex
	var clients sync.WaitGroup
	statuses = map[int]int{}
	slots := make(chan struct{}, maxConcurrent)
	for k := range requests {
		slots <- struct{}{}
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer func() { <-slots }()
			repeated := false
			status := statusOf(address, nodetest.RequestText(fmt.Sprint("new", k), 3*time.Second))
			if status == 0 {
				repeated = true
				status = statusOf(address, nodetest.RequestText(fmt.Sprint("new", k, "again"), 3*time.Second))
			}
			mu.Lock()
			defer mu.Unlock()
			if statuses[status]++; repeated {
				repeats++
			}
		}()
	}
	clients.Wait()
	return statuses, repeats
}

// countingServers are app servers that record the ids of the requests that reached them.
type countingServers struct{ requests sync.Map }

func (s *countingServers) handle(w http.ResponseWriter, q *http.Request) {
	s.requests.Store(q.Header.Get(protocol.HeaderRequestID), true)
	time.Sleep(20 * time.Millisecond)
	_, _ = io.Copy(w, q.Body)
}

func (s *countingServers) count() (n int) {
	s.requests.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

// Idle clients must not take the descriptors that the node needs for discovery and app servers. They fill the node's connections
// while discovery refuses connections, or accepts them and sends nothing. Once discovery is back, the node must get the list in
// time and serve new clients over new connections to app servers. It must never run out of descriptors.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, sockets := range []int{64, 128, 256} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d sockets, discovery silent %v", sockets, silent), func(t *testing.T) { testIdleClients(t, sockets, silent) })
		}
	}
}

func testIdleClients(t *testing.T, sockets int, silent bool) {
	const idleTime, maxDelay, newClients = 1200 * time.Millisecond, time.Second, 40
	var app countingServers
	var servers []string
	for range 3 {
		servers = append(servers, listEntry(nodetest.ServeHTTP(t, app.handle)))
	}
	discovery := &fakeDiscovery{
		listSent: make(chan time.Time, 1),
		list:     fmt.Sprintf(`{"rev":7,"all":true,"targets":[%s]}`, strings.Join(servers, ",")),
	}
	discoveryAddress := nodetest.FreeAddress(t)
	var silentListener net.Listener
	if silent {
		silentListener = discovery.listenAt(t, discoveryAddress, true)
	}
	node := startNodeProcess(t, discoveryAddress, sockets)
	idle := startIdleClients(node, sockets+100)
	time.Sleep(idleTime)
	heldDescriptors := node.descriptors()
	if silent { // The connections that the listener has accepted stay open and silent.
		nodetest.CloseNow(t, silentListener)
	}
	restoredAt := time.Now()
	discovery.listenAt(t, discoveryAddress, false)
	var listDelay, readyDelay time.Duration
	select {
	case sentAt := <-discovery.listSent:
		listDelay = sentAt.Sub(restoredAt)
	case <-time.After(6 * time.Second):
		t.Error("discovery sent no list within 6 s of listening again, want one")
	}
	node.eventually(t, "the node to be ready after discovery's return", func() bool {
		return statusOf(node.address, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n") == http.StatusOK
	})
	readyDelay = time.Since(restoredAt)
	statuses, repeats := countStatuses(node.address, newClients)
	idle.stopAll()
	attempts := app.count()
	node.kill(t)
	exhausted := bytes.Contains(node.log.Bytes(), []byte("too many open files"))
	if listDelay > maxDelay || readyDelay > maxDelay || statuses[http.StatusOK] != newClients || attempts != newClients ||
		idle.peakDescriptors > sockets || heldDescriptors > sockets/2+16 || repeats > newClients/8 || exhausted {
		t.Errorf("list sent %v and node ready %v after discovery's return, want at most %v; new clients by status (0 for no response) %v "+
			"and %d attempts, want %d of status 200 and as many attempts; %d requests sent again, want at most %d; "+
			"node has %d descriptors with idle clients, want at most %d; peak of %d descriptors, want at most %d; "+
			"\"too many open files\" in the node's log: %v, want false",
			listDelay, readyDelay, maxDelay, statuses, attempts, newClients, repeats, newClients/8, heldDescriptors, sockets/2+16,
			idle.peakDescriptors, sockets, exhausted)
	}
	t.Logf("%d descriptors with idle clients, %d at most, limit %d; list sent %v after discovery's return, node ready after %v; "+
		"statuses of new clients %v, %d repeats, %d attempts",
		heldDescriptors, idle.peakDescriptors, sockets, listDelay.Round(time.Millisecond), readyDelay.Round(time.Millisecond), statuses, repeats, attempts)
}
