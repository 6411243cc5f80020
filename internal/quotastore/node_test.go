package quotastore

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	lab "cherrygap/internal/lab/store"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/routing"
	"cherrygap/internal/transport"
)

// Six whole nodes, purchases over HTTP, and a store that is cut, split, swapped, stalls and forgets: no purchase runs
// twice, every ticket has its answer in time, and the customer gets no more than a tenth over its quota.
func TestPurchasesUnderLeasesWhileTheStoreFails(t *testing.T) {
	const nodes, rate = 6, 100.0
	server, err := lab.Start("127.0.0.1:0", 5, []lab.Fault{
		{Kind: "cut", At: 3, For: 0.7},
		{Kind: "split", At: 4.3, For: 1},
		{Kind: "empty", At: 5.7},
		{Kind: "stall", At: 6.5, For: 0.7},
		{Kind: "forget", At: 7.5, For: 0.7, Chance: 0.3},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var mu sync.Mutex
	ran, answers := map[string]int{}, map[int]int{}
	app, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer app.Close()
	go http.Serve(app, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		ran[q.Header.Get("X-Call-Id")]++
		mu.Unlock()
		io.Copy(w, q.Body)
	}))
	log, fronts := zerolog.Nop(), make([]string, nodes)
	for k := range nodes {
		q := Open(server.Addr(), fmt.Sprint("n", k), quota.Config{Self: k, Nodes: nodes, Seed: 9, Timeout: 60 * time.Millisecond}, &log)
		go q.Run()
		defer q.Close()
		alarm, err := transport.NewTimer()
		if err != nil {
			t.Fatal(err)
		}
		defer alarm.Close()
		set := map[string]string{
			"band.count": "1", "band.0.name": "buy", "band.0.contract": "8000", "band.0.repeats": "single-use",
			"plan.count": "1", "plan.0.name": "team", "plan.0.rate": fmt.Sprint(rate), "plan.0.depth": "200", "nodes": fmt.Sprint(nodes),
			"node": fmt.Sprint(k), "tick": "20", "executions": "3",
		}
		router := routing.New(routing.Config{
			Seed: uint64(k), Settings: set, Quota: q, SetTimer: alarm.Set, SendToPeer: func(int, []byte) {},
			PollEndpoints: func() {}, LogSummary: func([]byte) {},
		})
		go alarm.Run(router.Tick)
		list := &protocol.EndpointList{Full: true}
		for s := range 30 { // one server under many names, so that no limit on the back end is met first
			list.Endpoints = append(list.Endpoints, protocol.Endpoint{
				UID: fmt.Sprint(s), Weight: 1,
				Addr: netip.MustParseAddrPort(app.Addr().String()),
			})
		}
		router.UpdateEndpoints(list, true)
		limits, count := transport.Limits{Sockets: 512, MemoryMB: 64, ServerIdleTimeout: 10 * time.Second, ConnectTimeout: time.Second}, &transport.Counters{}
		ln, _ := net.Listen("tcp", "127.0.0.1:0") // a port that was free a moment ago
		fronts[k] = ln.Addr().String()
		ln.Close()
		if _, err := transport.Listen(fronts[k], router, transport.NewPool(limits, &log, count), limits, nil, &log, count); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second))) // a window begins
	began, span := time.Now(), 9*time.Second
	var all sync.WaitGroup
	sent := 0
	for ; time.Since(began) < span; sent++ { // twice the quota, half of it at one node
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / (2 * rate) * float64(time.Second)))))
		id, node := fmt.Sprint("p", sent), 0
		if sent%2 > 0 {
			node = 1 + sent/2%(nodes-1)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			q, _ := http.NewRequest(http.MethodPost, "http://"+fronts[node]+"/buy/0000000000000007", strings.NewReader("seats"))
			for name, v := range map[string]string{
				"X-Call-Id": id, "X-Tariff": "team", "X-Budget-Ms": "1000",
				"X-Weight": fmt.Sprintf("units=1,spread=%d,first=0", nodes),
			} {
				q.Header.Set(name, v)
			}
			from := time.Now()
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			answers[a.StatusCode]++
			if time.Since(from) > time.Second {
				t.Errorf("%s answered after %v", id, time.Since(from))
			}
		}()
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	used := float64(len(ran)) / (rate * span.Seconds())
	t.Logf("%d sent, %v, %.3f of the quota", sent, answers, used)
	if answers[200]+answers[503]+answers[502] != sent || used > 1.1 || used < 0.5 {
		t.Errorf("%d sent, %v, %.3f of the quota", sent, answers, used)
	}
}
