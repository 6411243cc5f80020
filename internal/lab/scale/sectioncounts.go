package scale

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// sectionCounts counts the clients' requests of one section.
type sectionCounts struct {
	name      string
	startedAt time.Time
	endedAt   time.Time

	sent, completed, rejected, failed atomic.Int64
	otherStatus                       atomic.Int64 // or an answer that is not an app server's
	lateAnswers                       atomic.Int64
	unanswered                        atomic.Int64
	connectFailed                     atomic.Int64
	directFailed                      atomic.Int64

	mu      sync.Mutex     // guards what follows; µs from when each request was due
	viaNode *hdr.Histogram // requests by way of a node
	direct  *hdr.Histogram // the same ones, sent directly to the server
}

func newSectionCounts(name string) *sectionCounts {
	return &sectionCounts{name: name, startedAt: time.Now(), viaNode: newHistogram(), direct: newHistogram()}
}

// recordAnswer counts an answer by way of a node.
func (s *sectionCounts) recordAnswer(status int, took, timeout time.Duration) {
	if took > timeout+countSlack {
		s.lateAnswers.Add(1)
	}
	switch status {
	case http.StatusOK:
		s.completed.Add(1)
		s.mu.Lock()
		recordMicros(s.viaNode, took)
		s.mu.Unlock()
	case http.StatusServiceUnavailable:
		s.rejected.Add(1)
	case http.StatusBadGateway:
		s.failed.Add(1)
	default:
		s.otherStatus.Add(1)
	}
}

func (s *sectionCounts) recordDirect(took time.Duration) {
	s.mu.Lock()
	recordMicros(s.direct, took)
	s.mu.Unlock()
}

// result gives the section's line of the result.
func (s *sectionCounts) result() Section {
	s.mu.Lock()
	defer s.mu.Unlock()
	section := Section{
		Name: s.name, DurationS: s.endedAt.Sub(s.startedAt).Seconds(), Sent: s.sent.Load(), Completed: s.completed.Load(),
		Rejected: s.rejected.Load(), Failed: s.failed.Load(), Unanswered: s.unanswered.Load(),
		P50: quantileMs(s.viaNode, 50), P99: quantileMs(s.viaNode, 99), Direct: s.direct.TotalCount(),
		DirectP50: quantileMs(s.direct, 50), DirectP99: quantileMs(s.direct, 99),
	}
	section.AddedP50, section.AddedP99 = section.P50-section.DirectP50, section.P99-section.DirectP99
	return section
}
