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

// Faults that are harmless alone may lose, mix up or repeat requests when they occur together. App servers answer twice,
// reset, hang, reject, respond slowly, close and send malformed responses. Clients disconnect, pipeline and send too few or
// too many bytes, and the node drains. Each connected client must get the response to its own request in time. An unsafe
// request must run at most once, and a rejected one must not have run.
func TestRareFaultsTogether(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

// faultRun is the state of one run with a node, its app servers and its clients.
type faultRun struct {
	t                *testing.T
	node             *frontendtest.Node
	clients          sync.WaitGroup
	stop             atomic.Bool  // set when the clients must stop
	answered, served atomic.Int64 // numbers of requests with any response, and with the app server's response

	mu         sync.Mutex // guards the fields below
	rand       *rand.Rand
	executions map[string]int // number of executions of a request, keyed by its body
}

// randomInt returns a random number from 0 to n-1.
func (r *faultRun) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Intn(n)
}

func runFaults(t *testing.T, seed int64) {
	t.Helper()
	r := &faultRun{t: t, rand: rand.New(rand.NewSource(seed)), executions: map[string]int{}}
	r.node = frontendtest.Start(t, settings.RetryUnsafe, frontendtest.Limits, 24, r.serve)
	for range 50 {
		r.clients.Add(1)
		go func() {
			defer r.clients.Done()
			(&faultyClient{faultRun: r}).run()
		}()
	}
	nettest.Eventually(t, "more than 400 answered requests", func() bool { return r.answered.Load() > 400 })
	drained := startDrain(r.node, 200*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	r.stop.Store(true)
	waitDrained(t, drained, 5*time.Second)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for body, runs := range r.executions {
		if runs > 1 {
			t.Errorf("request %q ran %d times, want at most once", body, runs)
		}
	}
	if c := r.node.Counters; c.Requests.Load() != c.Completed.Load()+c.Rejected.Load()+c.Failed.Load()+c.ClientsGone.Load() {
		t.Errorf("counters: %d requests; %d completed, %d rejected, %d failed, %d clients gone; want the sum of the results to equal the requests",
			c.Requests.Load(), c.Completed.Load(), c.Rejected.Load(), c.Failed.Load(), c.ClientsGone.Load())
	}
	t.Logf("%d requests answered, %d of them by an app server, %d attempts", r.answered.Load(), r.served.Load(), r.node.Counters.Upstream.Attempts.Load())
}

// serve answers one attempt at an app server, with a random fault. It reports whether the connection stays open.
func (r *faultRun) serve(conn net.Conn, request *http.Request) bool {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if request.Method != http.MethodPost { // a client of another test may dial a reused port; this node forwards only POST
		r.t.Logf("app server received %s %s for host %s, want only POST", request.Method, request.RequestURI, request.Host)
		return false
	}
	action := r.randomInt(100)
	if action >= 5 { // the server executes the request
		r.mu.Lock()
		r.executions[string(body)]++
		r.mu.Unlock()
	}
	time.Sleep(time.Duration(r.randomInt(8)) * time.Millisecond)
	okResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch {
	case action < 5:
		nettest.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+protocol.HeaderRejected+": "+protocol.RejectedValue+"\r\nContent-Length: 0\r\n\r\n")
	case action < 8:
		nettest.ResetOnClose(conn)
		return false
	case action < 11:
		nettest.WriteString(conn, "noise\r\n\r\n")
		return false
	case action < 14:
		nettest.WaitForClose(conn) // the node's attempt times out
		return false
	case action < 16:
		trickle(conn)
		return false
	case action < 30:
		startedAt := time.Now()
		nettest.WriteString(conn, okResponse)
		time.Sleep(time.Duration(1000+r.randomInt(6000)) * time.Microsecond)
		if time.Since(startedAt) < 20*time.Millisecond { // skips the duplicate after a pause of the process
			nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}
	case action < 40:
		nettest.WriteString(conn, okResponse)
		return false
	default:
		nettest.WriteString(conn, okResponse)
	}
	return true
}

// trickle writes a response slowly, byte by byte, until the node closes the connection.
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
	faultRun      *faultRun
	conn          net.Conn // nil while the client is disconnected
	reader        *bufio.Reader
	noResponseYet bool // set until the connection has carried a response
}

// run sends requests until the run stops or the node accepts no connection.
func (c *faultyClient) run() {
	for ; !c.faultRun.stop.Load(); time.Sleep(time.Duration(c.faultRun.randomInt(15)) * time.Millisecond) {
		if c.conn == nil {
			conn, err := net.Dial("tcp", c.faultRun.node.Server.Addr().String())
			if err != nil {
				return
			}
			c.conn, c.reader, c.noResponseYet = conn, bufio.NewReader(conn), true
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
	timeout := time.Duration(300+c.faultRun.randomInt(600)) * time.Millisecond
	requestBody := fmt.Sprint("own", frontendtest.LastRequestID.Add(1))
	text := frontendtest.RequestText(int(timeout/time.Millisecond), requestBody)
	action := c.faultRun.randomInt(100)
	switch {
	case action < 10:
		text += strings.Repeat("more ", 1+c.faultRun.randomInt(3000))
	case action < 15:
		text = text[:c.faultRun.randomInt(len(text))]
	}
	sentAt := time.Now()
	nettest.WriteString(c.conn, text)
	if action < 8 || action >= 10 && action < 25 { // the client disconnects
		netio.SetReadDeadline(c.conn, sentAt.Add(time.Duration(c.faultRun.randomInt(60))*time.Millisecond))
		nettest.WaitForClose(c.conn)
		c.close()
		return
	}
	netio.SetReadDeadline(c.conn, sentAt.Add(timeout+2*time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if c.noResponseYet || netio.TimedOut(err) {
			c.faultRun.t.Errorf("request %s with timeout %v: no response after %v (error %v), want one", requestBody, timeout, time.Since(sentAt), err)
		}
		c.close()
		return
	}
	body, err := io.ReadAll(response.Body)
	if took := time.Since(sentAt); err != nil || took > timeout+100*time.Millisecond {
		c.faultRun.t.Errorf("request %s: response complete after %v, error %v; want at most %v, no error", requestBody, took, err, timeout+100*time.Millisecond)
	}
	c.faultRun.check(requestBody, response.StatusCode, string(body))
	if c.noResponseYet = false; response.Close || action < 10 {
		c.close()
	}
}

// check checks the response to the request with the unique body requestBody.
func (r *faultRun) check(requestBody string, status int, body string) {
	r.mu.Lock()
	ran := r.executions[requestBody]
	r.mu.Unlock()
	switch {
	case status == 200 && body == requestBody:
		r.served.Add(1)
	case status == 502 || status == 503 && ran == 0:
	default:
		r.t.Errorf("request %s: status %d, body %.20q, ran %d times; want 200 with the request's body, 502, or 503 for a request that did not run", requestBody, status, body, ran)
	}
	r.answered.Add(1)
}
