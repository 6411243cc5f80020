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

// maxRequestFactor limits the requests of a client that continues until the authorizer has restarted. The limit is this multiple of
// the client's given number of requests.
const maxRequestFactor = 20

// loadRun is a load test over HTTP and gRPC, of a node with a faulty authorizer.
type loadRun struct {
	node       *node
	authorizer *labauthz.Server
	sent       atomic.Int64 // number of requests sent

	mu        sync.Mutex      // guards the fields below
	responses map[string]int  // number of responses, by class and HTTP status: "buy200"
	latencies []time.Duration // latency of each request with a response
}

// overGRPC sends a request over gRPC and returns the HTTP status that matches its result, or "" for an unexpected result.
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
		t.Errorf("request %s over gRPC: error %v, want OK, PermissionDenied, Unavailable or Unknown", id, err)
		return ""
	}
}

// overHTTP sends a request over HTTP and returns the status of its response, and whether there was a response.
func (l *loadRun) overHTTP(t *testing.T, id, class string, customer uint64) (string, bool) {
	method, body := http.MethodGet, ""
	if class == "buy" {
		method, body = http.MethodPost, "two seats"
	}
	url := fmt.Sprintf("http://%s/%s/%016x", l.node.httpAddr, class, customer)
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Errorf("create HTTP request %s: %v", id, err)
		return "", false
	}
	for name, value := range map[string]string{
		protocol.HeaderRequestID: id, protocol.HeaderPlan: "team", protocol.HeaderTimeout: "1000", protocol.HeaderWeight: "units=1,spread=1,first=0",
	} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("request %s over HTTP: error %v, want a response", id, err)
		return "", false
	}
	_, _ = io.Copy(io.Discard, response.Body) // the client reuses a connection only after reading the whole body
	_ = response.Body.Close()
	return fmt.Sprint(response.StatusCode), true
}

// checkAttempts fails the test if the attempts that the app server got contradict the request's status or the authorizer's answer.
func (l *loadRun) checkAttempts(t *testing.T, id, class, httpStatus string) {
	allowed, answered := l.authorizer.LastAnswer(id)
	begun, complete := l.node.begunCount(id), l.node.completeCount(id)
	approved := answered && allowed
	denied := answered && !allowed
	wrongPurchase := class == "buy" && (complete > 1 || begun > 0 && !approved)
	wrongDenial := httpStatus == "403" && (!denied || begun > 0)
	if wrongPurchase || wrongDenial || httpStatus == "200" && complete == 0 {
		t.Errorf("request %s of class %s: status %s, %d attempts begun, %d complete, authorizer answered: %v, allowed: %v; want at most "+
			"one complete attempt of a request of class buy, none begun unless allowed; none begun and a denial for status 403; a complete "+
			"attempt for status 200", id, class, httpStatus, begun, complete, answered, allowed)
	}
}

// restarted reports whether the authorizer has restarted at least once.
func (l *loadRun) restarted() bool {
	return l.authorizer.Counts().Starts >= 2
}

// client sends requests one after the other, over gRPC if its number is even, otherwise over HTTP. It sends more than the given
// number of requests if the authorizer has not restarted by then.
func (l *loadRun) client(t *testing.T, clientNumber, requests int) {
	random := rand.New(rand.NewSource(int64(clientNumber)))
	for i := 0; i < requests || i < maxRequestFactor*requests && !l.restarted(); i++ {
		l.sent.Add(1)
		id, class := fmt.Sprintf("t%d-%d", clientNumber, i), []string{"look", "buy"}[random.Intn(2)]
		customer := uint64(1 + random.Intn(50))
		startedAt := time.Now()
		var httpStatus string
		if clientNumber%2 == 0 {
			httpStatus = l.overGRPC(t, id, class, customer)
		} else {
			var ok bool
			if httpStatus, ok = l.overHTTP(t, id, class, customer); !ok {
				continue
			}
		}
		l.checkAttempts(t, id, class, httpStatus)
		l.mu.Lock()
		l.responses[class+httpStatus]++
		l.latencies = append(l.latencies, time.Since(startedAt))
		l.mu.Unlock()
	}
}

// Guards against wrong attempts under load over both protocols. No purchase may run twice or without its check, no denied
// request may run, and each request must have its response in time. The authorizer answers some calls late, drops
// others, sends malformed answers, denies requests and restarts.
func TestLoadWithAnAuthorizerThatMisbehaves(t *testing.T) {
	const clients, requests = 8, 400
	server, err := labauthz.Start("127.0.0.1:0", labauthz.Config{
		Seed: 2, DenyEvery: 5, MeanDelay: time.Millisecond, SlowProbability: 0.05,
		SlowDelay: 300 * time.Millisecond, DropProbability: 0.05, MalformedProbability: 0.02,
		Uptime: 1500 * time.Millisecond, Downtime: 400 * time.Millisecond,
	})
	if err != nil {
		t.Fatalf("start the authorizer: %v", err)
	}
	defer server.Close()
	a := dialTestAuthorizer(t, server.Addr())
	l := &loadRun{authorizer: server, responses: map[string]int{}}
	l.node = startNode(t, a, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	})
	var running sync.WaitGroup
	for clientNumber := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			l.client(t, clientNumber, requests)
		}()
	}
	running.Wait()
	slices.Sort(l.latencies)
	slowest := l.latencies[len(l.latencies)-1]
	counts := server.Counts()
	counters := a.policy.Counters()
	t.Logf("responses %v; authorizer: %d answers, %d starts; checks: %+v, p50 %v, p99 %v; slowest request %v",
		l.responses, counts.EndedCalls, counts.Starts, counters,
		a.LatencyQuantile(0.5), a.LatencyQuantile(0.99), slowest)
	if sent := int(l.sent.Load()); sent < clients*requests || len(l.latencies) != sent || slowest > time.Second {
		t.Errorf("%d requests sent, want at least %d; %d of them have responses, want all; slowest response after %v, want at most %v",
			sent, clients*requests, len(l.latencies), slowest, time.Second)
	}
	if counts.Starts < 2 || counters.Unanswered == 0 || counters.Denied == 0 || counters.FailedOpen == 0 || counters.FailedClosed == 0 ||
		l.responses["buy503"] == 0 || l.responses["look200"] < 500 {
		t.Errorf("%d starts of the authorizer, want at least 2; checks %+v, want Unanswered, Denied, FailedOpen and FailedClosed "+
			"above 0; responses by class and HTTP status %v, want at least 1 buy503 and 500 look200", counts.Starts, counters, l.responses)
	}
}
