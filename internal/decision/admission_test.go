package decision

import (
	"math"
	"testing"

	"cherrygap/internal/settings"
)

// TestFreshNodeBoundsInFlight sends many requests at once to a node without measurements.
func TestFreshNodeBoundsInFlight(t *testing.T) {
	n := New(7, Settings{
		settings.Nodes: "1", settings.Tick: "10", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.MaxAttempts: "3",
	}.parse(), Second)
	n.UpdateEndpoints(CachedList, []Endpoint{{Server: 5, State: Ready, Weight: 1}, {Server: 9, State: Ready, Weight: 1}})
	for id := range RequestID(50) {
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
	}
	sent, rejected := 0, 0
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		switch d.Action {
		case Forward:
			sent++
		case Reject:
			rejected++
		}
	}
	if sent < 2*coldStartAttemptsPerServer || sent > 4*coldStartAttemptsPerServer || sent+rejected != 50 {
		t.Fatalf("sent %d, rejected %d of 50", sent, rejected)
	}
}

// A restarted node receives the shortest responses first. A base latency from these alone would make any later latency
// look like a queue.
func TestFirstShortResponsesDoNotSetBaseLatency(t *testing.T) {
	n := plain(10, nil)
	for id := range RequestID(4) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	for _, d := range pull(n, Forward)[:2] {
		n.SetTime(Second + 100)
		n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 100, Final: true})
	}
	n.SetTime(2*Second + 10)
	pull(n, LogSummary)
	if n.admission.throughput.baseLatency != 0 || n.admission.rate != 0 {
		t.Fatalf("T is %.0f after two completions", n.admission.throughput.baseLatency)
	}
}

// While all servers have stopped, attempts in flight at them count. Otherwise the node would send ever more.
func TestStoppedServersBoundInFlight(t *testing.T) {
	n := plain(6, nil)
	now, id, out := Second, RequestID(0), 0
	var sent []Decision
	for ; now < 12*Second; now += 100 {
		n.SetTime(now)
		for range 2 {
			id++
			n.AddRequest(Request{ID: id, Timeout: 8 * Second, Units: 1, Spread: 1})
		}
		if now < 4*Second { // every attempt takes 20 ms until all stand still
			for _, d := range sent {
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 200, Final: true})
			}
			sent = sent[:0]
		}
		sent = append(sent, pull(n, Forward)...)
		out = max(out, len(sent))
	}
	if out > 36 { // six a server; without the guard it is hundreds
		t.Fatalf("%d out at six servers that stand still", out)
	}
}

// testConfig is a node's settings of four nodes that all hear each other, with one class and one plan.
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

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

func TestEvenShare(t *testing.T) {
	l := admissionLimit{config: testConfig()}
	for _, c := range []struct {
		each  float64
		ready int
		want  float64
	}{{1.1, 0, 1}, {1.1, 1, 1}, {1.1, 8, 2.2 + 0.3*math.Sqrt(2.2)}, {3, 8, 6 + 0.3*math.Sqrt(6)}} {
		if got := l.evenShare(c.each, c.ready); !near(got, c.want) {
			t.Errorf("%v of %d servers: %v, not %v", c.each, c.ready, got, c.want)
		}
	}
}

// The bucket holds 15% of a second's tokens and one more. After a pause it holds the tokens of the pause.
func TestAdmissionTokens(t *testing.T) {
	for _, c := range []struct {
		name  string
		after Time
		pause pause
		want  float64
	}{
		{"too soon", 900, pause{}, 0.9},
		{"one token", 1000, pause{}, 1},
		{"idle for long", 10 * Second, pause{}, 2.5},
		{"after a pause", 5 * Second, pause{length: 5 * Second, endedAt: 6 * Second}, 50},
		{"long after a pause", 5 * Second, pause{length: 5 * Second, endedAt: 5 * Second}, 2.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := admissionLimit{config: testConfig(), rate: 10, tokens: tokenBucket{at: Second}}
			if got := l.hasToken(Second+c.after, &c.pause); got != (c.want >= 1) || !near(l.tokens.level, c.want) {
				t.Errorf("%v tokens, may pass: %v", l.tokens.level, got)
			}
		})
	}
}

// closeIntervals closes a number of intervals with the same completed attempts, and returns λ.
func closeIntervals(l *admissionLimit, intervals, completed int, took Time, load intervalLoad) float64 {
	for k := range intervals {
		seen := &intervalStats{admitted: completed, completed: completed}
		for range completed {
			seen.addLatency(float64(took) / 6000)
			l.throughput.recordCompletion(took)
		}
		l.closeInterval(Time(k)*Second, 1, seen, load)
	}
	return l.rate
}

func TestAdmissionRate(t *testing.T) {
	fresh := func() *admissionLimit {
		l := newAdmissionLimit(0)
		l.config = testConfig()
		return &l
	}
	load := intervalLoad{requests: 5, healthy: 5, ready: 8}
	if got := closeIntervals(fresh(), 3, 9, 500, load); got != 0 {
		t.Errorf("λ is %v after 27 completions", got)
	}
	l := fresh()
	quiet := closeIntervals(l, 5, 100, 500, load)
	if !l.latencyLow || quiet < 100 || l.throughput.baseLatency != 500 {
		t.Errorf("while quiet λ is %v, T %v", quiet, l.throughput.baseLatency)
	}
	if busy := closeIntervals(l, 5, 100, 12000, intervalLoad{requests: 90, healthy: 90, ready: 8}); l.latencyLow || busy > quiet/2 {
		t.Errorf("λ is %v under pressure, %v while quiet", busy, quiet)
	}
	if l.throughput.baseLatency != 500 {
		t.Errorf("T rose to %v with the queue", l.throughput.baseLatency)
	}
}

// Missing samples are filled up by the last interval's mean. Without any sample, requests in flight count as one
// latency objective.
func TestIntervalLatency(t *testing.T) {
	for _, c := range []struct {
		samples  int
		sum      float64
		requests int
		want     float64
	}{{0, 0, 0, 0}, {0, 0, 1, 1}, {20, 10, 1, 0.5}, {10, 5, 1, 0.5}, {1, 1, 1, (1 + 9*0.125) / 10}} {
		l := newAdmissionLimit(0)
		if got := l.intervalLatency(&intervalStats{samples: c.samples, latencySum: c.sum}, c.requests); !near(got, c.want) {
			t.Errorf("%d samples with sum %v: %v, not %v", c.samples, c.sum, got, c.want)
		}
	}
}

// The concurrency limit is 1.5 times the attempts that complete within T, and higher while latency is quiet.
func TestConcurrencyLimit(t *testing.T) {
	l := &admissionLimit{config: testConfig()}
	l.throughput = throughput{baseLatency: 2000, rates: []float64{500, 100, 100, 100}}
	if got := l.concurrencyLimit(8); !near(got, 1.5*100*0.2) {
		t.Errorf("%v under pressure", got)
	}
	l.latencyLow = true
	if got, least := l.concurrencyLimit(80), (22+0.3*math.Sqrt(22))*(1.4+0.6*2); !near(got, least) {
		t.Errorf("%v while quiet, not %v", got, least)
	}
}

func TestLoadPolicy(t *testing.T) {
	for _, c := range []struct {
		features [4]float64
		want     float64
	}{{[4]float64{}, 1.2}, {[4]float64{0.2, 0.2, 0.2, 0.2}, 1.2}, {[4]float64{1.2, 0, 0.7, 0}, 0.6}, {[4]float64{-9, -9, 1.2, 1.2}, 0.4}} {
		if got := loadPolicy.evaluate(c.features); !near(got, c.want) {
			t.Errorf("%v: %v, not %v", c.features, got, c.want)
		}
	}
}
