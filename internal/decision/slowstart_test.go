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
	firstServers := map[ServerID]bool{}
	coldAttempts := 0
	for k := range nodes {
		engine := New(uint64(k)<<32|uint64(k*7919), Settings{
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
		engine.UpdateEndpoints(CachedList, list)
		for i := range RequestID(60) {
			now := Second + Time(i)*span/60
			engine.SetTime(now)
			engine.AddRequest(Request{ID: i, Customer: CustomerID(i), Timeout: Second, Units: 1, Spread: 1})
			for _, d := range takeDecisions(engine, Forward) {
				if i == 0 {
					firstServers[d.Server] = true
				}
				if d.Server == 99 {
					coldAttempts++
				}
				engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	// Each node sends 30 requests a second to 21 servers. A warm server completes its share of them.
	if maxAttempts := 4 * 0.25 * (30.0 * nodes / 21) * 2; len(firstServers) < 10 || float64(coldAttempts) > maxAttempts || coldAttempts == 0 {
		t.Fatalf("the first requests of %d nodes went to %d different servers, want at least 10; the cold server got %d attempts, want 1 to %.0f",
			nodes, len(firstServers), coldAttempts, maxAttempts)
	}
}

// Many nodes that each rarely use a cold server must together use most of its budget, and no more. Otherwise servers that
// replace half of the servers would be idle while the others are overloaded.
func TestColdServersOfALargeFleetAreUsed(t *testing.T) {
	const warmServers, coldServers, nodes = 10, 10, 60
	rng, sent, allowed := rand.New(rand.NewSource(3)), 0, 0.0
	for range nodes {
		engine := New(rng.Uint64(), Settings{
			settings.Nodes: "80", settings.Tick: "10", settings.ClassCount: "1",
			settings.ClassKey(0, settings.ClassLatencyObjective): "15000", settings.PlanCount: "1",
			settings.SlowStartSpan: "170000", settings.SlowStartShare: "0.2", settings.OverloadMultiple: "3",
			settings.OverloadSpan: "20000", settings.ClassKey(0, settings.ClassRetrySafety): settings.RetrySafe,
		}.parse(), Second)
		list := []Endpoint{}
		for i := range ServerID(warmServers) {
			list = append(list, Endpoint{Server: i, State: Ready, Weight: 1})
		}
		engine.UpdateEndpoints(FullList, list)
		for k := range RequestID(28 * 5) { // five requests a second, for 20 s before the new servers and 8 s after
			now := Second + Time(k)*Second/5
			engine.SetTime(now)
			if now >= 21*Second && engine.endpoints.ready == warmServers {
				for i := range ServerID(coldServers) {
					list = append(list, Endpoint{Server: 100 + i, State: Ready, Weight: 1, Started: now})
				}
				engine.UpdateEndpoints(FullList, list)
			}
			engine.AddRequest(Request{ID: k, Customer: CustomerID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
			for _, d := range takeDecisions(engine, Forward) {
				if d.Server >= 100 {
					sent++
				}
				engine.SetTime(now + Second/10)
				engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: Second / 10})
			}
			if now >= 21*Second {
				allowed += engine.slowStart.budget(&engine.endpoints.servers[warmServers], engine.now, engine.subsets.ratio) * coldServers / (2 * 5)
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
		engine := New(uint64(k)<<32|uint64(k*7919), Settings{
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
			engine.SetTime(step.at - 500) // a gap of more than 0.15 s before step.at would be a scheduling pause
			takeDecisions(engine, Forward)
			engine.SetTime(step.at)
			list := []Endpoint{{Server: 99, State: Ready, Weight: 1, Started: step.started}}
			for s := range ServerID(3) {
				list = append(list, Endpoint{Server: s, State: Ready, Weight: 1})
			}
			engine.UpdateEndpoints(FullList, list)
			engine.AddRequest(Request{ID: RequestID(i), Customer: 1, Timeout: Second, Units: 1, Spread: 1})
			for _, d := range takeDecisions(engine, Forward) {
				if d.Server == 99 {
					sent[step.at]++
				}
				engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	for at, share := range map[Time]float64{Second: 0.25, 61 * Second: 0.25, 71 * Second: 0.25 + 0.75*10/18} {
		if expected := 4 * share * 2 / 0.6; float64(sent[at]) > expected+2*math.Sqrt(expected)+2 {
			t.Errorf("%d nodes sent the cold server %d attempts at %d s, want at most %.1f",
				nodes, sent[at], at/Second, expected+2*math.Sqrt(expected)+2)
		}
	}
}

// A server's weight rises from the settings' share to 1 over the span after its start. A weight that rises earlier would let
// the nodes overload a cold server.
func TestSlowStartWeight(t *testing.T) {
	for _, c := range []struct {
		started, span, now Time
		want               float64
	}{{0, 100, 50, 1}, {10, 0, 10, 1}, {10, 100, 10, 0.25}, {10, 100, 60, 0.625}, {10, 100, 110, 1}, {10, 100, 5, 0.25}} {
		limit := slowStart{config: &config{slowStartSpan: c.span, slowStartShare: 0.25}}
		if got := limit.weight(&server{Endpoint: Endpoint{Started: c.started}}, c.now); !nearlyEqual(got, c.want) {
			t.Errorf("server started at %d, span %d: weight at %d = %v, want %v", c.started, c.span, c.now, got, c.want)
		}
	}
}

// The budget of a span is 0.4 of three times the completions of a warm server in 2 s, times the weight and the subset
// ratio. The count of attempts falls at that rate, for one span at most. Otherwise idle nodes would all send attempts at the
// same moment.
func TestSlowStartBudget(t *testing.T) {
	limit, now := slowStart{config: testConfig(), warmRate: 10}, 100*Second
	warming := &server{Endpoint: Endpoint{Started: now - 5*Second, Weight: 2}, inSubset: true}
	if got, want := limit.budget(warming, now, 3), 0.4*0.625*3*3*10*2; !nearlyEqual(got, want) {
		t.Errorf("budget with subset ratio 3 = %v, want %v", got, want)
	}
	limit.attemptCompleted(&server{Endpoint: Endpoint{Weight: 4}}, now)
	if got, want := limit.budget(warming, now, 1), 0.4*0.625*3*0.5*10*2; !nearlyEqual(got, want) {
		t.Errorf("budget of a server of half the mean size = %v, want %v", got, want)
	}
	limit.completedSizes = decayingMean{}
	warming.slowStart = slowStartState{sent: 14.5, at: now}
	if limit.hasCapacity(warming, now, 1) {
		t.Error("hasCapacity() = true with 14.5 attempts counted against a budget of 15, want false")
	}
	if limit.leak(warming, now+Second, 1); warming.slowStart.sent >= 8 || warming.slowStart.sent <= 5 || !limit.hasCapacity(warming, now+Second, 1) {
		t.Errorf("half a span after 14.5 attempts, the count is %v and hasCapacity() = %v, want above 5 and below 8, and true",
			warming.slowStart.sent, limit.hasCapacity(warming, now+Second, 1))
	}
	warming.slowStart = slowStartState{sent: 100, at: now - 9*Second}
	if limit.leak(warming, now, 1); warming.slowStart.sent != 100 { // the attempts were counted for the previous process
		t.Errorf("leak() of a count from before the process started changed 100 to %v, want no change", warming.slowStart.sent)
	}
	warming.slowStart = slowStartState{at: now}
	if warming.inFlight = 1; !limit.hasCapacity(warming, now, 1) {
		t.Error("hasCapacity() = false with 1 attempt in flight at a half-warm server, want true")
	}
	if warming.inFlight = 2; limit.hasCapacity(warming, now, 1) {
		t.Error("hasCapacity() = true with 2 attempts in flight at a half-warm server, want false")
	}
	warming.inSubset, warming.inFlight = false, 0
	if limit.hasCapacity(warming, now+4*Second, 1) {
		t.Error("hasCapacity() = true for a warming server outside the subset, want false")
	}
	if !limit.hasCapacity(warming, now+5*Second, 1) {
		t.Error("hasCapacity() = false for a warm server outside the subset, want true")
	}
}

// A warm server's rate is the best mean rate of recent intervals, each divided by the servers that were warm then. It
// decays slowly, so that a mostly cold fleet keeps its budgets.
func TestWarmRate(t *testing.T) {
	limit, rates := slowStart{}, []float64{}
	for range 4 {
		rates = append(rates, 80)
		limit.closeInterval(8, rates)
	}
	if !nearlyEqual(limit.warmRate, 10) {
		t.Errorf("warm rate = %v a second after four intervals with 80 completions a second at 8 warm servers, want 10", limit.warmRate)
	}
	rates = append(rates, 20)
	if limit.closeInterval(2, rates); !nearlyEqual(limit.warmRate, (3*16+4)/4) { // over 2 servers: 40 and 10 a second, at most 1.6 times 10 and 2.5
		t.Errorf("warm rate = %v a second after 6 of 8 servers restarted, want %v", limit.warmRate, (3*16+4)/4)
	}
	for range 8 {
		rates = append(rates, 0)
	}
	before := limit.warmRate
	if limit.closeInterval(2, rates); !nearlyEqual(limit.warmRate, 0.97*before) {
		t.Errorf("warm rate = %v a second after an idle interval, want %v, which is 0.97 of %v", limit.warmRate, 0.97*before, before)
	}
}
