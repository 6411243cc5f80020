package decision

import (
	"slices"
	"testing"
)

// A refill adds tokens by rate and time, up to the burst. A negative rate removes tokens.
func TestTokenBucket(t *testing.T) {
	b := tokenBucket{level: 1, at: Second}
	for _, c := range []struct {
		now         Time
		rate, burst float64
		want        float64
	}{{Second, 5, 9, 1}, {Second + 5000, 5, 9, 3.5}, {9 * Second, 5, 9, 9}, {9 * Second, 5, 4, 4}, {10 * Second, -1, 4, 3}} {
		if b.refill(c.now, c.rate, c.burst); !near(b.level, c.want) || b.at != c.now {
			t.Errorf("refill(%d, %v, %v) led to %+v, want level %v at %d", c.now, c.rate, c.burst, b, c.want, c.now)
		}
	}
}

// Sum and count decay by 1/e in a time constant. An earlier time must not change them.
func TestDecayingMean(t *testing.T) {
	m := decayingMean{}
	m.add(4, Second, 2*Second)
	m.add(2, Second, 2*Second)
	if m.sum != 6 || m.count != 2 {
		t.Errorf("after adding 4 and 2, mean = %+v, want sum 6 and count 2", m)
	}
	m.decayTo(3*Second, 2*Second)
	if !near(m.sum, 6/2.718281828459045) || !near(m.count, 2/2.718281828459045) {
		t.Errorf("one time constant after sum 6 and count 2, mean = %+v, want both divided by e", m)
	}
	if before := m; true {
		if m.decayTo(2*Second, 2*Second); m != before {
			t.Errorf("decayTo() with an earlier time led to %+v, want %+v unchanged", m, before)
		}
	}
}

// The base latency T is the lowest of the last 30 mean durations, each of 30 completions or more. The best rate is the
// highest of the last 8 intervals.
func TestThroughput(t *testing.T) {
	tp := throughput{}
	interval := func(attempts int, took Time, requests int) {
		for range attempts {
			tp.recordCompletion(took)
		}
		tp.closeInterval(float64(attempts), requests)
	}
	interval(29, 100, 0)
	if tp.known() {
		t.Error("base latency is known after 29 completions, want unknown before 30")
	}
	interval(1, 400, 31)
	if tp.known() {
		t.Error("base latency is known after 30 completions with 31 requests in flight, want unknown")
	}
	interval(10, 110, 3)
	if !tp.known() || tp.baseLatency != (29*100+400+10*110)/40.0 {
		t.Errorf("base latency after 40 completions = %v, known %v, want their mean %v", tp.baseLatency, tp.known(), (29*100+400+10*110)/40.0)
	}
	for range 29 {
		interval(30, 500, 0)
	}
	if tp.baseLatency != 110 {
		t.Errorf("base latency = %v after 29 longer intervals, want 110", tp.baseLatency)
	}
	if interval(30, 500, 0); tp.baseLatency != 500 {
		t.Errorf("base latency = %v after 30 longer intervals, want 500", tp.baseLatency)
	}
	tp = throughput{}
	for _, n := range []int{80, 50, 7, 6, 5} {
		interval(n, 100, 0)
	}
	if tp.bestRate() != 80 || !near(tp.completionsIn(5000), 3.5) {
		t.Errorf("bestRate() = %v, completionsIn(5000) = %v, want 80, 3.5", tp.bestRate(), tp.completionsIn(5000))
	}
	for range 4 {
		interval(5, 100, 0)
	}
	if tp.bestRate() != 50 || (&throughput{}).completionsIn(Second) != 0 {
		t.Errorf("bestRate() = %v, want 50; completionsIn(%d) of the zero value = %v, want 0",
			tp.bestRate(), Second, (&throughput{}).completionsIn(Second))
	}
}

// The tail latency is the 95th percentile of the samples, and reset clears all counts.
func TestIntervalStats(t *testing.T) {
	s := intervalStats{}
	for k := range 100 {
		s.addLatency(float64(99 - k))
	}
	s.countRejection(ReasonQuota)
	if got := s.tailLatency(); got != 95 || s.samples != 100 || s.latencySum != 4950 || s.rejected[ReasonQuota] != 1 {
		t.Errorf("tail latency = %v, stats %+v, want tail 95, 100 samples, sum 4950, 1 rejection by quota", got, s)
	}
	if s.reset(Second); s.samples != 0 || s.startedAt != Second || s.tailLatency() != 0 {
		t.Errorf("after reset, stats = %+v with tail latency %v, want startedAt %d and no samples", s, s.tailLatency(), Second)
	}
}

// appendRecent keeps the last values only.
func TestAppendRecent(t *testing.T) {
	var list []float64
	for k := range 5 {
		list = appendRecent(list, float64(k), 3)
	}
	if !slices.Equal(list, []float64{2, 3, 4}) {
		t.Errorf("after appending 0 to 4 with k = 3, list = %v, want [2 3 4]", list)
	}
}
