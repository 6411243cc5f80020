package decision

import (
	"slices"
	"testing"
)

// A refill adds tokens by rate and time, up to the burst. A negative rate removes tokens. A level above the burst would admit
// too many requests at once after an idle time.
func TestTokenBucket(t *testing.T) {
	bucket := tokenBucket{level: 1, at: Second}
	for _, c := range []struct {
		now         Time
		rate, burst float64
		want        float64
	}{{Second, 5, 9, 1}, {Second + 5000, 5, 9, 3.5}, {9 * Second, 5, 9, 9}, {9 * Second, 5, 4, 4}, {10 * Second, -1, 4, 3}} {
		if bucket.refill(c.now, c.rate, c.burst); !nearlyEqual(bucket.level, c.want) || bucket.at != c.now {
			t.Errorf("refill(%d, %v, %v) led to %+v, want level %v at %d", c.now, c.rate, c.burst, bucket, c.want, c.now)
		}
	}
}

// Sum and count fall to 1/e in a time constant. An earlier time must not change them: the sums would grow instead of decay.
func TestDecayingMean(t *testing.T) {
	mean := decayingMean{}
	mean.add(4, Second, 2*Second)
	mean.add(2, Second, 2*Second)
	if mean.sum != 6 || mean.count != 2 {
		t.Errorf("after adding 4 and 2, mean = %+v, want sum 6 and count 2", mean)
	}
	mean.decayTo(3*Second, 2*Second)
	if !nearlyEqual(mean.sum, 6/2.718281828459045) || !nearlyEqual(mean.count, 2/2.718281828459045) {
		t.Errorf("one time constant after sum 6 and count 2, mean = %+v, want sum %v and count %v", mean, 6/2.718281828459045, 2/2.718281828459045)
	}
	if before := mean; true {
		if mean.decayTo(2*Second, 2*Second); mean != before {
			t.Errorf("decayTo() with an earlier time led to %+v, want %+v unchanged", mean, before)
		}
	}
}

// The base latency T is the lowest of the last 30 mean durations, each of 30 completions or more. The best rate is the
// highest of the last 8 intervals. If T rose with each queue, the latency in a queue would seem normal.
func TestThroughput(t *testing.T) {
	measured := throughput{}
	interval := func(attempts int, duration Time, requests int) {
		for range attempts {
			measured.recordCompletion(duration)
		}
		measured.closeInterval(float64(attempts), requests)
	}
	interval(29, 100, 0)
	if measured.known() {
		t.Error("base latency is known after 29 completions, want unknown before 30")
	}
	interval(1, 400, 31)
	if measured.known() {
		t.Error("base latency is known after 30 completions with 31 requests in flight, want unknown")
	}
	interval(10, 110, 3)
	if !measured.known() || measured.baseLatency != (29*100+400+10*110)/40.0 {
		t.Errorf("base latency after 40 completions = %v, known %v, want their mean %v", measured.baseLatency, measured.known(), (29*100+400+10*110)/40.0)
	}
	for range 29 {
		interval(30, 500, 0)
	}
	if measured.baseLatency != 110 {
		t.Errorf("base latency = %v after 29 longer intervals, want 110", measured.baseLatency)
	}
	if interval(30, 500, 0); measured.baseLatency != 500 {
		t.Errorf("base latency = %v after 30 longer intervals, want 500", measured.baseLatency)
	}
	measured = throughput{}
	for _, n := range []int{80, 50, 7, 6, 5} {
		interval(n, 100, 0)
	}
	if measured.bestRate() != 80 || !nearlyEqual(measured.completionsIn(5000), 3.5) {
		t.Errorf("bestRate() = %v, completionsIn(5000) = %v, want 80, 3.5", measured.bestRate(), measured.completionsIn(5000))
	}
	for range 4 {
		interval(5, 100, 0)
	}
	if measured.bestRate() != 50 || (&throughput{}).completionsIn(Second) != 0 {
		t.Errorf("bestRate() = %v, want 50; completionsIn(%d) of the zero value = %v, want 0",
			measured.bestRate(), Second, (&throughput{}).completionsIn(Second))
	}
}

// The tail latency is the 95th percentile of the samples, and reset clears all counts. Counts that remain after a reset would
// appear in the next interval's summary.
func TestIntervalStats(t *testing.T) {
	stats := intervalStats{}
	for k := range 100 {
		stats.addLatency(float64(99 - k))
	}
	stats.countRejection(ReasonQuota)
	if got := stats.tailLatency(); got != 95 || stats.samples != 100 || stats.latencySum != 4950 || stats.rejected[ReasonQuota] != 1 {
		t.Errorf("tail latency = %v, %d samples with sum %v, %d rejections by quota; want 95, 100 with sum 4950, 1",
			got, stats.samples, stats.latencySum, stats.rejected[ReasonQuota])
	}
	if stats.reset(Second); stats.samples != 0 || stats.startedAt != Second || stats.tailLatency() != 0 {
		t.Errorf("after reset, %d samples, startedAt %d, tail latency %v; want 0, %d, 0", stats.samples, stats.startedAt, stats.tailLatency(), Second)
	}
}

// appendRecent keeps the last values only. Otherwise the lists would grow with each interval.
func TestAppendRecent(t *testing.T) {
	var list []float64
	for k := range 5 {
		list = appendRecent(list, float64(k), 3)
	}
	if !slices.Equal(list, []float64{2, 3, 4}) {
		t.Errorf("after appendRecent() of 0 to 4 with a limit of 3 values, list = %v, want [2 3 4]", list)
	}
}
