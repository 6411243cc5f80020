package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// Rare faults at the same time, by seed. App servers answer twice, reset, hang, reject, trickle, close and send
// malformed responses. Clients disconnect, pipeline and send too little or too much, and the node drains. Each client
// that stays gets its own response in time. An unsafe request runs once at most, and is rejected only if it has not
// run.
func TestRareFaultsTogether(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { faultsTogether(t, seed) })
	}
}

// faultMix is one run: a node, its app servers and its clients.
type faultMix struct {
	t                *testing.T
	node             *frontendtest.Node
	clients          sync.WaitGroup
	stop             atomic.Bool // clients send no more
	answered, served atomic.Int64

	mu   sync.Mutex // guards all below
	rand *rand.Rand
	runs map[string]int // executions of a request, by its body
}

func (m *faultMix) chance(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rand.Intn(n)
}

func faultsTogether(t *testing.T, seed int64) {
	t.Helper()
	m := &faultMix{t: t, rand: rand.New(rand.NewSource(seed)), runs: map[string]int{}}
	m.node = frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 24, m.serve)
	for range 50 {
		m.clients.Add(1)
		go func() {
			defer m.clients.Done()
			(&faultyClient{mix: m}).run()
		}()
	}
	nettest.Eventually(t, "requests", func() bool { return m.answered.Load() > 400 })
	drained := startDrain(m.node, 200*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	m.stop.Store(true)
	waitDrained(t, drained, 5*time.Second)
	m.clients.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for body, runs := range m.runs {
		if runs > 1 {
			t.Errorf("%q ran %d times", body, runs)
		}
	}
	if c := m.node.Counters; c.Requests.Load() != c.Completed.Load()+c.Rejected.Load()+c.Failed.Load()+c.ClientsGone.Load() {
		t.Errorf("%d requests; %d completed, %d rejected, %d failed, %d clients gone", c.Requests.Load(), c.Completed.Load(),
			c.Rejected.Load(), c.Failed.Load(), c.ClientsGone.Load())
	}
	t.Logf("%d answered, %d served, %d attempts", m.answered.Load(), m.served.Load(), m.node.Counters.Upstream.Attempts.Load())
}

// serve answers one attempt at an app server, with a random fault.
func (m *faultMix) serve(conn net.Conn, request *http.Request) bool {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if request.Method != http.MethodPost { // from another test's client that dials a reused port; this node forwards only POST
		m.t.Logf("app server got %s %s, host %s", request.Method, request.RequestURI, request.Host)
		return false
	}
	does := m.chance(100)
	if does >= 5 { // the server executes the request
		m.mu.Lock()
		m.runs[string(body)]++
		m.mu.Unlock()
	}
	time.Sleep(time.Duration(m.chance(8)) * time.Millisecond)
	good := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch {
	case does < 5:
		nettest.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+protocol.HeaderRejected+": "+protocol.RejectedValue+"\r\nContent-Length: 0\r\n\r\n")
	case does < 8:
		nettest.ResetOnClose(conn)
		return false
	case does < 11:
		nettest.WriteString(conn, "noise\r\n\r\n")
		return false
	case does < 14:
		nettest.WaitForClose(conn) // the node times out
		return false
	case does < 16:
		trickle(conn)
		return false
	case does < 30:
		startedAt := time.Now()
		nettest.WriteString(conn, good)
		time.Sleep(time.Duration(1000+m.chance(6000)) * time.Microsecond)
		if time.Since(startedAt) < 20*time.Millisecond { // not after a pause of the process
			nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}
	case does < 40:
		nettest.WriteString(conn, good)
		return false
	default:
		nettest.WriteString(conn, good)
	}
	return true
}

// trickle writes a response that never ends.
func trickle(conn net.Conn) {
	nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
	for {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// faultyClient sends one request after another on one connection, and reconnects after a close.
type faultyClient struct {
	mix    *faultMix
	conn   net.Conn // nil: none
	reader *bufio.Reader
	fresh  bool // the connection has carried no response
}

func (c *faultyClient) run() {
	for ; !c.mix.stop.Load(); time.Sleep(time.Duration(c.mix.chance(15)) * time.Millisecond) {
		if c.conn == nil {
			conn, err := net.Dial("tcp", c.mix.node.Server.Addr().String())
			if err != nil {
				return
			}
			c.conn, c.reader, c.fresh = conn, bufio.NewReader(conn), true
		}
		c.send()
	}
	c.close()
}

func (c *faultyClient) close() {
	if c.conn != nil {
		nettest.Close(c.conn)
		c.conn = nil
	}
}

// send sends one request and reads its response, unless the client disconnects first.
func (c *faultyClient) send() {
	timeout := time.Duration(300+c.mix.chance(600)) * time.Millisecond
	own := fmt.Sprint("own", frontendtest.LastID.Add(1))
	text := frontendtest.RequestText(int(timeout/time.Millisecond), own)
	does := c.mix.chance(100)
	switch {
	case does < 10:
		text += strings.Repeat("more ", 1+c.mix.chance(3000))
	case does < 15:
		text = text[:c.mix.chance(len(text))]
	}
	sentAt := time.Now()
	nettest.WriteString(c.conn, text)
	if does < 8 || does >= 10 && does < 25 { // it disconnects
		netio.SetReadDeadline(c.conn, sentAt.Add(time.Duration(c.mix.chance(60))*time.Millisecond))
		nettest.WaitForClose(c.conn)
		c.close()
		return
	}
	netio.SetReadDeadline(c.conn, sentAt.Add(timeout+2*time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if c.fresh || netio.TimedOut(err) {
			c.mix.t.Errorf("no response after %v of %v: %v", time.Since(sentAt), timeout, err)
		}
		c.close()
		return
	}
	body, err := io.ReadAll(response.Body)
	if took := time.Since(sentAt); err != nil || took > timeout+100*time.Millisecond {
		c.mix.t.Errorf("%v after %v of %v", err, took, timeout)
	}
	c.mix.check(own, response.StatusCode, string(body))
	if c.fresh = false; response.Close || does < 10 {
		c.close()
	}
}

// check checks the response to a request that has a unique body.
func (m *faultMix) check(own string, status int, body string) {
	m.mu.Lock()
	ran := m.runs[own]
	m.mu.Unlock()
	switch {
	case status == 200 && body == own:
		m.served.Add(1)
	case status == 502 || status == 503 && ran == 0:
	default:
		m.t.Errorf("%s: status %d, body %.20q, ran %d times", own, status, body, ran)
	}
	m.answered.Add(1)
}
