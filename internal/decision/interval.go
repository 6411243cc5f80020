package decision

import (
	"fmt"
	"slices"
)

// intervalStats counts events since the last interval ended.
type intervalStats struct {
	startedAt  Time
	admitted   int              // number of requests admitted
	completed  int              // number of attempts that succeeded
	samples    int              // number of latency samples
	latencySum float64          // sum of the latency samples
	latencies  []float64        // latency samples, in latency objectives of their class
	rejected   [reasonCount]int // number of first attempts that a limit rejected and of attempts without a server, by reason
}

// addLatency adds a latency sample, in latency objectives of its class.
func (s *intervalStats) addLatency(objectives float64) {
	s.samples++
	s.latencySum += objectives
	s.latencies = append(s.latencies, objectives)
}

// countRejection counts a rejected request.
func (s *intervalStats) countRejection(reason Reason) { s.rejected[reason]++ }

// tailLatency returns the 95th percentile of the latency samples, or 0 without any. It sorts latencies.
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
	requestsInFlight  int     // number of requests in flight
	inFlightAtHealthy float64 // attempts in flight that count, see Engine.inFlightAtHealthy
	readyServers      int     // number of servers listed as ready
}

// intervalSummary holds the figures of one interval, which the host logs.
type intervalSummary struct {
	inFlight           int              // number of requests in flight
	concurrencyAverage float64          // moving average of the concurrency, see loadFeatures
	latency            float64          // normalized latency, see loadFeatures
	latencyAverage     float64          // moving average of the normalized latency
	admissionRate      float64          // admission rate λ, in requests a second
	targetConcurrency  float64          // target concurrency a, in requests
	admitted           float64          // rate of admitted requests, in requests a second
	completed          float64          // rate of completed attempts, in attempts a second
	tailLatency        float64          // 95th percentile of the latency, in latency objectives
	baseLatency        Time             // base latency T
	rejected           [reasonCount]int // number of rejections, by reason, see intervalStats
}

// appendText appends the summary to b as one line of text. The platform defines the keys.
func (s *intervalSummary) appendText(b []byte) []byte {
	return fmt.Appendf(b, "interval inflight=%d avg=%.3f lat=%.3f avg=%.3f lambda=%.1f a=%.2f"+
		" admitted=%.1f completed=%.1f tail=%.3f scale=%d refused=%v", s.inFlight, s.concurrencyAverage, s.latency,
		s.latencyAverage, s.admissionRate, s.targetConcurrency, s.admitted, s.completed, s.tailLatency, int(s.baseLatency),
		s.rejected[firstSummaryReason:lastSummaryReason+1])
}
