package scale

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
)

const inFlightCheckInterval = 10 * time.Millisecond // interval at which report checks for requests in flight

// requestCounts counts the simulated nodes' requests.
type requestCounts struct {
	inFlight   atomic.Int64 // number of requests in flight
	duplicates atomic.Int64 // unsafe requests that servers executed more than once
	lateSends  atomic.Int64 // attempts later than drainGrace and violationTolerance after a drain's notice

	countMu      sync.Mutex         // guards the fields below
	section      nodesSectionCounts // counts of the section in progress
	total        nodesSectionCounts // sum of the counts of all ended sections
	latency      *hdr.Histogram     // latency in the section in progress, µs
	totalLatency *hdr.Histogram     // latency over the run, µs
	sendLag      *hdr.Histogram     // delay of requests behind their due time, µs
	timerLag     *hdr.Histogram     // delay of engines' timers behind their due time, µs
}

// newRequestCounts returns counts without requests.
func newRequestCounts() requestCounts {
	return requestCounts{
		latency: histogram.New(), totalLatency: histogram.New(), sendLag: histogram.New(), timerLag: histogram.New(),
	}
}

// recordSent counts a request that was due at a time and is sent now. If maxInFlight requests are in flight, it counts the
// request as skipped and returns false.
func (c *requestCounts) recordSent(due time.Time) bool {
	c.countMu.Lock()
	defer c.countMu.Unlock()
	if c.inFlight.Load() >= maxInFlight {
		c.section.Skipped++
		return false
	}
	c.section.Sent++
	histogram.Record(c.sendLag, time.Since(due))
	c.inFlight.Add(1)
	return true
}

// recordResponse counts a response by its HTTP status and its time since the request was due. begun is the number of the
// request's attempts that a server began to execute.
func (c *requestCounts) recordResponse(status int, took time.Duration, class *requestClass, begun int) {
	c.inFlight.Add(-1)
	if begun > 1 && !class.idempotent {
		c.duplicates.Add(1)
	}
	c.countMu.Lock()
	defer c.countMu.Unlock()
	if took > class.timeout+violationTolerance {
		c.section.LateResponses++
	}
	switch status {
	case http.StatusOK:
		c.section.Completed++
		histogram.Record(c.latency, took)
		histogram.Record(c.totalLatency, took)
	case http.StatusServiceUnavailable:
		c.section.Rejected++
	default:
		c.section.Failed++
	}
}

// recordTimerLag records the delay of a timer that was due at a time and fires now.
func (c *requestCounts) recordTimerLag(due time.Time) {
	late := time.Since(due)
	c.countMu.Lock()
	histogram.Record(c.timerLag, late)
	c.countMu.Unlock()
}

// endSection returns the counts of the section in progress and begins a new section.
func (c *requestCounts) endSection() nodesSectionCounts {
	c.countMu.Lock()
	defer c.countMu.Unlock()
	section := c.section
	section.P50, section.P99 = histogram.QuantileMs(c.latency, 50), histogram.QuantileMs(c.latency, 99)
	c.total.add(section)
	c.section = nodesSectionCounts{}
	c.latency.Reset()
	return section
}

// report stops new requests, waits for the last responses for up to lastResponseTimeout, and returns all counts.
func (f *nodeFleet) report() *nodesReport {
	f.sending.Store(false)
	for end := time.Now().Add(lastResponseTimeout()); f.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(inFlightCheckInterval)
	}
	f.endSection()
	r := &nodesReport{
		Unanswered: f.inFlight.Load(), Duplicates: f.duplicates.Load(), LateSends: f.lateSends.Load(),
		BroadcastsLost: f.broadcastsLost.Load(), DurationS: time.Since(f.startedAt).Seconds(),
		AttemptsBegun: make([]int64, len(f.attemptsBegun)), Peers: f.messageCounts(),
	}
	for i := range f.attemptsBegun {
		r.AttemptsBegun[i] = f.attemptsBegun[i].Load()
	}
	f.countMu.Lock()
	r.nodesSectionCounts = f.total
	r.P50, r.P99 = histogram.QuantileMs(f.totalLatency, 50), histogram.QuantileMs(f.totalLatency, 99)
	r.LagP99, r.TimerLagP99 = histogram.QuantileMs(f.sendLag, 99), histogram.QuantileMs(f.timerLag, 99)
	f.countMu.Unlock()
	f.listMu.Lock()
	r.Lists = f.applied
	f.listMu.Unlock()
	return r
}
