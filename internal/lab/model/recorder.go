package model

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// requestOutcome is the outcome of a request at its client.
type requestOutcome uint8

const (
	outcomeCompleted requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeTimedOut // the client stopped waiting
	outcomeCount
)

// outcomeKeys are the keys of the outcomes in series and totals. They stay as they are, because reports of all versions share
// them.
var outcomeKeys = [outcomeCount]string{
	outcomeCompleted: "completed", outcomeRejected: "bounced", outcomeFailed: "broken", outcomeTimedOut: "gave_up",
}

// Second is a line of a run's series (JSON lines). `lab report` reads it. Its keys stay as they are.
type Second struct {
	T         int              `json:"t"`          // virtual seconds since the start
	Arrived   int64            `json:"arrived"`    // requests that arrived, including clients' retries
	Outcomes  map[string]int64 `json:"outcomes"`   // requests that ended, by outcome
	P50Ms     float64          `json:"p50_ms"`     // quantile of the latency of completed requests, in ms
	P95Ms     float64          `json:"p95_ms"`     // likewise
	P99Ms     float64          `json:"p99_ms"`     // likewise
	LoadMean  float64          `json:"load_mean"`  // work of the servers over their concurrency, at the end of the second
	LoadMax   float64          `json:"load_max"`   // work over concurrency of the busiest server
	Open      int64            `json:"open"`       // requests that have not ended
	Twice     int64            `json:"twice"`      // unsafe requests executed more than once since the start
	ServersUp int              `json:"servers_up"` // at the end of the second
}

// Totals is the summary of a run. Its keys stay as they are.
type Totals struct {
	Policy            string           `json:"policy"`
	Nodes             int              `json:"nodes"`
	Servers           int              `json:"servers"`
	Seconds           float64          `json:"virtual_s"`
	Requests          int64            `json:"tickets"` // including clients' retries
	Outcomes          map[string]int64 `json:"outcomes"`
	Goodput           float64          `json:"goodput"` // share of completed requests
	P50Ms             float64          `json:"p50_ms"`
	P99Ms             float64          `json:"p99_ms"`
	Twice             int64            `json:"twice"`           // unsafe requests executed more than once; must be 0
	Unanswered        int64            `json:"unanswered"`      // requests that have not ended; must be 0
	LateToDrained     int64            `json:"late_to_drained"` // attempts sent more than drainCutoff after a notification; must be 0
	Events            int64            `json:"events"`
	RealSeconds       float64          `json:"real_s"`
	VirtualPerSecond  float64          `json:"virtual_s_per_real_s"`
	RequestsPerSecond float64          `json:"tickets_per_real_s"`
}

// Recorder counts the events of a run and writes its series. It is not safe for concurrent use.
type Recorder struct {
	// Series receives the JSON lines; nil for none.
	Series io.Writer

	policy  Policy
	nodes   int
	servers int
	began   time.Time     // real time of NewRecorder
	last    time.Duration // virtual time of the last sample
	seconds int           // number of lines so far

	open          int64 // requests that have not ended
	total         int64 // requests
	executedTwice int64 // unsafe requests executed more than once
	lateToDrained int64 // attempts sent more than drainCutoff after a notification
	outcomes      [outcomeCount]int64
	latencies     *hdr.Histogram // of completed requests, in µs

	// Counts of the current second.
	secondArrived   int64
	secondOutcomes  [outcomeCount]int64
	secondLatencies *hdr.Histogram // of completed requests, in µs

	err error // first error of writing the series
}

const (
	// maxLatencyMicros is the largest value of the histograms: 10 minutes, in microseconds.
	maxLatencyMicros = 10 * 60 * 1e6
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 3
)

// NewRecorder returns a Recorder that writes its series to w, or none if w is nil.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{
		Series: w, began: time.Now(),
		latencies:       hdr.New(1, maxLatencyMicros, significantDigits),
		secondLatencies: hdr.New(1, maxLatencyMicros, significantDigits),
	}
}

// Err returns the first error of writing the series. After an error no further line is written.
func (r *Recorder) Err() error { return r.err }

// begin records the configuration.
func (r *Recorder) begin(cfg *Config) {
	r.policy, r.nodes, r.servers = cfg.Policy, cfg.Nodes, cfg.Server.Servers
}

// arrived counts the arrival of a request.
func (r *Recorder) arrived() {
	r.open++
	r.total++
	r.secondArrived++
}

// begun counts the begin of an execution. The caller has incremented req.begun.
func (r *Recorder) begun(req *request) {
	if req.begun == 2 && !req.retrySafe {
		r.executedTwice++
	}
}

// ended counts the end of a request.
func (r *Recorder) ended(req *request, outcome requestOutcome, now time.Duration) {
	r.open--
	r.outcomes[outcome]++
	r.secondOutcomes[outcome]++
	if outcome == outcomeCompleted {
		micros := min(max((now-req.arrivedAt).Microseconds(), 1), maxLatencyMicros)
		_ = r.latencies.RecordValue(micros) // cannot fail: micros is clamped
		_ = r.secondLatencies.RecordValue(micros)
	}
}

// fleetSample is the state of the servers at the end of a second.
type fleetSample struct {
	loadMean  float64 // work over concurrency, mean of all servers
	loadMax   float64 // work over concurrency, of the busiest server
	serversUp int
}

// endSecond writes the line of the second that ends at now, and begins the next one.
func (r *Recorder) endSecond(now time.Duration, servers fleetSample) {
	line := Second{
		T: r.seconds, Arrived: r.secondArrived, Outcomes: byKey(r.secondOutcomes),
		P50Ms: quantileMs(r.secondLatencies, 50), P95Ms: quantileMs(r.secondLatencies, 95), P99Ms: quantileMs(r.secondLatencies, 99),
		LoadMean: servers.loadMean, LoadMax: servers.loadMax,
		Open: r.open, Twice: r.executedTwice, ServersUp: servers.serversUp,
	}
	r.last = now
	r.seconds++
	r.secondOutcomes, r.secondArrived = [outcomeCount]int64{}, 0
	r.secondLatencies.Reset()
	if r.Series == nil || r.err != nil {
		return
	}
	text, err := json.Marshal(line)
	if err == nil {
		_, err = r.Series.Write(append(text, '\n'))
	}
	if err != nil {
		r.err = fmt.Errorf("model: series: %w", err)
	}
}

// Totals returns the summary of the run. events is the number of events processed.
func (r *Recorder) Totals(events int64) Totals {
	realSeconds := time.Since(r.began).Seconds()
	t := Totals{
		Policy: string(r.policy), Nodes: r.nodes, Servers: r.servers, Seconds: r.last.Seconds(),
		Requests: r.total, Outcomes: byKey(r.outcomes),
		P50Ms: quantileMs(r.latencies, 50), P99Ms: quantileMs(r.latencies, 99),
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

// byKey returns counts by the outcomes' keys.
func byKey(counts [outcomeCount]int64) map[string]int64 {
	keyed := map[string]int64{}
	for i, n := range counts {
		keyed[outcomeKeys[i]] = n
	}
	return keyed
}

// quantileMs returns a percentile of latencies in milliseconds, or 0 for an empty histogram.
func quantileMs(latencies *hdr.Histogram, percentile float64) float64 {
	if latencies.TotalCount() == 0 {
		return 0
	}
	return float64(latencies.ValueAtQuantile(percentile)) / 1e3
}
