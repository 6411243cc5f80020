package grpcfrontend

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	labauthz "cherrygap/internal/lab/authz"
	"cherrygap/internal/protocol"
)

// echo answers with the request's body, and rejects customer 255.
func echo(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/look/00000000000000ff") {
		w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	body, _ := io.ReadAll(r.Body) // the test checks the response
	_, _ = fmt.Fprint(w, r.Method, r.URL.Path, string(body))
}

// Requests over gRPC are those of the HTTP server: same app server, same body, same rejections, one id for both.
func TestRequestsGoTheSameWay(t *testing.T) {
	n := startNode(t, nil, echo)
	if a, err := n.pass(t.Context(), "1", "buy", 5, time.Second); err != nil || string(a.Body) != "POST/buy/0000000000000005two seats" ||
		a.Type != "text/plain" {
		t.Fatalf("%v, %v", a, err)
	}
	if a, err := n.pass(t.Context(), "2", "look", 5, time.Second); err != nil || string(a.Body) != "GET/look/0000000000000005" {
		t.Fatalf("%v, %v", a, err)
	}
	_, err := n.pass(t.Context(), "3", "look", 255, time.Second)
	s := status.Convert(err)
	if s.Code() != codes.Unavailable || len(s.Details()) != 1 || s.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() <= 0 {
		t.Errorf("rejected: %v, %v", s, s.Details())
	}
}

func TestBadRequests(t *testing.T) {
	n := startNode(t, nil, echo)
	if _, err := n.pass(t.Context(), "1", "buy", 5, time.Second); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]struct {
		call *Ticket
		want codes.Code
	}{
		"same id":           {&Ticket{Id: "1", Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.AlreadyExists},
		"unknown class":     {&Ticket{Id: "9", Band: "fly", Plan: "team", Units: 1, Spread: 1}, codes.NotFound},
		"unknown plan":      {&Ticket{Id: "9", Band: "look", Plan: "gold", Units: 1, Spread: 1}, codes.NotFound},
		"no id":             {&Ticket{Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.InvalidArgument},
		"header in the id":  {&Ticket{Id: "9\r\nX: y", Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.InvalidArgument},
		"units too high":    {&Ticket{Id: "9", Band: "look", Plan: "team", Units: 7, Spread: 1}, codes.InvalidArgument},
		"spread too high":   {&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 2}, codes.InvalidArgument},
		"customer too high": {&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Customer: 1 << 33}, codes.InvalidArgument},
		"body of a get":     {&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Body: []byte("x")}, codes.InvalidArgument},
		"newline in a key":  {&Ticket{Id: "9", Band: "buy", Plan: "team", Units: 1, Spread: 1, Key: "a\nb"}, codes.InvalidArgument},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := n.client.Pass(t.Context(), bad.call); status.Code(err) != bad.want {
				t.Errorf("%v: %v, want %v", bad.call, err, bad.want)
			}
		})
	}
	if n.runs("9") > 0 {
		t.Error("a bad request was forwarded")
	}
}

// A client that cancels before or during its check gets no response, and its request does not run.
func TestClientGoneDuringItsCheck(t *testing.T) {
	server, err := labauthz.Start("127.0.0.1:0", labauthz.Config{SlowProbability: 1, SlowDelay: 60 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	n := startNode(t, dialTestAuthorizer(t, server.Addr()), func(http.ResponseWriter, *http.Request) {})
	for k := range 20 {
		_, err := n.pass(t.Context(), fmt.Sprint("gone", k), "buy", 5, time.Duration(1+k)*time.Millisecond)
		if code := status.Code(err); code != codes.DeadlineExceeded && code != codes.Unavailable {
			t.Errorf("%v", err)
		}
	}
	time.Sleep(150 * time.Millisecond) // the authorizer has allowed them all by now
	for k := range 20 {
		if n.runs(fmt.Sprint("gone", k)) > 0 {
			t.Errorf("request %d ran for nobody", k)
		}
	}
	if _, err := n.pass(t.Context(), "stays", "buy", 5, 2*time.Second); err != nil || n.runs("stays") != 1 {
		t.Errorf("%v, ran %d times", err, n.runs("stays"))
	}
}

// cancelTimes records when attempts arrived at an app server and when their clients cancelled.
type cancelTimes struct {
	mu        sync.Mutex // guards all
	random    *rand.Rand
	attempts  map[string][]time.Time
	cancelled map[string]time.Time
}

func (c *cancelTimes) chance(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

// serve rejects or fails each attempt after a while.
func (c *cancelTimes) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.HeaderRequestID)
	c.mu.Lock()
	c.attempts[id] = append(c.attempts[id], time.Now())
	c.mu.Unlock()
	time.Sleep(time.Duration(20+c.chance(150)) * time.Millisecond)
	if c.chance(2) == 0 {
		w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// call sends a request and cancels it after a while, unless it is answered before.
func (c *cancelTimes) call(t *testing.T, n *node, id string, customer uint64, after time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	defer time.AfterFunc(after, func() {
		c.mu.Lock()
		c.cancelled[id] = time.Now()
		c.mu.Unlock()
		cancel()
	}).Stop()
	_, err := n.client.Pass(ctx, &Ticket{Id: id, Band: "look", Customer: customer, Plan: "team", Units: 1, Spread: 1})
	if status.Code(err) == codes.DeadlineExceeded {
		t.Errorf("%s: %v", id, err)
	}
}

// Calls are cancelled at random moments, some before they begin, some during an attempt that is then rejected or fails. No
// attempt arrives at an app server more than 0.1 s later.
func TestNothingIsForwardedForCancelledCalls(t *testing.T) {
	const most, calls = 100 * time.Millisecond, 200
	c := &cancelTimes{random: rand.New(rand.NewSource(35)), attempts: map[string][]time.Time{}, cancelled: map[string]time.Time{}}
	n := startNode(t, nil, c.serve)
	var all sync.WaitGroup
	for k := range calls {
		after := time.Duration(c.chance(300)) * time.Millisecond
		all.Add(1)
		go func() {
			defer all.Done()
			c.call(t, n, fmt.Sprint("cancel", k), uint64(k), after)
		}()
		time.Sleep(time.Duration(c.chance(6)) * time.Millisecond)
	}
	all.Wait()
	time.Sleep(3 * most)
	c.mu.Lock()
	defer c.mu.Unlock()
	late, again, worst := 0, 0, time.Duration(0)
	for id, at := range c.cancelled {
		again += max(0, len(c.attempts[id])-1)
		for _, when := range c.attempts[id] {
			worst = max(worst, when.Sub(at))
			if when.Sub(at) > most {
				late++
			}
		}
	}
	if late > 0 || len(c.cancelled) < calls/4 || again == 0 {
		t.Errorf("%d cancelled, %d further attempts", len(c.cancelled), again)
	}
	t.Logf("%d cancelled, %d further attempts before; worst %v after, %d later than %v", len(c.cancelled), again, worst, late, most)
}

// Connections over gRPC's limit wait until others close. A drain ends while some wait.
func TestConnectionsAreBounded(t *testing.T) {
	n := startNode(t, nil, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	var conns []net.Conn
	accepted := make(chan struct{}, 999)
	for range 200 { // of 1,024 descriptors gRPC gets 120
		conn, err := net.Dial("tcp", n.grpc)
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, conn)
		conns = append(conns, conn)
		go func() { // until the connection closes
			if _, err := conn.Read(make([]byte, 1)); err == nil { // the server's SETTINGS frame, sent after the accept
				accepted <- struct{}{}
			}
		}()
		if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"); err != nil {
			t.Fatal(err)
		}
	}
	if k := awaitAccepted(accepted, 200); k != 120 {
		t.Errorf("%d accepted", k)
	}
	for _, conn := range conns[:50] {
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if k := awaitAccepted(accepted, 50); k != 50 {
		t.Errorf("%d accepted as 50 closed", k)
	}
}

// awaitAccepted counts accepted connections, up to a number, until none was accepted for half a second.
func awaitAccepted(accepted <-chan struct{}, most int) (k int) {
	for k < most {
		select {
		case <-accepted:
			k++
		case <-time.After(500 * time.Millisecond):
			return k
		}
	}
	return k
}
