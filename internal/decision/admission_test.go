package decision

import (
	"math"
	"testing"

	"cherrygap/internal/settings"
)

// A node without measurements bounds its attempts in flight. Otherwise many requests that arrive at once would all reach
// the servers.
func TestFreshNodeBoundsInFlight(t *testing.T) {
	engine := New(7, Settings{
		settings.Nodes: "1", settings.Tick: "10", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.MaxAttempts: "3",
	}.parse(), Second)
	engine.UpdateEndpoints(CachedList, []Endpoint{{Server: 5, State: Ready, Weight: 1}, {Server: 9, State: Ready, Weight: 1}})
	for id := range RequestID(50) {
		engine.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
	}
	sent, rejected := 0, 0
	for d, ok := engine.Next(); ok; d, ok = engine.Next() {
		switch d.Action {
		case Forward:
			sent++
		case Reject:
			rejected++
		}
	}
	if sent < 2*coldStartAttemptsPerServer || sent > 4*coldStartAttemptsPerServer || sent+rejected != 50 {
		t.Fatalf("a node without measurements sent %d and rejected %d of 50 requests to 2 servers, want %v to %v sent and all others rejected",
			sent, rejected, 2*coldStartAttemptsPerServer, 4*coldStartAttemptsPerServer)
	}
}

// The first responses after a restart are the shortest ones. A base latency from these alone would make any later latency
// look like a queue.
func TestFirstShortResponsesDoNotSetBaseLatency(t *testing.T) {
	engine := newTestEngine(10, nil)
	for id := range RequestID(4) {
		engine.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	for _, d := range takeDecisions(engine, Forward)[:2] {
		engine.SetTime(Second + 100)
		engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 100, Final: true})
	}
	engine.SetTime(2*Second + 10)
	takeDecisions(engine, LogSummary)
	if engine.admission.throughput.baseLatency != 0 || engine.admission.rate != 0 {
		t.Fatalf("after two completions, base latency = %v and admission rate = %v, want 0 and 0",
			engine.admission.throughput.baseLatency, engine.admission.rate)
	}
}

// If all servers have stopped, the attempts in flight at them count towards the limit, although the servers are ejected.
// Otherwise the number of attempts in flight would grow without bound.
func TestStoppedServersBoundInFlight(t *testing.T) {
	engine := newTestEngine(6, nil)
	now, id, maxInFlight := Second, RequestID(0), 0
	var inFlight []Decision
	for ; now < 12*Second; now += 100 {
		engine.SetTime(now)
		for range 2 {
			id++
			engine.AddRequest(Request{ID: id, Timeout: 8 * Second, Units: 1, Spread: 1})
		}
		if now < 4*Second { // every attempt takes 20 ms until all servers stop
			for _, d := range inFlight {
				engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 200, Final: true})
			}
			inFlight = inFlight[:0]
		}
		inFlight = append(inFlight, takeDecisions(engine, Forward)...)
		maxInFlight = max(maxInFlight, len(inFlight))
	}
	if maxInFlight > 36 { // 6 attempts per server; without the limit there would be hundreds
		t.Fatalf("up to %d attempts were in flight at six stopped servers, want at most 36", maxInFlight)
	}
}

// testConfig returns the settings of node 1 in a fleet of four nodes that exchange messages, with one class and one plan.
func testConfig() *config {
	return parseSettings(Settings{
		settings.Nodes: "4", settings.Node: "1", settings.Peers: settings.On, settings.PeerRate: "100",
		settings.Tick: "10", settings.MaxAttempts: "3", settings.ConnectTimeout: "500",
		settings.SlowStartSpan: "100000", settings.SlowStartShare: "0.25", settings.OverloadMultiple: "3",
		settings.OverloadSpan: "20000", settings.IdleTimeout: "300000",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe,
		settings.PlanKey(0, settings.PlanRate):               "10", settings.PlanKey(0, settings.PlanBurst): "20",
	})
}

// nearlyEqual reports whether a is b, to within 1e-9 times the larger of 1 and |b|.
func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

// A node's share of a fleet-wide limit has a margin for random arrivals. It is at least 1, since a node with few servers
// could otherwise send no attempt.
func TestEvenShare(t *testing.T) {
	l := admissionLimit{config: testConfig()}
	for _, c := range []struct {
		attemptsPerServer float64
		ready             int
		want              float64
	}{{1.1, 0, 1}, {1.1, 1, 1}, {1.1, 8, 2.2 + 0.3*math.Sqrt(2.2)}, {3, 8, 6 + 0.3*math.Sqrt(6)}} {
		if got := l.evenShare(c.attemptsPerServer, c.ready); !nearlyEqual(got, c.want) {
			t.Errorf("evenShare(%v, %d) = %v, want %v", c.attemptsPerServer, c.ready, got, c.want)
		}
	}
}

// The token bucket holds 15% of a second's tokens and one more. Directly after a scheduling pause it holds the tokens of
// the whole pause: a smaller bucket would reject the requests that arrived during the pause.
func TestAdmissionTokens(t *testing.T) {
	for _, c := range []struct {
		name  string
		after Time
		pause pause
		want  float64
	}{
		{"less than one token", 900, pause{}, 0.9},
		{"one token", 1000, pause{}, 1},
		{"bucket full after an idle time", 10 * Second, pause{}, 2.5},
		{"after a pause", 5 * Second, pause{length: 5 * Second, endedAt: 6 * Second}, 50},
		{"long after a pause", 5 * Second, pause{length: 5 * Second, endedAt: 5 * Second}, 2.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := admissionLimit{config: testConfig(), rate: 10, tokens: tokenBucket{at: Second}}
			if got := l.hasToken(Second+c.after, &c.pause); got != (c.want >= 1) || !nearlyEqual(l.tokens.level, c.want) {
				t.Errorf("hasToken = %v with %v tokens, want %v with %v tokens", got, l.tokens.level, c.want >= 1, c.want)
			}
		})
	}
}

// closeIntervals closes a number of intervals, each with the same number and duration of completed attempts. It returns
// the admission rate.
func closeIntervals(l *admissionLimit, intervals, completed int, duration Time, load intervalLoad) float64 {
	for k := range intervals {
		stats := &intervalStats{admitted: completed, completed: completed}
		for range completed {
			stats.addLatency(float64(duration) / 6000)
			l.throughput.recordCompletion(duration)
		}
		l.closeInterval(Time(k)*Second, 1, stats, load)
	}
	return l.rate
}

// The admission rate is 0 until the base latency is known. It allows the measured throughput while latency is low, and
// falls when latency is high. The base latency must not rise with a queue, which would otherwise look normal.
func TestAdmissionRate(t *testing.T) {
	newLimit := func() *admissionLimit {
		l := newAdmissionLimit(0)
		l.config = testConfig()
		return &l
	}
	load := intervalLoad{requestsInFlight: 5, inFlightAtHealthy: 5, readyServers: 8}
	if got := closeIntervals(newLimit(), 3, 9, 500, load); got != 0 {
		t.Errorf("admission rate = %v after 27 completions, want 0", got)
	}
	l := newLimit()
	rateAtLowLatency := closeIntervals(l, 5, 100, 500, load)
	if !l.latencyLow || rateAtLowLatency < 100 || l.throughput.baseLatency != 500 {
		t.Errorf("at low latency, latencyLow = %v, admission rate = %v, base latency = %v; want true, at least 100, and 500",
			l.latencyLow, rateAtLowLatency, l.throughput.baseLatency)
	}
	if rateAtHighLatency := closeIntervals(l, 5, 100, 12000, intervalLoad{requestsInFlight: 90, inFlightAtHealthy: 90, readyServers: 8}); l.latencyLow || rateAtHighLatency > rateAtLowLatency/2 {
		t.Errorf("at high latency, latencyLow = %v, admission rate = %v; want false and at most %v", l.latencyLow, rateAtHighLatency, rateAtLowLatency/2)
	}
	if l.throughput.baseLatency != 500 {
		t.Errorf("base latency = %v after intervals of high latency, want 500", l.throughput.baseLatency)
	}
}

// The previous interval's mean replaces missing samples. Without any sample, requests in flight count as one latency
// objective: an interval in which nothing completes must not look like low latency.
func TestIntervalLatency(t *testing.T) {
	for _, c := range []struct {
		samples  int
		sum      float64
		requests int
		want     float64
	}{{0, 0, 0, 0}, {0, 0, 1, 1}, {20, 10, 1, 0.5}, {10, 5, 1, 0.5}, {1, 1, 1, (1 + 9*0.125) / 10}} {
		l := newAdmissionLimit(0)
		if got := l.intervalLatency(&intervalStats{samples: c.samples, latencySum: c.sum}, c.requests); !nearlyEqual(got, c.want) {
			t.Errorf("intervalLatency of %d samples with sum %v and %d requests = %v, want %v", c.samples, c.sum, c.requests, got, c.want)
		}
	}
}

// The concurrency limit is 1.5 times the attempts that complete within T. It has a higher lower bound while latency is low:
// a tighter limit would reject the load of failed nodes.
func TestConcurrencyLimit(t *testing.T) {
	l := &admissionLimit{config: testConfig()}
	l.throughput = throughput{baseLatency: 2000, rates: []float64{500, 100, 100, 100}}
	if got := l.concurrencyLimit(8); !nearlyEqual(got, 1.5*100*0.2) {
		t.Errorf("at high latency, concurrencyLimit(8) = %v, want %v", got, 1.5*100*0.2)
	}
	l.latencyLow = true
	if got, want := l.concurrencyLimit(80), (22+0.3*math.Sqrt(22))*(1.4+0.6*2); !nearlyEqual(got, want) {
		t.Errorf("at low latency, concurrencyLimit(80) = %v, want %v", got, want)
	}
}

// The load policy returns 1.2 while all features are low, and less as any of them rises. Otherwise a node would admit as much
// load during a queue as before.
func TestLoadPolicy(t *testing.T) {
	for _, c := range []struct {
		features [4]float64
		want     float64
	}{{[4]float64{}, 1.2}, {[4]float64{0.2, 0.2, 0.2, 0.2}, 1.2}, {[4]float64{1.2, 0, 0.7, 0}, 0.6}, {[4]float64{-9, -9, 1.2, 1.2}, 0.4}} {
		if got := loadPolicy.evaluate(c.features); !nearlyEqual(got, c.want) {
			t.Errorf("loadPolicy.evaluate(%v) = %v, want %v", c.features, got, c.want)
		}
	}
}
