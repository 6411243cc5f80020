package decision

import (
	"fmt"
	"slices"
)

// rejectReason is why a request was rejected on its first way through the limits.
type rejectReason uint8

// The reasons, in the order of the interval summary.
const (
	rejectTooLate       rejectReason = iota // too little time is left
	rejectColdStart                         // a fresh node's few are in flight
	rejectAdmissionRate                     // no token of the admission rate
	rejectConcurrency                       // as much is in flight as may be
	rejectQuota                             // the customer's bucket, or its owner
	rejectCeiling                           // the plan's hard ceiling
	rejectNoServer                          // no server may take it
	rejectReasons
	notRejected = rejectReasons
)

// intervalStats counts what happened since the last interval ended.
type intervalStats struct {
	startedAt  Time
	admitted   int
	completed  int
	ends       int
	latencySum float64   // over the ends, of time over objective
	latencies  []float64 // of the ends, time over objective
	rejected   [rejectReasons]int
	lastReason Reason // of the last rejection
}

// attemptEnded counts an end that tells of the servers' latency, as a part of the objective.
func (s *intervalStats) attemptEnded(part float64) {
	s.ends++
	s.latencySum += part
	s.latencies = append(s.latencies, part)
}

// intervalLoad is the load at the end of an interval.
type intervalLoad struct {
	requests int     // in flight
	healthy  float64 // attempts in flight at servers in good standing
	ready    int     // servers
}

// reject counts a rejection; it gives back what the way through the limits answers then.
func (s *intervalStats) reject(reason rejectReason, retryAfter Time) (ok bool, after Time) {
	s.rejected[reason]++
	s.lastReason = reason.reason()
	return false, retryAfter
}

// tail is the 95th percentile of the latencies.
func (s *intervalStats) tail() float64 {
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

// intervalSummary is what the host logs of an interval.
type intervalSummary struct {
	inFlight        int // requests
	inFlightAverage float64
	latency         float64 // normalised
	latencyAverage  float64
	admissionRate   float64 // λ, requests a second
	action          float64 // a
	admitted        float64 // requests a second
	completed       float64 // attempts a second
	tail            float64 // 95th percentile of latency over objective
	executionTime   Time    // T
	rejected        [rejectReasons]int
}

// appendText appends the summary's line. Its keys are those that the platform's pages give.
func (s *intervalSummary) appendText(b []byte) []byte {
	return fmt.Appendf(b, "interval inflight=%d avg=%.3f lat=%.3f avg=%.3f lambda=%.1f a=%.2f"+
		" admitted=%.1f completed=%.1f tail=%.3f scale=%d refused=%v", s.inFlight, s.inFlightAverage, s.latency,
		s.latencyAverage, s.admissionRate, s.action, s.admitted, s.completed, s.tail, int(s.executionTime), s.rejected)
}
