package decision

import (
	"slices"
	"testing"
)

func TestTokenBucket(t *testing.T) {
	b := tokenBucket{level: 1, at: Second}
	for _, c := range []struct {
		now         Time
		rate, burst float64
		want        float64
	}{{Second, 5, 9, 1}, {Second + 5000, 5, 9, 3.5}, {9 * Second, 5, 9, 9}, {9 * Second, 5, 4, 4}, {10 * Second, -1, 4, 3}} {
		if b.refill(c.now, c.rate, c.burst); !near(b.level, c.want) || b.at != c.now {
			t.Errorf("%+v at %d, not %v", b, c.now, c.want)
		}
	}
}

func TestDecayingMean(t *testing.T) {
	m := decayingMean{}
	m.add(4, Second, 2*Second)
	m.add(2, Second, 2*Second)
	if m.sum != 6 || m.count != 2 {
		t.Errorf("%+v", m)
	}
	m.decayTo(3*Second, 2*Second)
	if !near(m.sum, 6/2.718281828459045) || !near(m.count, 2/2.718281828459045) {
		t.Errorf("%+v after its memory", m)
	}
	if before := m; true {
		if m.decayTo(2*Second, 2*Second); m != before {
			t.Error("it went back")
		}
	}
}

// T is the lowest mean of the last 30 intervals with 30 completions or more.
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
		t.Error("T is known after 29 completions")
	}
	interval(1, 400, 31)
	if tp.known() {
		t.Error("T is known after fewer completions than requests in flight")
	}
	interval(10, 110, 3)
	if !tp.known() || tp.baseLatency != (29*100+400+10*110)/40.0 {
		t.Errorf("T is %v", tp.baseLatency)
	}
	for range 29 {
		interval(30, 500, 0)
	}
	if tp.baseLatency != 110 {
		t.Errorf("T is %v after 29 intervals", tp.baseLatency)
	}
	if interval(30, 500, 0); tp.baseLatency != 500 {
		t.Errorf("T is %v after 30 intervals", tp.baseLatency)
	}
	tp = throughput{}
	for _, n := range []int{80, 50, 7, 6, 5} {
		interval(n, 100, 0)
	}
	if tp.bestRate() != 80 || !near(tp.completionsIn(5000), 3.5) {
		t.Errorf("best %v, %v in half a second", tp.bestRate(), tp.completionsIn(5000))
	}
	for range 4 {
		interval(5, 100, 0)
	}
	if tp.bestRate() != 50 || (&throughput{}).completionsIn(Second) != 0 {
		t.Errorf("best %v of the last 8 intervals", tp.bestRate())
	}
}

func TestIntervalStats(t *testing.T) {
	s := intervalStats{}
	for k := range 100 {
		s.addLatency(float64(99 - k))
	}
	s.countRejection(ReasonQuota)
	if got := s.tailLatency(); got != 95 || s.samples != 100 || s.latencySum != 4950 || s.rejected[ReasonQuota] != 1 {
		t.Errorf("tail %v of %+v", got, s)
	}
	if s.reset(Second); s.samples != 0 || s.startedAt != Second || s.tailLatency() != 0 {
		t.Errorf("%+v", s)
	}
}

func TestAppendRecent(t *testing.T) {
	var list []float64
	for k := range 5 {
		list = appendRecent(list, float64(k), 3)
	}
	if !slices.Equal(list, []float64{2, 3, 4}) {
		t.Errorf("%v", list)
	}
}
