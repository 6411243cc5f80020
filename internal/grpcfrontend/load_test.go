package grpcfrontend

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	labauthz "cherrygap/internal/lab/authz"
	"cherrygap/internal/protocol"
)

// maxLoadFactor bounds how many more requests a client sends until the authorizer has restarted.
const maxLoadFactor = 20

// loadRun is a run of load over both protocols against a node with a faulty authorizer.
type loadRun struct {
	node       *node
	authorizer *labauthz.Server
	sent       atomic.Int64 // requests

	mu        sync.Mutex     // guards the rest
	answers   map[string]int // by class and HTTP status
	latencies []time.Duration
}

// overGRPC sends a request and returns the HTTP status for its result.
func (l *loadRun) overGRPC(t *testing.T, id, class string, customer uint64) string {
	switch _, err := l.node.pass(t.Context(), id, class, customer, time.Second); status.Code(err) {
	case codes.OK:
		return "200"
	case codes.PermissionDenied:
		return "403"
	case codes.Unavailable:
		return "503"
	case codes.Unknown:
		return "502"
	default:
		t.Errorf("%s: %v", id, err)
		return ""
	}
}

// overHTTP sends a request and returns the status of its response, or false without one.
func (l *loadRun) overHTTP(t *testing.T, id, class string, customer uint64) (string, bool) {
	method, body := http.MethodGet, ""
	if class == "buy" {
		method, body = http.MethodPost, "two seats"
	}
	url := fmt.Sprintf("http://%s/%s/%016x", l.node.http, class, customer)
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return "", false
	}
	for name, value := range map[string]string{
		protocol.HeaderRequestID: id, protocol.HeaderPlan: "team", protocol.HeaderTimeout: "1000", protocol.HeaderWeight: "units=1,spread=1,first=0",
	} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return "", false
	}
	_, _ = io.Copy(io.Discard, response.Body) // to reuse the connection
	_ = response.Body.Close()
	return fmt.Sprint(response.StatusCode), true
}

// check checks the executions of a request against its status.
func (l *loadRun) check(t *testing.T, id, class, code string) {
	allowed, answered := l.authorizer.LastAnswer(id)
	runs := l.node.runs(id)
	checked := answered && allowed
	denied := answered && !allowed
	wrongPurchase := class == "buy" && (runs > 1 || runs > 0 && !checked)
	wrongDenial := code == "403" && (!denied || runs > 0)
	if wrongPurchase || wrongDenial || code == "200" && runs == 0 {
		t.Errorf("%s: %s, ran %d times, answered %v allowed %v", id, code, runs, answered, allowed)
	}
}

// restarted reports whether the authorizer has started again.
func (l *loadRun) restarted() bool {
	return l.authorizer.Counts().Starts >= 2
}

// client sends a number of requests in turn over one protocol, and more until the authorizer has restarted.
func (l *loadRun) client(t *testing.T, number, requests int) {
	random := rand.New(rand.NewSource(int64(number)))
	for i := 0; i < requests || i < maxLoadFactor*requests && !l.restarted(); i++ {
		l.sent.Add(1)
		id, class := fmt.Sprintf("t%d-%d", number, i), []string{"look", "buy"}[random.Intn(2)]
		customer := uint64(1 + random.Intn(50))
		began := time.Now()
		var code string
		if number%2 == 0 {
			code = l.overGRPC(t, id, class, customer)
		} else {
			var ok bool
			if code, ok = l.overHTTP(t, id, class, customer); !ok {
				continue
			}
		}
		l.check(t, id, class, code)
		l.mu.Lock()
		l.answers[class+code]++
		l.latencies = append(l.latencies, time.Since(began))
		l.mu.Unlock()
	}
}

// Under load over both protocols, with an authorizer that lags past the deadline, drops calls, answers nonsense, denies
// and restarts twice: no purchase runs without its check or twice, no denied request runs, each is answered in time.
func TestLoadWithAnAuthorizerThatMisbehaves(t *testing.T) {
	const clients, requests = 8, 400
	server, err := labauthz.Start("127.0.0.1:0", labauthz.Config{
		Seed: 2, DenyEvery: 5, MeanDelay: time.Millisecond, SlowProbability: 0.05,
		SlowDelay: 300 * time.Millisecond, DropProbability: 0.05, MalformedProbability: 0.02,
		Uptime: 1500 * time.Millisecond, Downtime: 400 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a := dialTestAuthorizer(t, server.Addr())
	l := &loadRun{authorizer: server, answers: map[string]int{}}
	l.node = startNode(t, a, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	})
	var all sync.WaitGroup
	for number := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			l.client(t, number, requests)
		}()
	}
	all.Wait()
	slices.Sort(l.latencies)
	slowest := l.latencies[len(l.latencies)-1]
	counts := server.Counts()
	c := a.policy.Counters()
	t.Logf("%v, %d answers, %d starts, %+v, checks p50 %v p99 %v, slowest request %v", l.answers, counts.Answers, counts.Starts, c,
		a.LatencyQuantile(0.5), a.LatencyQuantile(0.99), slowest)
	if sent := int(l.sent.Load()); sent < clients*requests || len(l.latencies) != sent || slowest > time.Second {
		t.Errorf("%d answered, the slowest after %v", len(l.latencies), slowest)
	}
	if counts.Starts < 2 || c.Unanswered == 0 || c.Denied == 0 || c.FailedOpen == 0 || c.FailedClosed == 0 ||
		l.answers["buy503"] == 0 || l.answers["look200"] < 500 {
		t.Errorf("the run shows too little: %v, %+v", l.answers, c)
	}
}
