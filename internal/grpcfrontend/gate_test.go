package grpcfrontend

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"cherrygap/internal/authz"
	lab "cherrygap/internal/lab/authz"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/transport"
)

// node is one node on loopback before an app server that notes what it runs.
type node struct {
	gate  GateClient
	http  string
	grpc  string
	count *transport.Counters
	mu    sync.Mutex
	ran   map[string]int
}

func start(t *testing.T, check transport.Authorizer, serve http.HandlerFunc) *node {
	n := &node{count: &transport.Counters{}, ran: map[string]int{}}
	app, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { app.Close() })
	go http.Serve(app, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.mu.Lock()
		n.ran[q.Header.Get("X-Call-Id")]++
		n.mu.Unlock()
		serve(w, q)
	}))
	set := map[string]string{
		"band.count": "2", "band.0.name": "look", "band.0.contract": "4000", "band.0.repeats": "replayable",
		"band.1.name": "buy", "band.1.contract": "8000", "band.1.repeats": "single-use", "plan.count": "1", "plan.0.name": "team",
		"nodes": "1", "tick": "20", "executions": "3", "withdraw": "true", "advice": "true", "advice.most": "20000", "largest": "6",
	}
	alarm, err := transport.NewTimer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(alarm.Close)
	log := zerolog.Nop()
	router := routing.New(routing.Config{
		Seed: 3, Settings: set, SetTimer: alarm.Set, SendToPeer: func(int, []byte) {}, PollEndpoints: func() {},
		LogSummary: func([]byte) {},
	})
	go alarm.Run(router.Tick)
	router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: []protocol.Endpoint{{
		UID: "s", Weight: 1,
		Addr: netip.MustParseAddrPort(app.Addr().String()),
	}}}, true)
	limits := transport.Limits{Sockets: 1024, MemoryMB: 192, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second}
	n.http = "127.0.0.1:0"
	ln, _ := net.Listen("tcp", n.http) // a port that was free a moment ago
	n.http = ln.Addr().String()
	ln.Close()
	front, err := transport.Listen(n.http, router, transport.NewPool(limits, &log, n.count), limits, check, &log, n.count)
	if err != nil {
		t.Fatal(err)
	}
	methods, err := Methods(set)
	if err != nil {
		t.Fatal(err)
	}
	g, err := Listen("127.0.0.1:0", front, methods, 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+g.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	n.gate, n.grpc = NewGateClient(conn), g.Addr()
	return n
}

func (n *node) runs(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran[id]
}

func pass(n *node, id, band string, customer uint64, wait time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	t := &Ticket{Id: id, Band: band, Customer: customer, Plan: "team", Units: 1, Spread: 1}
	if band == "buy" {
		t.Body, t.Type = []byte("two seats"), "text/plain"
	}
	return n.gate.Pass(ctx, t)
}

// Tickets over gRPC are those of the HTTP front: same server, same body, same refusals, one id for both.
func TestGRPCTicketsGoTheSameWay(t *testing.T) {
	n := start(t, nil, func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.URL.Path, "/look/00000000000000ff") {
			w.Header().Set("X-Rejected", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "text/plain")
		body, _ := io.ReadAll(q.Body)
		fmt.Fprint(w, q.Method, q.URL.Path, string(body))
	})
	if a, err := pass(n, "1", "buy", 5, time.Second); err != nil || string(a.Body) != "POST/buy/0000000000000005two seats" ||
		a.Type != "text/plain" {
		t.Fatalf("%v, %v", a, err)
	}
	if a, err := pass(n, "2", "look", 5, time.Second); err != nil || string(a.Body) != "GET/look/0000000000000005" {
		t.Fatalf("%v, %v", a, err)
	}
	_, err := pass(n, "3", "look", 255, time.Second)
	s := status.Convert(err)
	if s.Code() != codes.Unavailable || len(s.Details()) != 1 || s.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() <= 0 {
		t.Errorf("turned away: %v, %v", s, s.Details())
	}
	for _, bad := range []struct {
		t    *Ticket
		want codes.Code
	}{
		{&Ticket{Id: "1", Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.AlreadyExists},
		{&Ticket{Id: "9", Band: "fly", Plan: "team", Units: 1, Spread: 1}, codes.NotFound},
		{&Ticket{Id: "9", Band: "look", Plan: "gold", Units: 1, Spread: 1}, codes.NotFound},
		{&Ticket{Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.InvalidArgument},
		{&Ticket{Id: "9\r\nX: y", Band: "look", Plan: "team", Units: 1, Spread: 1}, codes.InvalidArgument},
		{&Ticket{Id: "9", Band: "look", Plan: "team", Units: 7, Spread: 1}, codes.InvalidArgument},
		{&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 2}, codes.InvalidArgument},
		{&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Customer: 1 << 33}, codes.InvalidArgument},
		{&Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Body: []byte("x")}, codes.InvalidArgument},
		{&Ticket{Id: "9", Band: "buy", Plan: "team", Units: 1, Spread: 1, Key: "a\nb"}, codes.InvalidArgument},
	} {
		if _, err := n.gate.Pass(context.Background(), bad.t); status.Code(err) != bad.want {
			t.Errorf("%v: %v, want %v", bad.t, err, bad.want)
		}
	}
	if n.runs("9") > 0 {
		t.Error("a bad ticket was sent on")
	}
}

// A client that gives up while its check is out, or before it, is owed nothing and nothing runs.
func TestClientThatLeavesDuringItsCheck(t *testing.T) {
	server, err := lab.Start("127.0.0.1:0", lab.Config{Lag: 1, LagFor: 60 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a := dial(t, server.Addr())
	n := start(t, a, func(http.ResponseWriter, *http.Request) {})
	for k := range 20 {
		if _, err := pass(n, fmt.Sprint("left", k), "buy", 5, time.Duration(1+k)*time.Millisecond); status.Code(err) != codes.DeadlineExceeded &&
			status.Code(err) != codes.Unavailable {
			t.Errorf("%v", err)
		}
	}
	time.Sleep(150 * time.Millisecond) // the authoriser has allowed them all by now
	for k := range 20 {
		if n.runs(fmt.Sprint("left", k)) > 0 {
			t.Errorf("ticket %d ran for nobody", k)
		}
	}
	if _, err := pass(n, "stays", "buy", 5, 2*time.Second); err != nil || n.runs("stays") != 1 {
		t.Errorf("%v, ran %d times", err, n.runs("stays"))
	}
}

func dial(t *testing.T, addr string) *Authoriser {
	a, err := Dial(addr, authz.Config{Most: 64, Advice: time.Second, Bands: []authz.Band{
		{Contract: 400 * time.Millisecond, Open: true},
		{Contract: 800 * time.Millisecond},
	}}, map[string]int{"look": 0, "buy": 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// Under load over both protocols, with an authoriser that lags past the deadline, drops calls, answers nonsense, denies
// and restarts twice: no purchase runs without its check or twice, no denied ticket runs, each is answered in time.
func TestLoadWithAnAuthoriserThatMisbehaves(t *testing.T) {
	server, err := lab.Start("127.0.0.1:0", lab.Config{
		Seed: 2, DenyEvery: 5, Delay: time.Millisecond, Lag: 0.05,
		LagFor: 300 * time.Millisecond, Drop: 0.05, Odd: 0.02, UpFor: 1500 * time.Millisecond, DownFor: 400 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a := dial(t, server.Addr())
	n := start(t, a, func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(2 * time.Millisecond)
		io.Copy(w, q.Body)
	})
	var mu sync.Mutex
	got, took := map[string]int{}, []time.Duration{}
	seen := func(kind string, since time.Time) {
		mu.Lock()
		defer mu.Unlock()
		got[kind]++
		took = append(took, time.Since(since))
	}
	var all sync.WaitGroup
	for k := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewSource(int64(k)))
			for i := range 400 {
				id, band, customer := fmt.Sprintf("t%d-%d", k, i), []string{"look", "buy"}[r.Intn(2)], uint64(1+r.Intn(50))
				began := time.Now()
				code := "" // answers as HTTP would give them
				if k%2 == 0 {
					switch _, err := pass(n, id, band, customer, time.Second); status.Code(err) {
					case codes.OK:
						code = "200"
					case codes.PermissionDenied:
						code = "403"
					case codes.Unavailable:
						code = "503"
					case codes.Unknown:
						code = "502"
					default:
						t.Errorf("%s: %v", id, err)
					}
				} else {
					method, body := http.MethodGet, ""
					if band == "buy" {
						method, body = http.MethodPost, "two seats"
					}
					q, _ := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%016x", n.http, band, customer), strings.NewReader(body))
					for name, v := range map[string]string{
						"X-Call-Id": id, "X-Tariff": "team", "X-Budget-Ms": "1000",
						"X-Weight": "units=1,spread=1,first=0",
					} {
						q.Header.Set(name, v)
					}
					resp, err := http.DefaultClient.Do(q)
					if err != nil {
						t.Errorf("%s: %v", id, err)
						continue
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					code = fmt.Sprint(resp.StatusCode)
				}
				allowed, said := server.Said(id)
				runs := n.runs(id)
				switch {
				case band == "buy" && runs > 1, band == "buy" && runs > 0 && !(said && allowed), said && !allowed && code == "403" && runs > 0,
					code == "200" && runs == 0, code == "403" && (!said || allowed):
					t.Errorf("%s of %d: %s, ran %d times, said %v allowed %v", id, customer, code, runs, said, allowed)
				}
				seen(band+code, began)
			}
		}()
	}
	all.Wait()
	slices.Sort(took)
	answers, starts := server.Count()
	c := a.gate.Count()
	t.Logf("%v, %d answers, %d starts, %+v, checks p50 %v p99 %v, slowest ticket %v", got, answers, starts, c, a.Within(0.5), a.Within(0.99),
		took[len(took)-1])
	if len(took) != 3200 || took[len(took)-1] > time.Second {
		t.Errorf("%d answered, the slowest after %v", len(took), took[len(took)-1])
	}
	if starts < 2 || c.Silent == 0 || c.Refused == 0 || c.Opened == 0 || c.Closed == 0 || got["buy503"] == 0 || got["look200"] < 500 {
		t.Errorf("the run shows too little: %v, %+v", got, c)
	}
}

// Calls that are cancelled at chance moments, before their turn too, while an attempt is out that is then turned away or
// fails: no attempt comes to an app server more than 0.1 s after.
func TestNothingIsSentOnForCancelledCalls(t *testing.T) {
	const most, calls = 100 * time.Millisecond, 200
	r := rand.New(rand.NewSource(35))
	var mu sync.Mutex
	chance := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.Intn(n) }
	came := map[string][]time.Time{}
	n := start(t, nil, func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		came[q.Header.Get("X-Call-Id")] = append(came[q.Header.Get("X-Call-Id")], time.Now())
		mu.Unlock()
		time.Sleep(time.Duration(20+chance(150)) * time.Millisecond)
		if chance(2) == 0 {
			w.Header().Set("X-Rejected", "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	left := map[string]time.Time{}
	var all sync.WaitGroup
	for k := range calls {
		id, after := fmt.Sprint("cancel", k), time.Duration(chance(300))*time.Millisecond
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			defer time.AfterFunc(after, func() {
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
				cancel()
			}).Stop()
			_, err := n.gate.Pass(ctx, &Ticket{Id: id, Band: "look", Customer: uint64(k), Plan: "team", Units: 1, Spread: 1})
			if status.Code(err) == codes.DeadlineExceeded {
				t.Errorf("%s: %v", id, err)
			}
		}()
		time.Sleep(time.Duration(chance(6)) * time.Millisecond)
	}
	all.Wait()
	time.Sleep(3 * most)
	mu.Lock()
	defer mu.Unlock()
	late, again, worst := 0, 0, time.Duration(0)
	for id, at := range left {
		again += max(0, len(came[id])-1)
		for _, when := range came[id] {
			worst = max(worst, when.Sub(at))
			if when.Sub(at) > most {
				late++
			}
		}
	}
	if late > 0 || len(left) < calls/4 || again == 0 {
		t.Errorf("%d cancelled, %d further attempts", len(left), again)
	}
	t.Logf("%d cancelled, %d further attempts before; worst %v after, %d later than %v", len(left), again, worst, late, most)
}

// Connections over the front's part of the descriptors wait, and come in as others close; the part is bounded, and a drain
// ends while some wait.
func TestGRPCConnectionsAreBounded(t *testing.T) {
	n := start(t, nil, func(w http.ResponseWriter, q *http.Request) { io.Copy(w, q.Body) })
	var conns []net.Conn
	greeted := make(chan struct{}, 999)
	for range 200 { // of 1,024 descriptors 120 are for gRPC's connections
		conn, err := net.Dial("tcp", n.grpc)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		go func() {
			if _, err := conn.Read(make([]byte, 1)); err == nil { // its settings, which whoever is taken in is sent at once
				greeted <- struct{}{}
			}
		}()
		io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	}
	wait := func(most int) (k int) {
		for k < most {
			select {
			case <-greeted:
				k++
			case <-time.After(500 * time.Millisecond):
				return k
			}
		}
		return k
	}
	if k := wait(200); k != 120 {
		t.Errorf("%d taken in", k)
	}
	for _, conn := range conns[:50] {
		conn.Close()
	}
	if k := wait(50); k != 50 {
		t.Errorf("%d taken in as 50 closed", k)
	}
	for _, conn := range conns[50:] {
		defer conn.Close()
	}
}
