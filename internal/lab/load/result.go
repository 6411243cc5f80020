package load

import (
	"encoding/json"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how one request ended for its client.
type Outcome int

// The outcomes, as the protocol page counts them.
const (
	Completed    Outcome = iota // 200
	Rejected                    // 429 or 503
	Failed                      // any other answer, or the connection broke
	TimedOut                    // no answer in the time that the client waits
	outcomeCount                // how many there are
)

// outcomeNames are the outcomes' keys in the series and the summary, those of earlier versions.
var outcomeNames = [outcomeCount]string{"completed", "bounced", "broken", "gave_up"}

func (o Outcome) String() string { return outcomeNames[o] }

// outcomeCounts counts requests by how they ended.
type outcomeCounts [outcomeCount]int64

func (c outcomeCounts) byName() map[string]int64 {
	counts := map[string]int64{}
	for outcome, n := range c {
		counts[outcomeNames[outcome]] = n
	}
	return counts
}

// Result is what a run measured.
type Result struct {
	Sent, ClientRetries int64
	Outcomes            outcomeCounts
	Latency             *hdr.Histogram // of completed requests, µs from when each was due
	Lag                 *hdr.Histogram // how late the generator sent, µs
	Behind              bool           // the generator didn't keep the rate: p99 of its lag above 10 ms
}

// Summary is a Result as the lab's reports take it: counts, and quantiles in ms.
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

// Summary gives the result's summary.
func (r Result) Summary() Summary {
	return Summary{
		Sent: r.Sent, ClientRetries: r.ClientRetries, Outcomes: r.Outcomes.byName(), P50Ms: quantileMs(r.Latency, 50),
		P99Ms: quantileMs(r.Latency, 99), P999Ms: quantileMs(r.Latency, 99.9), LagP99Ms: quantileMs(r.Lag, 99), Behind: r.Behind,
	}
}

// Second is one line of the run's time series, as JSON.
type Second struct {
	T        int              `json:"t"` // from 0
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LagMs    float64          `json:"lag_ms"` // the latest that the generator sent a request, that second
}

// secondCounts counts the second in progress.
type secondCounts struct {
	sent      int64
	outcomes  outcomeCounts
	latency   *hdr.Histogram // µs
	lagMicros int64
}

// recordOutcome counts how a request ended; took matters for a completed one.
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

// flushSecond writes the second that has passed and begins the next.
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
	maxMicros         = 10 * 60 * 1e6 // ten minutes: longer times count as that
	significantDigits = 3
)

func newHistogram() *hdr.Histogram { return hdr.New(1, maxMicros, significantDigits) }

// recordMicros records a time, within what the histogram takes.
func recordMicros(h *hdr.Histogram, micros int64) { _ = h.RecordValue(min(max(micros, 1), maxMicros)) }

// quantileMs is a quantile (percent) in ms; 0 where nothing was recorded.
func quantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}
