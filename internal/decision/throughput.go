package decision

import "slices"

// throughput measures what the back end completes for this node, and how long that takes at best. What counts for that,
// and for how long, stands with the admission limit.
type throughput struct {
	executionTime float64   // T, the lowest recent interval's mean duration, in Time
	times         []float64 // recent intervals' mean durations, in Time
	rates         []float64 // recent completed rates, a second
	timeSum       float64   // of the completed attempts since the last of times
	timeCount     int
}

// completed notes how long a completed attempt took.
func (t *throughput) completed(took Time) {
	t.timeSum += float64(took)
	t.timeCount++
}

// known tells whether enough was seen for T.
func (t *throughput) known() bool { return len(t.times) > 0 }

// bestRate is the best recent completed rate.
func (t *throughput) bestRate() float64 { return slices.Max(t.rates) }

// canFinish is how many attempts this node saw completed, of late, in a span. What is in flight over it is the wait
// that a request admitted now faces. The limit on it guards against a back end that fills within an interval: a burst,
// a slowdown, a crowd of repeats. It could harm after a lull: minInFlight lets it grow.
func (t *throughput) canFinish(span Time) float64 {
	best := 0.0
	if k := len(t.rates); k > 0 {
		best = slices.Max(t.rates[max(0, k-canFinishIntervals):])
	}
	return best * seconds(span)
}
