package decision

import (
	"math"
	"math/rand"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// Hundreds of nodes that start together must not send their first requests to the same servers, nor each send an
// attempt to a cold server at once.
func TestNodesSpreadFirstAttempts(t *testing.T) {
	const nodes, span = 300, 20000
	first := map[ServerID]bool{}
	cold := 0
	for k := range nodes {
		n := New(uint64(k)<<32|uint64(k*7919), Settings{
			settings.Nodes: "300", settings.Tick: "40", settings.ClassCount: "1",
			settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
			settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
			settings.SlowStartSpan: "180000", settings.SlowStartShare: "0.25", settings.OverloadMultiple: "4",
			settings.OverloadSpan: "20000",
		}.parse(), Second)
		list := []Endpoint{{Server: 99, State: Ready, Weight: 1, Started: Second - 1}}
		for s := range ServerID(20) {
			list = append(list, Endpoint{Server: s, State: Ready, Weight: 1})
		}
		n.UpdateEndpoints(CachedList, list)
		for i := range RequestID(60) {
			now := Second + Time(i)*span/60
			n.SetTime(now)
			n.AddRequest(Request{ID: i, Customer: CustomerID(i), Timeout: Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if i == 0 {
					first[d.Server] = true
				}
				if d.Server == 99 {
					cold++
				}
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	// 30 requests a second a node over 21 servers, all of which a warm one completes
	if most := 4 * 0.25 * (30.0 * nodes / 21) * 2; len(first) < 10 || float64(cold) > most || cold == 0 {
		t.Fatalf("first sends to %d servers; %d to the cold one, %.0f allowed", len(first), cold, most)
	}
}

// Many nodes that each rarely use a cold server must together use most of its budget, and no more. Otherwise servers
// that replace half of the fleet would be idle while the others are overloaded.
func TestColdServersOfALargeFleetAreUsed(t *testing.T) {
	const warm, cold, nodes = 10, 10, 60
	r, sent, allowed := rand.New(rand.NewSource(3)), 0, 0.0
	for range nodes {
		n := New(r.Uint64(), Settings{
			settings.Nodes: "80", settings.Tick: "10", settings.ClassCount: "1",
			settings.ClassKey(0, settings.ClassLatencyObjective): "15000", settings.PlanCount: "1",
			settings.SlowStartSpan: "170000", settings.SlowStartShare: "0.2", settings.OverloadMultiple: "3",
			settings.OverloadSpan: "20000", settings.ClassKey(0, settings.ClassRetrySafety): settings.RetrySafe,
		}.parse(), Second)
		list := []Endpoint{}
		for i := range ServerID(warm) {
			list = append(list, Endpoint{Server: i, State: Ready, Weight: 1})
		}
		n.UpdateEndpoints(FullList, list)
		for k := range RequestID(28 * 5) { // five requests a second, 20 s before the change and 8 s after
			now := Second + Time(k)*Second/5
			n.SetTime(now)
			if now >= 21*Second && n.endpoints.ready == warm {
				for i := range ServerID(cold) {
					list = append(list, Endpoint{Server: 100 + i, State: Ready, Weight: 1, Started: now})
				}
				n.UpdateEndpoints(FullList, list)
			}
			n.AddRequest(Request{ID: k, Customer: CustomerID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if d.Server >= 100 {
					sent++
				}
				n.SetTime(now + Second/10)
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: Second / 10})
			}
			if now >= 21*Second {
				allowed += n.slowStart.budget(&n.endpoints.servers[warm], n.now, n.subsets.ratio) * cold / (2 * 5)
			}
		}
	}
	if got := float64(sent) / allowed; got < 0.6 || got > 1.2 {
		t.Fatalf("%d attempts to cold servers, %.0f allowed", sent, allowed)
	}
}

// Idle nodes must not all have one attempt left for a cold server, neither at its second start nor after a pause while
// it is cold. The bound is N + 2√N + 2, with N by the least assumed rate.
func TestIdleNodesHoldNoCreditForColdServers(t *testing.T) {
	const nodes = 30
	sent := map[Time]int{}
	for k := range nodes {
		n := New(uint64(k)<<32|uint64(k*7919), Settings{
			settings.Nodes: strconv.Itoa(nodes), settings.PeerRate: "100", settings.Tick: "40",
			settings.ClassCount: "1", settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
			settings.ClassKey(0, settings.ClassRetrySafety): settings.RetrySafe, settings.PlanCount: "1",
			settings.SlowStartSpan: "180000", settings.SlowStartShare: "0.25", settings.OverloadMultiple: "4",
			settings.OverloadSpan: "20000",
		}.parse(), Second)
		for i, step := range []struct{ at, started Time }{
			{Second, Second - 1},
			{61 * Second, 61*Second - 1},
			{71 * Second, 61*Second - 1},
		} {
			n.SetTime(step.at - 500) // a turn before, or the gap would pass for a pause
			pull(n, Forward)
			n.SetTime(step.at)
			list := []Endpoint{{Server: 99, State: Ready, Weight: 1, Started: step.started}}
			for s := range ServerID(3) {
				list = append(list, Endpoint{Server: s, State: Ready, Weight: 1})
			}
			n.UpdateEndpoints(FullList, list)
			n.AddRequest(Request{ID: RequestID(i), Customer: 1, Timeout: Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if d.Server == 99 {
					sent[step.at]++
				}
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	for at, share := range map[Time]float64{Second: 0.25, 61 * Second: 0.25, 71 * Second: 0.25 + 0.75*10/18} {
		if most := 4 * share * 2 / 0.6; float64(sent[at]) > most+2*math.Sqrt(most)+2 {
			t.Errorf("%d attempts at once at %d, where N is %.1f", sent[at], at, most)
		}
	}
}

// A server's weight rises from the settings' share to 1 over the span after its start.
func TestSlowStartWeight(t *testing.T) {
	for _, c := range []struct {
		started, span, now Time
		want               float64
	}{{0, 100, 50, 1}, {10, 0, 10, 1}, {10, 100, 10, 0.25}, {10, 100, 60, 0.625}, {10, 100, 110, 1}, {10, 100, 5, 0.25}} {
		l := slowStart{config: &config{slowStartSpan: c.span, slowStartShare: 0.25}}
		if got := l.weight(&server{Endpoint: Endpoint{Started: c.started}}, c.now); !near(got, c.want) {
			t.Errorf("started at %d, span %d: %v at %d", c.started, c.span, got, c.now)
		}
	}
}

// The budget of a span is 0.4 of three times the completions of a warm server in 2 s, times the weight and the subset
// ratio. The count drains at that rate, for one span at most.
func TestSlowStartBudget(t *testing.T) {
	l, now := slowStart{config: testConfig(), warmRate: 10}, 100*Second
	s := &server{Endpoint: Endpoint{Started: now - 5*Second, Weight: 2}, inSubset: true}
	if got, want := l.budget(s, now, 3), 0.4*0.625*3*3*10*2; !near(got, want) {
		t.Errorf("budget %v, not %v", got, want)
	}
	l.attemptCompleted(&server{Endpoint: Endpoint{Weight: 4}}, now)
	if got, want := l.budget(s, now, 1), 0.4*0.625*3*0.5*10*2; !near(got, want) {
		t.Errorf("budget %v of a server half the usual size, not %v", got, want)
	}
	l.completedSizes = decayingMean{}
	s.slowStart = slowStartState{sent: 14.5, at: now}
	if l.hasCapacity(s, now, 1) {
		t.Error("room with the budget of 15 taken")
	}
	if l.leak(s, now+Second, 1); s.slowStart.sent >= 8 || s.slowStart.sent <= 5 || !l.hasCapacity(s, now+Second, 1) {
		t.Errorf("%v left after half a span", s.slowStart.sent)
	}
	s.slowStart = slowStartState{sent: 100, at: now - 9*Second}
	if l.leak(s, now, 1); s.slowStart.sent != 100 { // counted for the process before
		t.Errorf("%v left by a new process", s.slowStart.sent)
	}
	s.slowStart = slowStartState{at: now}
	if s.inFlight = 1; !l.hasCapacity(s, now, 1) {
		t.Error("no room with one in flight at a server half warm")
	}
	if s.inFlight = 2; l.hasCapacity(s, now, 1) {
		t.Error("room with two in flight at a server half warm")
	}
	s.inSubset, s.inFlight = false, 0
	if l.hasCapacity(s, now+4*Second, 1) {
		t.Error("room out of the subset")
	}
	if !l.hasCapacity(s, now+5*Second, 1) {
		t.Error("no room at a warm server")
	}
}

// A warm server's rate is that of the best intervals, by the servers that were warm then. It decays slowly.
func TestWarmRate(t *testing.T) {
	l, rates := slowStart{}, []float64{}
	for range 4 {
		rates = append(rates, 80)
		l.closeInterval(8, rates)
	}
	if !near(l.warmRate, 10) {
		t.Errorf("%v a second, of 80 by 8", l.warmRate)
	}
	rates = append(rates, 20)
	if l.closeInterval(2, rates); !near(l.warmRate, (3*16+4)/4) { // by those left: 40 and 10, at most 1.6 times 10 and 2.5
		t.Errorf("%v a second after most restarted", l.warmRate)
	}
	for range 8 {
		rates = append(rates, 0)
	}
	before := l.warmRate
	if l.closeInterval(2, rates); !near(l.warmRate, 0.97*before) {
		t.Errorf("%v a second when idle, %v before", l.warmRate, before)
	}
}
