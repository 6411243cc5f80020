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

// fakeDiscovery is a discovery service. A silent one accepts connections and never responds; another one serves one list.
type fakeDiscovery struct {
	listed chan time.Time // when its first list was written
	text   string
}

// serve takes connections until the listener is closed.
func (d *fakeDiscovery) serve(ln net.Listener, silent bool) {
	var first sync.Once
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go d.answer(conn, silent, &first) // ends with the connection
	}
}

// answer answers the calls of one connection.
func (d *fakeDiscovery) answer(conn net.Conn, silent bool, first *sync.Once) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		call, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if silent {
			continue
		}
		text := d.text
		if hold, _ := strconv.Atoi(call.FormValue(protocol.QueryHoldMs)); call.FormValue(protocol.QueryRevision) == "7" && hold > 0 {
			time.Sleep(time.Duration(hold) * time.Millisecond)
			text = `{"rev":7,"all":false,"targets":[]}`
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
		first.Do(func() { d.listed <- time.Now() })
	}
}

// listenAt begins to serve at an address, until the test's end or until the listener is closed.
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

// crowd is a number of clients that hold idle connections, and a sampler of the node's descriptors.
type crowd struct {
	stop    chan struct{}
	members sync.WaitGroup
	peak    int // descriptors that the node held at most; to be read after leave
}

// gather starts the crowd. A third of the clients send one request and stay, the others send nothing or half a request.
func gather(p *process, clients int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	c.start(func() {
		for ; !c.stopped(); time.Sleep(2 * time.Millisecond) {
			c.peak = max(c.peak, p.descriptors())
		}
	})
	for k := range clients {
		c.start(func() {
			for ; !c.stopped(); time.Sleep(150 * time.Millisecond) {
				c.hold(p.addr, []string{"", "POST /seats/", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"}[k%3])
			}
		})
	}
	return c
}

// start starts one goroutine of the crowd; leave waits for it.
func (c *crowd) start(run func()) {
	c.members.Add(1)
	go func() {
		defer c.members.Done()
		run()
	}()
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// hold opens one connection, sends a text, and keeps the connection until the node closes it or the crowd leaves.
func (c *crowd) hold(address, says string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, says) // it may be closed at once
	ended := make(chan struct{})
	go func() { // ends when the connection does
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
}

// leave ends the crowd.
func (c *crowd) leave() {
	close(c.stop)
	c.members.Wait()
}

// ask sends a request over a new connection and gives its status, or 0 without a whole response.
func ask(address, text string) (status int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(3*time.Second)) != nil {
		return 0
	}
	_, _ = io.WriteString(conn, text) // what follows says whether it arrived
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// askMany sends requests over new connections, a few at once, and counts their statuses. Where a connection was closed for
// others, over a request that was not read, the client sends it once more.
func askMany(address string, requests int) (statuses map[int]int, again int) {
	const atOnce = 4 // as many as a server alone is sent while it is not known yet
	var mu sync.Mutex
	var clients sync.WaitGroup
	statuses = map[int]int{}
	slots := make(chan struct{}, atOnce)
	for k := range requests {
		slots <- struct{}{}
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer func() { <-slots }()
			repeated := false
			status := ask(address, nodetest.RequestText(fmt.Sprint("new", k), 3*time.Second))
			if status == 0 {
				repeated = true
				status = ask(address, nodetest.RequestText(fmt.Sprint("new", k, "again"), 3*time.Second))
			}
			mu.Lock()
			defer mu.Unlock()
			if statuses[status]++; repeated {
				again++
			}
		}()
	}
	clients.Wait()
	return statuses, again
}

// countingServers are app servers that note the requests that reached them.
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

// Idle clients fill the node's connections while discovery is down: it refuses connections, or accepts them and is silent.
// Once discovery is back, the node has its list in time and serves new clients over new connections to app servers. It never
// runs out of descriptors.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, sockets := range []int{64, 128, 256} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprint(sockets, " silent ", silent), func(t *testing.T) { testCrowd(t, sockets, silent) })
		}
	}
}

func testCrowd(t *testing.T, sockets int, silent bool) {
	const crowdFor, listBy, fresh = 1200 * time.Millisecond, time.Second, 40
	var app countingServers
	var servers []string
	for range 3 {
		servers = append(servers, inService(nodetest.ServeHTTP(t, app.handle)))
	}
	d := &fakeDiscovery{
		listed: make(chan time.Time, 1),
		text:   fmt.Sprintf(`{"rev":7,"all":true,"targets":[%s]}`, strings.Join(servers, ",")),
	}
	where := nodetest.FreeAddress(t)
	var down net.Listener
	if silent {
		down = d.listenAt(t, where, true)
	}
	p := startProcess(t, where, sockets)
	c := gather(p, sockets+100)
	time.Sleep(crowdFor)
	full := p.descriptors()
	if silent { // those it has taken stay silent
		nodetest.CloseNow(t, down)
	}
	back := time.Now()
	d.listenAt(t, where, false)
	var listed, ready time.Duration
	select {
	case at := <-d.listed:
		listed = at.Sub(back)
	case <-time.After(6 * time.Second):
		t.Error("no list within 6 s")
	}
	p.eventually(t, "a ready node", func() bool { return ask(p.addr, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n") == http.StatusOK })
	ready = time.Since(back)
	got, again := askMany(p.addr, fresh)
	c.leave()
	attempts := app.count()
	p.kill(t)
	short := bytes.Contains(p.log.Bytes(), []byte("too many open files"))
	if listed > listBy || ready > listBy || got[http.StatusOK] != fresh || attempts != fresh || c.peak > sockets ||
		full > sockets/2+16 || again > fresh/8 || short {
		t.Errorf("list after %v, limit on descriptors reached: %v", listed, short)
	}
	t.Logf("%d descriptors in the crowd, %d at most of %d; list sent %v after discovery's return, ready after %v; new clients got %v, %d of them at their second try, %d attempts",
		full, c.peak, sockets, listed.Round(time.Millisecond), ready.Round(time.Millisecond), got, again, attempts)
}
