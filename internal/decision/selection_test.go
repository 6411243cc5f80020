package decision

import (
	"testing"

	"cherrygap/internal/settings"
)

// With a small subset, the server with the fewest attempts in flight for its weight is selected. The rotation alone
// would send requests to a larger server that is busy while a smaller one is idle.
func TestSubsetServerWithTheLeastInFlightComesFirst(t *testing.T) {
	engine := newTestEngine(2, Settings{settings.Nodes: "60", settings.Peers: settings.On, settings.PeerRate: "40"})
	engine.endpoints.servers[1].Weight, engine.endpoints.servers[1].inFlight, engine.endpoints.servers[1].rotationCredit = 4, 1, 100
	engine.AddRequest(Request{ID: 1, Timeout: Second, Units: 1, Spread: 1})
	if got := engine.pick(&engine.requests.all[0]); got != 0 {
		t.Fatalf("pick() = server %d, want 0, which is idle while server 1 has an attempt in flight", got)
	}
}

// A server's weight is its size divided by its relative pace. The pace has a prior of the mean pace. Without the prior, one
// long request would leave a server almost without weight.
func TestWeights(t *testing.T) {
	rotation := selection{config: testConfig()}
	for _, c := range []struct {
		size, sum, count, mean float64 // listed size, sum and count of the pace, mean pace
		want                   float64
	}{{1, 0, 0, 1, 1}, {0, 0, 0, 1, 1}, {4, 0, 0, 2, 4}, {1, 18, 6, 1, 0.5}, {2, 6, 6, 2, 2 / 0.75}} {
		s := &server{Endpoint: Endpoint{Weight: c.size}, pace: decayingMean{sum: c.sum, count: c.count, at: Second}}
		if got := rotation.weigh(s, c.mean, Second); !nearlyEqual(got, c.want) {
			t.Errorf("size %v, pace with sum %v and count %v, mean pace %v: weigh() = %v, want %v", c.size, c.sum, c.count, c.mean, got, c.want)
		}
	}
}

// TestPace checks the effect of each outcome on a server's pace. If a fast failure counted with its duration, a failing
// server would seem fast and attract requests.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		outcome   Outcome
		latencies float64
		wantCount float64
		wantSum   float64
	}{
		{Succeeded, 0.4, 1, 0.4},
		{TimedOut, 0.4, 1, 1},
		{TimedOut, 5, 1, 5},
		{ConnectFailed, 0, 1, 1},
		{ConnectionReset, 2, 1, 2},
		{Cancelled, 1, 0, 0},
		{Cancelled, 2, 1, 2},
		{Failed, 5, 0, 0},
		{Overloaded, 5, 0, 0},
		{MalformedResponse, 5, 0, 0},
		{NotSent, 5, 0, 0},
	} {
		rotation, s := selection{}, &server{Endpoint: Endpoint{State: Ready}, listed: true}
		rotation.attemptEnded(s, c.outcome, c.latencies, Second)
		if s.pace.count != c.wantCount || s.pace.sum != c.wantSum || rotation.paces != s.pace {
			t.Errorf("outcome %s after %v usual latencies: pace of the server %+v, of all servers %+v; want both equal with sum %v and count %v",
				outcomeNames[c.outcome], c.latencies, s.pace, rotation.paces, c.wantSum, c.wantCount)
		}
	}
}

// Each server gets requests in proportion to its weight. A server at its cap is left out while other servers are below
// theirs. Otherwise queues would build up at smaller or slower servers.
func TestRotationByWeight(t *testing.T) {
	engine := newTestEngine(3, Settings{settings.PlanKey(0, settings.PlanRate): "0"})
	for i := range engine.endpoints.servers {
		engine.endpoints.servers[i].Weight = float64(1 + i)
	}
	r, got := &request{}, [3]int{}
	for range 600 {
		got[engine.pick(r)]++
	}
	if got != [3]int{100, 200, 300} {
		t.Errorf("600 selections by server = %v, want [100 200 300]", got)
	}
	engine.endpoints.servers[2].inFlight = 2 // the cap is 1.5
	for range 10 {
		if engine.pick(r) == 2 {
			t.Fatal("pick() = server 2, which has 2 attempts in flight above its cap of 1.5, want another server")
		}
	}
}

// Each pass accepts more servers: tried ones after all others, ejected ones last. Without the last passes, a request would be
// rejected although a server could take it.
func TestPasses(t *testing.T) {
	engine := newTestEngine(3, nil)
	r := &request{attempts: []attempt{{server: 0}}}
	engine.endpoints.servers[1].byClass[0].ejectedUntil = 99 * Second
	if got := engine.pick(r); got != 2 {
		t.Errorf("pick() = server %d (-1 for none), want 2, the only one that is neither tried nor ejected", got)
	}
	engine.endpoints.servers[2].byClass[0].ejectedUntil = 99 * Second
	if got := engine.pick(r); got != 0 {
		t.Errorf("pick() = server %d (-1 for none), want 0, which was tried, while the others are ejected", got)
	}
	engine.endpoints.servers[0].byClass[0].ejectedUntil = 99 * Second
	if got := engine.pick(r); got < 0 {
		t.Errorf("pick() = server %d (-1 for none) while all servers are ejected, want any server", got)
	}
	engine.UpdateEndpoints(FullList, nil)
	if got := engine.pick(r); got != -1 {
		t.Errorf("pick() = server %d with an empty endpoint list, want -1 for none", got)
	}
}
