package model

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
)

// requestOutcome is the kind of a request's end for its client.
type requestOutcome uint8

const (
	outcomeCompleted requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeTimedOut // the client's timeout passed
	outcomeCount    // number of outcomes
)

// outcomeKeys are the keys of the outcomes in series and totals, a stable format.
var outcomeKeys = [outcomeCount]string{"completed", "bounced", "broken", "gave_up"}

// Second is one line of a run's series (JSON lines). The keys are a stable format, which `lab report` reads.
type Second struct {
	T         int              `json:"t"`          // virtual seconds since the start
	Arrived   int64            `json:"arrived"`    // requests, with client retries
	Outcomes  map[string]int64 `json:"outcomes"`   // requests that ended in the second, by outcome
	P50Ms     float64          `json:"p50_ms"`     // latency of completed requests since their arrival
	P95Ms     float64          `json:"p95_ms"`     // likewise
	P99Ms     float64          `json:"p99_ms"`     // likewise
	LoadMean  float64          `json:"load_mean"`  // attempts at a server over its concurrency, mean, at the second's end
	LoadMax   float64          `json:"load_max"`   // attempts at the busiest server over its concurrency
	Open      int64            `json:"open"`       // requests in flight at the second's end
	Twice     int64            `json:"twice"`      // unsafe requests that were executed more than once, so far
	ServersUp int              `json:"servers_up"` // at the second's end
}

// Totals is the summary of a run. The keys are a stable format.
type Totals struct {
	Policy            string           `json:"policy"`
	Nodes             int              `json:"nodes"`
	Servers           int              `json:"servers"`
	Seconds           float64          `json:"virtual_s"`
	Requests          int64            `json:"tickets"` // with client retries
	Outcomes          map[string]int64 `json:"outcomes"`
	Goodput           float64          `json:"goodput"` // completed over all requests
	P50Ms             float64          `json:"p50_ms"`
	P99Ms             float64          `json:"p99_ms"`
	Twice             int64            `json:"twice"`           // unsafe requests that were executed more than once: must be 0
	Unanswered        int64            `json:"unanswered"`      // requests in flight at the end: must be 0
	LateToDrained     int64            `json:"late_to_drained"` // attempts over 500 ms after the notice of a drain: must be 0
	Events            int64            `json:"events"`
	RealSeconds       float64          `json:"real_s"`
	VirtualPerSecond  float64          `json:"virtual_s_per_real_s"`
	RequestsPerSecond float64          `json:"tickets_per_real_s"` // of real time
}

// Recorder keeps the counts of a run and writes its series. It is used for one run, by one goroutine.
type Recorder struct {
	series io.Writer // gets the JSON lines; nil for none

	policy         Policy
	nodes, servers int
	startedAt      time.Time     // in real time
	last           time.Duration // virtual time of the last sample
	seconds        int           // lines of the series so far

	open          int64 // requests in flight
	total         int64 // requests
	executedTwice int64 // unsafe requests that were executed more than once
	lateToDrained int64 // attempts over drainCutoff after the notice of a drain
	outcomes      [outcomeCount]int64
	latencies     *hdr.Histogram // µs

	// Counts of the second in progress.
	secondArrived   int64
	secondOutcomes  [outcomeCount]int64
	secondLatencies *hdr.Histogram // µs

	err error // first error of writing the series
}

// NewRecorder returns a recorder that writes the series to w (nil for none).
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{
		series: w, startedAt: time.Now(),
		latencies: histogram.New(), secondLatencies: histogram.New(),
	}
}

// Err returns the first error of writing the series. No line is written after it.
func (r *Recorder) Err() error { return r.err }

// begin records the run's configuration.
func (r *Recorder) begin(cfg *Config) {
	r.policy, r.nodes, r.servers = cfg.Policy, cfg.Nodes, cfg.Server.Servers
}

// recordArrival counts a request's arrival.
func (r *Recorder) recordArrival() {
	r.open++
	r.total++
	r.secondArrived++
}

// recordBegun is called when an execution begins. It counts an unsafe request at its second execution.
func (r *Recorder) recordBegun(req *request) {
	if req.begun == 2 && !req.retrySafe {
		r.executedTwice++
	}
}

// recordEnd counts the end of a request.
func (r *Recorder) recordEnd(req *request, outcome requestOutcome, now time.Duration) {
	r.open--
	r.outcomes[outcome]++
	r.secondOutcomes[outcome]++
	if outcome == outcomeCompleted {
		histogram.Record(r.latencies, now-req.arrivedAt)
		histogram.Record(r.secondLatencies, now-req.arrivedAt)
	}
}

// fleetSample is the state of the servers at the end of a second.
type fleetSample struct {
	loadMean, loadMax float64 // attempts at a server over its concurrency
	serversUp         int
}

// endSecond writes the line of the second that ends at now, and begins the next one.
func (r *Recorder) endSecond(now time.Duration, servers fleetSample) {
	line := Second{
		T: r.seconds, Arrived: r.secondArrived, Outcomes: byKey(r.secondOutcomes),
		P50Ms: histogram.QuantileMs(r.secondLatencies, 50), P95Ms: histogram.QuantileMs(r.secondLatencies, 95), P99Ms: histogram.QuantileMs(r.secondLatencies, 99),
		LoadMean: servers.loadMean, LoadMax: servers.loadMax,
		Open: r.open, Twice: r.executedTwice, ServersUp: servers.serversUp,
	}
	r.last = now
	r.seconds++
	r.secondOutcomes, r.secondArrived = [outcomeCount]int64{}, 0
	r.secondLatencies.Reset()
	if r.series == nil || r.err != nil {
		return
	}
	text, err := json.Marshal(line)
	if err == nil {
		_, err = r.series.Write(append(text, '\n'))
	}
	if err != nil {
		r.err = fmt.Errorf("model: series: %w", err)
	}
}

// Totals returns the summary of a run with the given number of events.
func (r *Recorder) Totals(events int64) Totals {
	realSeconds := time.Since(r.startedAt).Seconds()
	t := Totals{
		Policy: string(r.policy), Nodes: r.nodes, Servers: r.servers, Seconds: r.last.Seconds(),
		Requests: r.total, Outcomes: byKey(r.outcomes),
		P50Ms: histogram.QuantileMs(r.latencies, 50), P99Ms: histogram.QuantileMs(r.latencies, 99),
		Twice: r.executedTwice, Unanswered: r.open, LateToDrained: r.lateToDrained,
		Events: events, RealSeconds: realSeconds,
	}
	if r.total > 0 {
		t.Goodput = float64(r.outcomes[outcomeCompleted]) / float64(r.total)
	}
	if realSeconds > 0 {
		t.VirtualPerSecond, t.RequestsPerSecond = t.Seconds/realSeconds, float64(r.total)/realSeconds
	}
	return t
}

// byKey returns the counts by the outcomes' keys.
func byKey(counts [outcomeCount]int64) map[string]int64 {
	keyed := map[string]int64{}
	for i, n := range counts {
		keyed[outcomeKeys[i]] = n
	}
	return keyed
}
