package model

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
)

// requestOutcome is the outcome of a request at its client.
type requestOutcome uint8

const (
	outcomeCompleted requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeTimedOut // the client's timeout passed
	outcomeCount    // number of outcomes
)

// outcomeKeys are the JSON keys of the outcomes in series and totals. The keys are a stable format.
var outcomeKeys = [outcomeCount]string{"completed", "bounced", "broken", "gave_up"}

// SeriesLine is a line of a run's series (JSON lines): the values of a second of virtual time. The keys are a stable format,
// which `lab report` reads.
type SeriesLine struct {
	Second        int              `json:"t"`          // number of the second, from 0
	Arrived       int64            `json:"arrived"`    // requests that arrived in the second, including client retries
	Outcomes      map[string]int64 `json:"outcomes"`   // number of requests that ended in the second, by outcome
	P50Ms         float64          `json:"p50_ms"`     // median latency of completed requests from their arrival, ms
	P95Ms         float64          `json:"p95_ms"`     // 95th percentile of that latency, ms
	P99Ms         float64          `json:"p99_ms"`     // 99th percentile of that latency, ms
	LoadMean      float64          `json:"load_mean"`  // attempts divided by concurrency, mean of all servers, at the end of the second
	LoadMax       float64          `json:"load_max"`   // attempts divided by concurrency, of the busiest server, at the end of the second
	InFlight      int64            `json:"open"`       // requests in flight at the end of the second
	ExecutedTwice int64            `json:"twice"`      // unsafe requests that were executed more than once, since the start of the run
	ServersUp     int              `json:"servers_up"` // number of running servers at the end of the second
}

// Totals is the summary of a run. The keys are a stable format.
type Totals struct {
	Policy             string           `json:"policy"`
	Nodes              int              `json:"nodes"`
	Servers            int              `json:"servers"`
	VirtualSeconds     float64          `json:"virtual_s"`
	Requests           int64            `json:"tickets"` // number of requests, including client retries
	Outcomes           map[string]int64 `json:"outcomes"`
	Goodput            float64          `json:"goodput"` // completed requests divided by all requests
	P50Ms              float64          `json:"p50_ms"`
	P99Ms              float64          `json:"p99_ms"`
	ExecutedTwice      int64            `json:"twice"`           // number of unsafe requests that were executed more than once: must be 0
	Unanswered         int64            `json:"unanswered"`      // requests in flight at the end of the run: must be 0
	AttemptsAfterDrain int64            `json:"late_to_drained"` // number of attempts sent over 500 ms after the notice of a drain: must be 0
	Events             int64            `json:"events"`          // number of events executed
	RealSeconds        float64          `json:"real_s"`          // duration of the run in real time, s
	VirtualPerSecond   float64          `json:"virtual_s_per_real_s"`
	RequestsPerSecond  float64          `json:"tickets_per_real_s"` // requests per second of real time
}

// Recorder keeps the counts of a run and writes its series. It is used for one run, by one goroutine.
type Recorder struct {
	series io.Writer // receives the JSON lines; nil for none

	policy         Policy
	nodes, servers int
	startedAt      time.Time     // real time of the start
	lastSampleAt   time.Duration // virtual time of the last sample
	lineCount      int           // number of lines of the series so far

	inFlight           int64 // number of requests in flight
	requests           int64 // number of requests since the start
	executedTwice      int64 // number of unsafe requests that were executed more than once
	attemptsAfterDrain int64 // number of attempts sent over drainCutoff after the notice of a drain
	outcomes           [outcomeCount]int64
	latencies          *hdr.Histogram // latencies of completed requests, µs

	// Counts of the second in progress.
	secondArrived   int64
	secondOutcomes  [outcomeCount]int64
	secondLatencies *hdr.Histogram // latencies of completed requests, µs

	err error // first error of writing the series
}

// NewRecorder returns a recorder that writes the series to w. If w is nil, it writes no series.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{
		series: w, startedAt: time.Now(),
		latencies: histogram.New(), secondLatencies: histogram.New(),
	}
}

// Err returns the first error of writing the series. No line is written after it.
func (r *Recorder) Err() error { return r.err }

// setConfig records the policy and the sizes of the run for its totals.
func (r *Recorder) setConfig(cfg *Config) {
	r.policy, r.nodes, r.servers = cfg.Policy, cfg.Nodes, cfg.Server.Servers
}

// recordArrival counts a request's arrival.
func (r *Recorder) recordArrival() {
	r.inFlight++
	r.requests++
	r.secondArrived++
}

// recordExecution records that an execution of a request begins. It counts an unsafe request at its second execution.
func (r *Recorder) recordExecution(req *request) {
	if req.executions == 2 && !req.retrySafe {
		r.executedTwice++
	}
}

// recordEnd counts the end of a request, and records the latency of a completed one.
func (r *Recorder) recordEnd(req *request, outcome requestOutcome, now time.Duration) {
	r.inFlight--
	r.outcomes[outcome]++
	r.secondOutcomes[outcome]++
	if outcome == outcomeCompleted {
		histogram.Record(r.latencies, now-req.arrivedAt)
		histogram.Record(r.secondLatencies, now-req.arrivedAt)
	}
}

// fleetSample is the state of the servers at the end of a second.
type fleetSample struct {
	loadMean, loadMax float64 // attempts at a server divided by its concurrency
	serversUp         int     // number of running servers
}

// endSecond writes the line of the second that ends at now, and begins the next one.
func (r *Recorder) endSecond(now time.Duration, servers fleetSample) {
	line := SeriesLine{
		Second: r.lineCount, Arrived: r.secondArrived, Outcomes: countsByKey(r.secondOutcomes),
		P50Ms: histogram.QuantileMs(r.secondLatencies, 50), P95Ms: histogram.QuantileMs(r.secondLatencies, 95), P99Ms: histogram.QuantileMs(r.secondLatencies, 99),
		LoadMean: servers.loadMean, LoadMax: servers.loadMax,
		InFlight: r.inFlight, ExecutedTwice: r.executedTwice, ServersUp: servers.serversUp,
	}
	r.lastSampleAt = now
	r.lineCount++
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
		r.err = fmt.Errorf("model: write the series: %w", err)
	}
}

// Totals returns the summary of a run in which the given number of events was executed.
func (r *Recorder) Totals(events int64) Totals {
	realSeconds := time.Since(r.startedAt).Seconds()
	t := Totals{
		Policy: string(r.policy), Nodes: r.nodes, Servers: r.servers, VirtualSeconds: r.lastSampleAt.Seconds(),
		Requests: r.requests, Outcomes: countsByKey(r.outcomes),
		P50Ms: histogram.QuantileMs(r.latencies, 50), P99Ms: histogram.QuantileMs(r.latencies, 99),
		ExecutedTwice: r.executedTwice, Unanswered: r.inFlight, AttemptsAfterDrain: r.attemptsAfterDrain,
		Events: events, RealSeconds: realSeconds,
	}
	if r.requests > 0 {
		t.Goodput = float64(r.outcomes[outcomeCompleted]) / float64(r.requests)
	}
	if realSeconds > 0 {
		t.VirtualPerSecond, t.RequestsPerSecond = t.VirtualSeconds/realSeconds, float64(r.requests)/realSeconds
	}
	return t
}

// countsByKey returns the counts as a map, by the keys of the outcomes.
func countsByKey(counts [outcomeCount]int64) map[string]int64 {
	keyed := map[string]int64{}
	for i, n := range counts {
		keyed[outcomeKeys[i]] = n
	}
	return keyed
}
