package decision

import (
	"math"
	"math/rand"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// Hundreds of nodes that start together must not send their first requests to the same servers. Nor may each of them send
// an attempt to a cold server at once.
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
	// Each node sends 30 requests a second to 21 servers. A warm server completes its share of them.
	if most := 4 * 0.25 * (30.0 * nodes / 21) * 2; len(first) < 10 || float64(cold) > most || cold == 0 {
		t.Fatalf("first attempts went to %d servers, want at least 10; the cold server got %d attempts, want 1 to %.0f", len(first), cold, most)
	}
}

// Many nodes that each rarely use a cold server must together use most of its budget, and no more. Otherwise servers that
// replace half of the servers would be idle while the others are overloaded.
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
		for k := range RequestID(28 * 5) { // five requests a second, for 20 s before the new servers and 8 s after
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
		t.Fatalf("cold servers got %d attempts, %.2f of their budget of %.0f, want 0.6 to 1.2", sent, float64(sent)/allowed, allowed)
	}
}

// Idle nodes must not all send one attempt to a cold server at once. This holds at its first start, at its second start,
// and after an idle time while it is cold. The bound is N + 2√N + 2, where N follows from the least assumed rate.
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
			n.SetTime(step.at - 500) // a call shortly before: the engine would take the gap for a scheduling pause
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
			t.Errorf("%d nodes sent the cold server %d attempts at time %d, want at most %.1f",
				nodes, sent[at], at, most+2*math.Sqrt(most)+2)
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
			t.Errorf("server started at %d, span %d: weight at %d = %v, want %v", c.started, c.span, c.now, got, c.want)
		}
	}
}

// The budget of a span is 0.4 of three times the completions of a warm server in 2 s, times the weight and the subset
// ratio. The count of attempts falls at that rate, for one span at most.
func TestSlowStartBudget(t *testing.T) {
	l, now := slowStart{config: testConfig(), warmRate: 10}, 100*Second
	s := &server{Endpoint: Endpoint{Started: now - 5*Second, Weight: 2}, inSubset: true}
	if got, want := l.budget(s, now, 3), 0.4*0.625*3*3*10*2; !near(got, want) {
		t.Errorf("budget with subset ratio 3 = %v, want %v", got, want)
	}
	l.attemptCompleted(&server{Endpoint: Endpoint{Weight: 4}}, now)
	if got, want := l.budget(s, now, 1), 0.4*0.625*3*0.5*10*2; !near(got, want) {
		t.Errorf("budget of a server of half the mean size = %v, want %v", got, want)
	}
	l.completedSizes = decayingMean{}
	s.slowStart = slowStartState{sent: 14.5, at: now}
	if l.hasCapacity(s, now, 1) {
		t.Error("hasCapacity() = true with 14.5 attempts counted against a budget of 15, want false")
	}
	if l.leak(s, now+Second, 1); s.slowStart.sent >= 8 || s.slowStart.sent <= 5 || !l.hasCapacity(s, now+Second, 1) {
		t.Errorf("half a span after 14.5 attempts, the count is %v and hasCapacity() = %v, want 5 to 8 and true",
			s.slowStart.sent, l.hasCapacity(s, now+Second, 1))
	}
	s.slowStart = slowStartState{sent: 100, at: now - 9*Second}
	if l.leak(s, now, 1); s.slowStart.sent != 100 { // the attempts were counted for the previous process
		t.Errorf("leak() of a count from before the process started changed 100 to %v, want no change", s.slowStart.sent)
	}
	s.slowStart = slowStartState{at: now}
	if s.inFlight = 1; !l.hasCapacity(s, now, 1) {
		t.Error("hasCapacity() = false with 1 attempt in flight at a half-warm server, want true")
	}
	if s.inFlight = 2; l.hasCapacity(s, now, 1) {
		t.Error("hasCapacity() = true with 2 attempts in flight at a half-warm server, want false")
	}
	s.inSubset, s.inFlight = false, 0
	if l.hasCapacity(s, now+4*Second, 1) {
		t.Error("hasCapacity() = true for a warming server outside the subset, want false")
	}
	if !l.hasCapacity(s, now+5*Second, 1) {
		t.Error("hasCapacity() = false for a warm server outside the subset, want true")
	}
}

// A warm server's rate is the best mean rate of recent intervals, each divided by the servers that were warm then. It
// decays slowly.
func TestWarmRate(t *testing.T) {
	l, rates := slowStart{}, []float64{}
	for range 4 {
		rates = append(rates, 80)
		l.closeInterval(8, rates)
	}
	if !near(l.warmRate, 10) {
		t.Errorf("warm rate = %v a second after 80 a second at 8 warm servers, want 10", l.warmRate)
	}
	rates = append(rates, 20)
	if l.closeInterval(2, rates); !near(l.warmRate, (3*16+4)/4) { // over 2 servers: 40 and 10 a second, at most 1.6 times 10 and 2.5
		t.Errorf("warm rate = %v a second after 6 of 8 servers restarted, want %v", l.warmRate, (3*16+4)/4)
	}
	for range 8 {
		rates = append(rates, 0)
	}
	before := l.warmRate
	if l.closeInterval(2, rates); !near(l.warmRate, 0.97*before) {
		t.Errorf("warm rate = %v a second after an idle interval, want %v, which is 0.97 of %v", l.warmRate, 0.97*before, before)
	}
}
