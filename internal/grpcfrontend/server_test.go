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

// echo responds with the request's method, path and body. It rejects lookups of customer 255.
func echo(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/look/00000000000000ff") {
		w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	body, _ := io.ReadAll(r.Body) // the test checks the body in the response
	_, _ = fmt.Fprint(w, r.Method, r.URL.Path, string(body))
}

// Guards against requests over gRPC that are handled otherwise than over HTTP. The method, path and body at the app server must
// be the same, and so must the response. A rejection must carry its Retry-After.
func TestGRPCRequestsAreHandledLikeHTTPRequests(t *testing.T) {
	n := startNode(t, nil, echo)
	if a, err := n.pass(t.Context(), "1", "buy", 5, time.Second); err != nil || string(a.Body) != "POST/buy/0000000000000005two seats" ||
		a.Type != "text/plain" {
		t.Fatalf("Pass of a purchase = %v, %v, want the app server's echo \"POST/buy/0000000000000005two seats\" as text/plain", a, err)
	}
	if a, err := n.pass(t.Context(), "2", "look", 5, time.Second); err != nil || string(a.Body) != "GET/look/0000000000000005" {
		t.Fatalf("Pass of a lookup = %v, %v, want the app server's echo \"GET/look/0000000000000005\"", a, err)
	}
	_, err := n.pass(t.Context(), "3", "look", 255, time.Second)
	s := status.Convert(err)
	if s.Code() != codes.Unavailable || len(s.Details()) != 1 || s.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() <= 0 {
		t.Errorf("Pass of a rejected request: status %v, details %v, want Unavailable with a RetryInfo above 0", s, s.Details())
	}
}

// Guards against an invalid request that is forwarded, or has the wrong status.
func TestBadRequests(t *testing.T) {
	n := startNode(t, nil, echo)
	if _, err := n.pass(t.Context(), "1", "buy", 5, time.Second); err != nil {
		t.Fatalf("Pass of a valid request: error %v, want none", err)
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
				t.Errorf("Pass(%v): error %v, want status %v", bad.call, err, bad.want)
			}
		})
	}
	if n.begunCount("9") > 0 {
		t.Errorf("invalid requests with id 9 reached the app server in %d attempts, want 0", n.begunCount("9"))
	}
}

// Guards against attempts for a client that disconnected before or during its check. The clients' deadlines pass before the
// authorizer answers, so that the answer arrives after the client has disconnected.
func TestClientDisconnectsDuringItsCheck(t *testing.T) {
	server, err := labauthz.Start("127.0.0.1:0", labauthz.Config{SlowProbability: 1, SlowDelay: 60 * time.Millisecond})
	if err != nil {
		t.Fatalf("start the authorizer: %v", err)
	}
	defer server.Close()
	n := startNode(t, dialTestAuthorizer(t, server.Addr()), func(http.ResponseWriter, *http.Request) {})
	for k := range 20 {
		_, err := n.pass(t.Context(), fmt.Sprint("gone", k), "buy", 5, time.Duration(1+k)*time.Millisecond)
		if code := status.Code(err); code != codes.DeadlineExceeded && code != codes.Unavailable {
			t.Errorf("Pass with a timeout of %d ms, below the authorizer's delay: error %v, want DeadlineExceeded or Unavailable", 1+k, err)
		}
	}
	time.Sleep(150 * time.Millisecond) // by now the authorizer has allowed all requests
	for k := range 20 {
		if n.begunCount(fmt.Sprint("gone", k)) > 0 {
			t.Errorf("request gone%d, whose client disconnected, reached the app server in %d attempts, want 0",
				k, n.begunCount(fmt.Sprint("gone", k)))
		}
	}
	if _, err := n.pass(t.Context(), "stays", "buy", 5, 2*time.Second); err != nil || n.completeCount("stays") != 1 {
		t.Errorf("Pass of a client that waits for its check: error %v and %d attempts, want no error and 1", err, n.completeCount("stays"))
	}
}

// cancelTimes records the times at which attempts arrived at an app server, and at which their clients cancelled.
type cancelTimes struct {
	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	attempts  map[string][]time.Time // arrival times of attempts, by request id
	cancelled map[string]time.Time   // time of the cancellation, by request id
}

// randomInt returns a random number from 0 to n-1.
func (c *cancelTimes) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

// serve rejects or fails each attempt, after 20 to 169 ms.
func (c *cancelTimes) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.HeaderRequestID)
	c.mu.Lock()
	c.attempts[id] = append(c.attempts[id], time.Now())
	c.mu.Unlock()
	time.Sleep(time.Duration(20+c.randomInt(150)) * time.Millisecond)
	if c.randomInt(2) == 0 {
		w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// call sends a request and cancels it after cancelAfter, unless the response comes first.
func (c *cancelTimes) call(t *testing.T, n *node, id string, customer uint64, cancelAfter time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	defer time.AfterFunc(cancelAfter, func() {
		c.mu.Lock()
		c.cancelled[id] = time.Now()
		c.mu.Unlock()
		cancel()
	}).Stop()
	_, err := n.client.Pass(ctx, &Ticket{Id: id, Band: "look", Customer: customer, Plan: "team", Units: 1, Spread: 1})
	if status.Code(err) == codes.DeadlineExceeded {
		t.Errorf("request %s: error %v, want a response or the cancellation before the deadline", id, err)
	}
}

// Guards against attempts that begin after the client cancelled its call. Calls are cancelled at random times, some before they
// begin, some during an attempt that is then rejected or fails. No attempt may arrive at the app server more than 0.1 s
// after the cancellation.
func TestCancelledCallsAreNotForwarded(t *testing.T) {
	const maxDelay, calls = 100 * time.Millisecond, 200
	c := &cancelTimes{random: rand.New(rand.NewSource(35)), attempts: map[string][]time.Time{}, cancelled: map[string]time.Time{}}
	n := startNode(t, nil, c.serve)
	var running sync.WaitGroup
	for k := range calls {
		cancelAfter := time.Duration(c.randomInt(300)) * time.Millisecond
		running.Add(1)
		go func() {
			defer running.Done()
			c.call(t, n, fmt.Sprint("cancel", k), uint64(k), cancelAfter)
		}()
		time.Sleep(time.Duration(c.randomInt(6)) * time.Millisecond)
	}
	running.Wait()
	time.Sleep(3 * maxDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	lateAttempts, furtherAttempts, longestDelay := 0, 0, time.Duration(0)
	for id, cancelledAt := range c.cancelled {
		furtherAttempts += max(0, len(c.attempts[id])-1)
		for _, arrivedAt := range c.attempts[id] {
			longestDelay = max(longestDelay, arrivedAt.Sub(cancelledAt))
			if arrivedAt.Sub(cancelledAt) > maxDelay {
				lateAttempts++
			}
		}
	}
	if lateAttempts > 0 || len(c.cancelled) < calls/4 || furtherAttempts == 0 {
		t.Errorf("%d attempts arrived more than %v after the cancellation of their call, want 0; %d calls cancelled, want at least %d; "+
			"%d further attempts of cancelled calls, want at least 1", lateAttempts, maxDelay, len(c.cancelled), calls/4, furtherAttempts)
	}
	t.Logf("%d calls cancelled, with %d further attempts; latest attempt %v after the cancellation, %d later than %v",
		len(c.cancelled), furtherAttempts, longestDelay, lateAttempts, maxDelay)
}

// Guards against gRPC connections that use up the file descriptors. Connections above the limit must wait until others close.
// At the end, some connections still wait, and the server must stop nevertheless.
func TestConnectionsAreBounded(t *testing.T) {
	n := startNode(t, nil, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	var conns []net.Conn
	accepted := make(chan struct{}, 999)
	for range 200 { // the limit is 120 gRPC connections with 1,024 descriptors
		conn, err := net.Dial("tcp", n.grpcAddr)
		if err != nil {
			t.Fatalf("dial the gRPC front end: %v", err)
		}
		closeAtEnd(t, conn)
		conns = append(conns, conn)
		go func() { // ends at the latest when the connection closes
			if _, err := conn.Read(make([]byte, 1)); err == nil { // the server sends a SETTINGS frame after the accept
				accepted <- struct{}{}
			}
		}()
		if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"); err != nil {
			t.Fatalf("send the HTTP/2 preface: %v", err)
		}
	}
	if count := awaitAccepted(accepted, 200); count != 120 {
		t.Errorf("server accepted %d of 200 connections, want its limit of 120", count)
	}
	for _, conn := range conns[:50] {
		if err := conn.Close(); err != nil {
			t.Fatalf("close a connection: %v", err)
		}
	}
	if count := awaitAccepted(accepted, 50); count != 50 {
		t.Errorf("server accepted %d waiting connections after 50 accepted ones closed, want 50", count)
	}
}

// awaitAccepted returns the number of accepted connections. It returns at the limit, or after half a second without an accept.
func awaitAccepted(accepted <-chan struct{}, limit int) (count int) {
	for count < limit {
		select {
		case <-accepted:
			count++
		case <-time.After(500 * time.Millisecond):
			return count
		}
	}
	return count
}
