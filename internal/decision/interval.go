package decision

import (
	"fmt"
	"slices"
)

// intervalStats counts events since the last interval ended.
type intervalStats struct {
	startedAt  Time
	admitted   int              // requests
	completed  int              // attempts
	samples    int              // latency samples
	latencySum float64          // sum of the latency samples
	latencies  []float64        // latency samples, in latency objectives of their class
	rejected   [reasonCount]int // requests whose first attempt a limit rejected, by reason
}

// addLatency adds a latency sample, in latency objectives of its class.
func (s *intervalStats) addLatency(objectives float64) {
	s.samples++
	s.latencySum += objectives
	s.latencies = append(s.latencies, objectives)
}

// countRejection counts a rejected request.
func (s *intervalStats) countRejection(reason Reason) { s.rejected[reason]++ }

// tailLatency returns the 95th percentile of the latency samples, or 0 without any. It sorts them.
func (s *intervalStats) tailLatency() float64 {
	slices.Sort(s.latencies)
	if k := len(s.latencies); k > 0 {
		return s.latencies[k*95/100]
	}
	return 0
}

// reset begins a new interval.
func (s *intervalStats) reset(now Time) {
	*s = intervalStats{startedAt: now, latencies: s.latencies[:0]}
}

// intervalLoad is the load at the end of an interval.
type intervalLoad struct {
	requests int     // requests in flight
	healthy  float64 // attempts in flight, see Engine.inFlightAtHealthy
	ready    int     // servers listed as ready
}

// intervalSummary holds the figures of an interval that the host logs.
type intervalSummary struct {
	inFlight           int // requests
	concurrencyAverage float64
	latency            float64          // normalized
	latencyAverage     float64          // normalized
	admissionRate      float64          // λ, in requests a second
	targetConcurrency  float64          // a, in requests
	admitted           float64          // requests a second
	completed          float64          // attempts a second
	tail               float64          // 95th percentile of the latency, in latency objectives
	baseLatency        Time             // T
	rejected           [reasonCount]int // requests, by reason
}

// appendText appends the summary as one line of text. The platform defines its keys.
func (s *intervalSummary) appendText(b []byte) []byte {
	return fmt.Appendf(b, "interval inflight=%d avg=%.3f lat=%.3f avg=%.3f lambda=%.1f a=%.2f"+
		" admitted=%.1f completed=%.1f tail=%.3f scale=%d refused=%v", s.inFlight, s.concurrencyAverage, s.latency,
		s.latencyAverage, s.admissionRate, s.targetConcurrency, s.admitted, s.completed, s.tail, int(s.baseLatency),
		s.rejected[firstSummaryReason:lastSummaryReason+1])
}
