package load

import (
	"encoding/json"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
)

// Outcome is the outcome of a request at its client.
type Outcome int

const (
	// Completed is a response with status 200.
	Completed Outcome = iota
	// Rejected is a response with status 429 or 503.
	Rejected
	// Failed is any other response, or a connection that failed.
	Failed
	// TimedOut is a request without a response within the class's budget.
	TimedOut

	outcomeCount
)

// outcomeKeys are the keys of the outcomes in the series and the summary. They stay as they are, because reports of all
// versions share them.
var outcomeKeys = [outcomeCount]string{Completed: "completed", Rejected: "bounced", Failed: "broken", TimedOut: "gave_up"}

// String returns the outcome's key.
func (o Outcome) String() string { return outcomeKeys[o] }

// outcomeCounts is the number of requests by outcome.
type outcomeCounts [outcomeCount]int64

// byKey returns the counts by the outcomes' keys.
func (c outcomeCounts) byKey() map[string]int64 {
	counts := map[string]int64{}
	for outcome, n := range c {
		counts[outcomeKeys[outcome]] = n
	}
	return counts
}

// Result is the result of a run.
type Result struct {
	Sent          int64 // requests, including clients' retries
	ClientRetries int64 // clients' retries
	Outcomes      outcomeCounts
	Latency       *hdr.Histogram // of completed requests, in µs from the time at which each was due
	Lag           *hdr.Histogram // time by which requests were sent late, in µs
	Behind        bool           // whether the 99th percentile of Lag is above behindLagMicros
}

// Summary is a Result in the form of the laboratory's reports.
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

// Summary returns the summary of the result.
func (r Result) Summary() Summary {
	return Summary{
		Sent: r.Sent, ClientRetries: r.ClientRetries, Outcomes: r.Outcomes.byKey(), P50Ms: histogram.QuantileMs(r.Latency, 50),
		P99Ms: histogram.QuantileMs(r.Latency, 99), P999Ms: histogram.QuantileMs(r.Latency, 99.9), LagP99Ms: histogram.QuantileMs(r.Lag, 99), Behind: r.Behind,
	}
}

// Second is a line of the run's time series.
type SeriesLine struct {
	Second   int              `json:"t"` // number of the second, from 0
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LagMs    float64          `json:"lag_ms"` // longest lag of the second
}

// secondCounts are the counts of the current second.
type secondCounts struct {
	sent      int64
	outcomes  outcomeCounts
	latency   *hdr.Histogram // of completed requests, in µs
	lagMicros int64          // longest lag
}

// recordOutcome counts the end of a request. latency is recorded only for Completed.
func (g *Generator) recordOutcome(outcome Outcome, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Outcomes[outcome]++
	g.currentSecond.outcomes[outcome]++
	if outcome == Completed {
		histogram.Record(g.result.Latency, latency)
		histogram.Record(g.currentSecond.latency, latency)
	}
}

// flushSecond writes the line of the current second and begins the next one.
func (g *Generator) flushSecond() error {
	line := g.nextSeriesLine()
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

// nextSeriesLine returns the line of the current second and begins the next one.
func (g *Generator) nextSeriesLine() SeriesLine {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := &g.currentSecond
	line := SeriesLine{
		Second: g.flushedSeconds, Sent: counts.sent, Outcomes: counts.outcomes.byKey(), P50Ms: histogram.QuantileMs(counts.latency, 50),
		P95Ms: histogram.QuantileMs(counts.latency, 95), P99Ms: histogram.QuantileMs(counts.latency, 99), LagMs: float64(counts.lagMicros) / 1e3,
	}
	g.flushedSeconds++
	counts.latency.Reset()
	*counts = secondCounts{latency: counts.latency}
	return line
}
