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
	// Completed is the outcome of a response with status 200.
	Completed Outcome = iota
	// Rejected is the outcome of a response with status 429 or 503.
	Rejected
	// Failed is the outcome of any other response, and of a failed connection.
	Failed
	// TimedOut is the outcome of a request without a response within the class's budget.
	TimedOut

	// outcomeCount is the number of outcomes.
	outcomeCount
)

// outcomeKeys are the JSON keys of the outcomes in the series and the summary. They must not change, because reports of all
// versions share them.
var outcomeKeys = [outcomeCount]string{Completed: "completed", Rejected: "bounced", Failed: "broken", TimedOut: "gave_up"}

// String returns the JSON key of the outcome.
func (o Outcome) String() string { return outcomeKeys[o] }

// outcomeCounts are the numbers of requests by outcome.
type outcomeCounts [outcomeCount]int64

// byKey returns the counts as a map, by the keys of the outcomes.
func (c outcomeCounts) byKey() map[string]int64 {
	counts := map[string]int64{}
	for outcome, n := range c {
		counts[outcomeKeys[outcome]] = n
	}
	return counts
}

// Result is the result of a run.
type Result struct {
	Sent          int64          // number of requests, including client retries
	ClientRetries int64          // number of client retries
	Outcomes      outcomeCounts  // numbers of requests that have ended
	Latency       *hdr.Histogram // latencies of completed requests, from the time at which each was due, in µs
	Lag           *hdr.Histogram // times by which requests were sent late, in µs
	Behind        bool           // whether the 99th percentile of Lag is above behindLagMicros
}

// Summary is the JSON form of a Result, which `lab load` prints.
type Summary struct {
	Sent          int64            `json:"sent"`
	ClientRetries int64            `json:"again"` // number of client retries
	Outcomes      map[string]int64 `json:"outcomes"`
	P50Ms         float64          `json:"p50_ms"`
	P99Ms         float64          `json:"p99_ms"`
	P999Ms        float64          `json:"p999_ms"`
	LagP99Ms      float64          `json:"lag_p99_ms"` // 99th percentile of the lag, ms
	Behind        bool             `json:"behind"`
}

// Summary returns the summary of the result.
func (r Result) Summary() Summary {
	return Summary{
		Sent: r.Sent, ClientRetries: r.ClientRetries, Outcomes: r.Outcomes.byKey(), P50Ms: histogram.QuantileMs(r.Latency, 50),
		P99Ms: histogram.QuantileMs(r.Latency, 99), P999Ms: histogram.QuantileMs(r.Latency, 99.9), LagP99Ms: histogram.QuantileMs(r.Lag, 99), Behind: r.Behind,
	}
}

// SeriesLine is a line of the run's time series: the values of a second.
type SeriesLine struct {
	Second   int              `json:"t"` // number of the second, from 0
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LagMs    float64          `json:"lag_ms"` // longest lag of a request, ms
}

// secondCounts are the counts of the current second.
type secondCounts struct {
	sent      int64
	outcomes  outcomeCounts
	latency   *hdr.Histogram // latencies of completed requests, in µs
	lagMicros int64          // longest lag of a request, in µs
}

// recordOutcome counts the end of a request. It records the latency only for Completed.
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

// flushSecond ends the current second, and writes its line to Series if that is set.
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

// nextSeriesLine ends the current second and returns its line.
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
