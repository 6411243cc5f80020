package load

import (
	"encoding/json"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the kind of a request's end for its client.
type Outcome int

// The outcomes.
const (
	Completed    Outcome = iota // response of 200
	Rejected                    // response of 429 or 503
	Failed                      // any other response, or a failed connection
	TimedOut                    // no response within the client's timeout
	outcomeCount                // number of outcomes
)

// outcomeNames are the keys of the outcomes in the series and the summary, a stable format.
var outcomeNames = [outcomeCount]string{"completed", "bounced", "broken", "gave_up"}

// String returns the outcome's key in the series.
func (o Outcome) String() string { return outcomeNames[o] }

// outcomeCounts counts requests by outcome.
type outcomeCounts [outcomeCount]int64

// byName returns the counts by the outcomes' keys.
func (c outcomeCounts) byName() map[string]int64 {
	counts := map[string]int64{}
	for outcome, n := range c {
		counts[outcomeNames[outcome]] = n
	}
	return counts
}

// Result holds the measurements of a run.
type Result struct {
	Sent          int64 // requests, with client retries
	ClientRetries int64
	Outcomes      outcomeCounts
	Latency       *hdr.Histogram // of completed requests since their due time, µs
	Lag           *hdr.Histogram // of requests' sending since their due time, µs
	Behind        bool           // the generator did not keep the rate: its lag exceeded behindLagMicros
}

// Summary holds a Result's counts, and quantiles in ms, in the format of the lab's reports.
type Summary struct {
	Sent          int64            `json:"sent"`
	ClientRetries int64            `json:"again"`
	Outcomes      map[string]int64 `json:"outcomes"`
	P50Ms         float64          `json:"p50_ms"`
	P99Ms         float64          `json:"p99_ms"`
	P999Ms        float64          `json:"p999_ms"`
	LagP99Ms      float64          `json:"lag_p99_ms"`
	Behind        bool             `json:"behind"`
}

// Summary returns the result's summary.
func (r Result) Summary() Summary {
	return Summary{
		Sent: r.Sent, ClientRetries: r.ClientRetries, Outcomes: r.Outcomes.byName(), P50Ms: quantileMs(r.Latency, 50),
		P99Ms: quantileMs(r.Latency, 99), P999Ms: quantileMs(r.Latency, 99.9), LagP99Ms: quantileMs(r.Lag, 99), Behind: r.Behind,
	}
}

// Second is one line of the run's time series, as JSON.
type Second struct {
	T        int              `json:"t"` // seconds since the start
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LagMs    float64          `json:"lag_ms"` // maximum of the second
}

// secondCounts counts the requests of one second.
type secondCounts struct {
	sent      int64
	outcomes  outcomeCounts
	latency   *hdr.Histogram // of completed requests, µs
	lagMicros int64          // maximum
}

// recordOutcome counts the outcome of a request. took is the latency of a completed request, and not used for others.
func (g *Generator) recordOutcome(outcome Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Outcomes[outcome]++
	g.second.outcomes[outcome]++
	if outcome == Completed {
		recordMicros(g.result.Latency, took.Microseconds())
		recordMicros(g.second.latency, took.Microseconds())
	}
}

// flushSecond writes the line of the second in progress, and begins the next one.
func (g *Generator) flushSecond() error {
	line := g.cutSecond()
	if g.Series == nil {
		return nil
	}
	raw, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, err = g.Series.Write(append(raw, '\n'))
	return err
}

// cutSecond returns the line of the second in progress, and begins the next one.
func (g *Generator) cutSecond() Second {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := &g.second
	line := Second{
		T: g.seconds, Sent: counts.sent, Outcomes: counts.outcomes.byName(), P50Ms: quantileMs(counts.latency, 50),
		P95Ms: quantileMs(counts.latency, 95), P99Ms: quantileMs(counts.latency, 99), LagMs: float64(counts.lagMicros) / 1e3,
	}
	g.seconds++
	counts.latency.Reset()
	*counts = secondCounts{latency: counts.latency}
	return line
}

const (
	maxMicros         = 10 * 60 * 1e6 // ten minutes; longer times count as ten minutes
	significantDigits = 3
)

// newHistogram returns an empty histogram of times, in µs.
func newHistogram() *hdr.Histogram { return hdr.New(1, maxMicros, significantDigits) }

// recordMicros records a time, limited to the histogram's range.
func recordMicros(h *hdr.Histogram, micros int64) { _ = h.RecordValue(min(max(micros, 1), maxMicros)) }

// quantileMs returns a percentile in ms; 0 if nothing was recorded.
func quantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}
