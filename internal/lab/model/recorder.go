package model

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// requestOutcome is how a request ended for its client.
type requestOutcome uint8

const (
	outcomeCompleted requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeGaveUp // the client stopped waiting
	outcomeCount
)

// outcomeKeys are the outcomes' keys in series and totals. Earlier runs have the same ones, so they stay.
var outcomeKeys = [outcomeCount]string{"completed", "bounced", "broken", "gave_up"}

// Second is one line of a run's series (JSON lines), for `lab report`. The keys are those of earlier runs.
type Second struct {
	T         int              `json:"t"`          // virtual seconds since the start
	Arrived   int64            `json:"arrived"`    // requests that came, retries among them
	Outcomes  map[string]int64 `json:"outcomes"`   // final answers of that second, by outcome
	P50Ms     float64          `json:"p50_ms"`     // latency of completed requests, from arrival
	P95Ms     float64          `json:"p95_ms"`     // likewise
	P99Ms     float64          `json:"p99_ms"`     // likewise
	LoadMean  float64          `json:"load_mean"`  // servers' work in hand over their concurrency, at the second's end
	LoadMax   float64          `json:"load_max"`   // that of the busiest server
	Open      int64            `json:"open"`       // requests without a final answer yet
	Twice     int64            `json:"twice"`      // unsafe requests that began to run more than once, so far
	ServersUp int              `json:"servers_up"` // at the second's end
}

// Totals is a whole run's summary. The keys are those of earlier runs.
type Totals struct {
	Policy            string           `json:"policy"`
	Nodes             int              `json:"nodes"`
	Servers           int              `json:"servers"`
	Seconds           float64          `json:"virtual_s"`
	Requests          int64            `json:"tickets"` // retries by clients among them
	Outcomes          map[string]int64 `json:"outcomes"`
	Goodput           float64          `json:"goodput"` // completed over all requests
	P50Ms             float64          `json:"p50_ms"`
	P99Ms             float64          `json:"p99_ms"`
	Twice             int64            `json:"twice"`           // unsafe requests run more than once: must be 0
	Unanswered        int64            `json:"unanswered"`      // requests still open at the end: must be 0
	LateToDrained     int64            `json:"late_to_drained"` // attempts sent over 500 ms after the notice of a drain: must be 0
	Events            int64            `json:"events"`
	RealSeconds       float64          `json:"real_s"`
	VirtualPerSecond  float64          `json:"virtual_s_per_real_s"`
	RequestsPerSecond float64          `json:"tickets_per_real_s"` // of real time
}

// Recorder keeps a run's counts and writes its series. It is for one run and one goroutine.
type Recorder struct {
	// Series gets the JSON lines; nil for none.
	Series io.Writer

	policy         Policy
	nodes, servers int
	began          time.Time     // real
	last           time.Duration // virtual time of the last sample
	seconds        int           // of the series, so far

	open, total   int64 // requests
	ranTwice      int64 // unsafe requests that began to run more than once
	lateToDrained int64 // attempts
	outcomes      [outcomeCount]int64
	latencies     *hdr.Histogram // µs

	// Of the second under way.
	secondArrived   int64
	secondOutcomes  [outcomeCount]int64
	secondLatencies *hdr.Histogram // µs

	err error // the first that writing the series met
}

// maxLatencyMicros is the longest latency that is told from longer ones.
const maxLatencyMicros = 10 * 60 * 1e6

// NewRecorder makes a recorder that writes its series to w (nil for none).
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{
		Series: w, began: time.Now(),
		latencies: hdr.New(1, maxLatencyMicros, 3), secondLatencies: hdr.New(1, maxLatencyMicros, 3),
	}
}

// Err returns the first error that writing the series met.
func (r *Recorder) Err() error { return r.err }

// begin notes what is run.
func (r *Recorder) begin(cfg *Config) {
	r.policy, r.nodes, r.servers = cfg.Policy, cfg.Nodes, cfg.Server.Servers
}

// arrived counts a request that came.
func (r *Recorder) arrived() {
	r.open++
	r.total++
	r.secondArrived++
}

// begun counts that a server began to work on a request.
func (r *Recorder) begun(req *request) {
	if req.begun == 2 && !req.retrySafe {
		r.ranTwice++
	}
}

// ended counts a request's final answer.
func (r *Recorder) ended(req *request, outcome requestOutcome, now time.Duration) {
	r.open--
	r.outcomes[outcome]++
	r.secondOutcomes[outcome]++
	if outcome == outcomeCompleted {
		micros := min(max((now-req.arrivedAt).Microseconds(), 1), maxLatencyMicros)
		_ = r.latencies.RecordValue(micros) // in the histogram's bounds by the line above
		_ = r.secondLatencies.RecordValue(micros)
	}
}

// fleetSample is the servers' state at a second's end.
type fleetSample struct {
	loadMean, loadMax float64 // work in hand over concurrency
	serversUp         int
}

// endSecond writes the second that ends at now.
func (r *Recorder) endSecond(now time.Duration, servers fleetSample) {
	line := Second{
		T: r.seconds, Arrived: r.secondArrived, Outcomes: byKey(r.secondOutcomes),
		P50Ms: quantileMs(r.secondLatencies, 50), P95Ms: quantileMs(r.secondLatencies, 95), P99Ms: quantileMs(r.secondLatencies, 99),
		LoadMean: servers.loadMean, LoadMax: servers.loadMax,
		Open: r.open, Twice: r.ranTwice, ServersUp: servers.serversUp,
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

// Totals sums the run up, in which so many events were played.
func (r *Recorder) Totals(events int64) Totals {
	realSeconds := time.Since(r.began).Seconds()
	t := Totals{
		Policy: string(r.policy), Nodes: r.nodes, Servers: r.servers, Seconds: r.last.Seconds(),
		Requests: r.total, Outcomes: byKey(r.outcomes),
		P50Ms: quantileMs(r.latencies, 50), P99Ms: quantileMs(r.latencies, 99),
		Twice: r.ranTwice, Unanswered: r.open, LateToDrained: r.lateToDrained,
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

func byKey(counts [outcomeCount]int64) map[string]int64 {
	keyed := map[string]int64{}
	for i, n := range counts {
		keyed[outcomeKeys[i]] = n
	}
	return keyed
}

// quantileMs is a percentile of latencies, in ms; 0 of none.
func quantileMs(latencies *hdr.Histogram, percentile float64) float64 {
	if latencies.TotalCount() == 0 {
		return 0
	}
	return float64(latencies.ValueAtQuantile(percentile)) / 1e3
}
