package scale

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
)

// sectionCounts counts the requests of the real nodes' clients in one section. Latencies count from a request's due time.
type sectionCounts struct {
	name      string
	startedAt time.Time
	endedAt   time.Time

	sent, completed, rejected, failed atomic.Int64
	otherStatus                       atomic.Int64 // responses with another status, or with a body that no app server writes
	lateResponses                     atomic.Int64 // responses later than the client's timeout and violationTolerance
	unanswered                        atomic.Int64 // requests without a response
	connectFailed                     atomic.Int64 // requests whose client could not connect to the node
	directFailed                      atomic.Int64 // direct requests that failed

	mu      sync.Mutex     // guards the fields below
	viaNode *hdr.Histogram // latency of requests through a node, µs
	direct  *hdr.Histogram // latency of requests repeated directly at the server, µs
}

// newSectionCounts returns the counts of a section that begins now.
func newSectionCounts(name string) *sectionCounts {
	return &sectionCounts{name: name, startedAt: time.Now(), viaNode: histogram.New(), direct: histogram.New()}
}

// recordResponse counts a node's response by its HTTP status. took is the time since the request was due; timeout is the
// client's timeout.
func (s *sectionCounts) recordResponse(status int, took, timeout time.Duration) {
	if took > timeout+violationTolerance {
		s.lateResponses.Add(1)
	}
	switch status {
	case http.StatusOK:
		s.completed.Add(1)
		s.mu.Lock()
		histogram.Record(s.viaNode, took)
		s.mu.Unlock()
	case http.StatusServiceUnavailable:
		s.rejected.Add(1)
	case http.StatusBadGateway:
		s.failed.Add(1)
	default:
		s.otherStatus.Add(1)
	}
}

// recordDirect records the latency of a direct request.
func (s *sectionCounts) recordDirect(took time.Duration) {
	s.mu.Lock()
	histogram.Record(s.direct, took)
	s.mu.Unlock()
}

// result returns the section's figures except those of the simulated nodes.
func (s *sectionCounts) result() Section {
	s.mu.Lock()
	defer s.mu.Unlock()
	section := Section{
		Name: s.name, DurationS: s.endedAt.Sub(s.startedAt).Seconds(), Sent: s.sent.Load(), Completed: s.completed.Load(),
		Rejected: s.rejected.Load(), Failed: s.failed.Load(), Unanswered: s.unanswered.Load(),
		P50: histogram.QuantileMs(s.viaNode, 50), P99: histogram.QuantileMs(s.viaNode, 99), Direct: s.direct.TotalCount(),
		DirectP50: histogram.QuantileMs(s.direct, 50), DirectP99: histogram.QuantileMs(s.direct, 99),
	}
	section.AddedP50, section.AddedP99 = section.P50-section.DirectP50, section.P99-section.DirectP99
	return section
}
