package decision

import "slices"

// throughput measures the completed rate of this node's attempts and their base latency T. T is the lowest recent
// mean duration, so that it leaves out waits in queues. The zero value is ready for use.
type throughput struct {
	baseLatency   float64   // T, in units of Time; 0 while unknown
	meanDurations []float64 // recent mean durations, in units of Time, at most baseLatencyIntervals
	rates         []float64 // completed attempts a second of recent intervals, at most bestRateIntervals
	durationSum   float64   // sum of the durations since the last entry of meanDurations, in units of Time
	durationCount int       // number of durations in durationSum
}

const (
	minBaseLatencySamples = 30 // completed attempts in a mean that counts for T
	baseLatencyIntervals  = 30 // recent means among which T is the lowest
	bestRateIntervals     = 8  // recent intervals among which the best completed rate is chosen
	completionsIntervals  = 3  // recent intervals among which completionsIn chooses the best rate
)

// recordCompletion adds the duration of a completed attempt.
func (t *throughput) recordCompletion(duration Time) {
	t.durationSum += float64(duration)
	t.durationCount++
}

// closeInterval adds an interval's completed rate, in attempts a second, and updates T. A mean takes several intervals
// if they have few completions. It needs as many samples as there are requests in flight: a fresh node's first
// completions are its shortest.
func (t *throughput) closeInterval(rate float64, requests int) {
	if t.durationCount >= minBaseLatencySamples && t.durationCount >= requests {
		t.meanDurations = appendRecent(t.meanDurations, t.durationSum/float64(t.durationCount), baseLatencyIntervals)
		t.durationSum, t.durationCount = 0, 0
	}
	t.rates = appendRecent(t.rates, rate, bestRateIntervals)
	if t.known() {
		t.baseLatency = slices.Min(t.meanDurations)
	}
}

// known reports whether enough attempts have completed for T.
func (t *throughput) known() bool { return len(t.meanDurations) > 0 }

// bestRate returns the best recent completed rate, in attempts a second. At least one interval must be closed.
func (t *throughput) bestRate() float64 { return slices.Max(t.rates) }

// completionsIn returns the number of attempts that complete within a span at the best rate of the last intervals.
// Attempts in flight, divided by that rate, are the wait of a request that is admitted now.
func (t *throughput) completionsIn(span Time) float64 {
	best := 0.0
	if k := len(t.rates); k > 0 {
		best = slices.Max(t.rates[max(0, k-completionsIntervals):])
	}
	return best * seconds(span)
}
