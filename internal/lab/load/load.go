// Package load is the laboratory's open-loop load tool. Arrivals follow a Poisson process (with bursts) drawn
// in advance from a seed, so a slow gateway cannot slow the load: each ticket's latency counts from the time
// it was due, not from when it could be sent (no coordinated omission), and the tool reports how late it
// itself sent tickets when it could not keep the rate. Customers follow a Zipf law; bands say the kind of
// ticket (GET for replayable, POST for single-use) and how long its client waits. A bounced ticket's client
// comes again with a fresh id, after Retry-After where given, with a set chance.
//
// Latencies go into HDR histograms (HdrHistogram/hdrhistogram-go), in microseconds.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/operatorfile"
)

// Outcome is how one ticket ended for its client.
type Outcome int

// The outcomes, as the protocol page counts them.
const (
	Completed Outcome = iota // 200
	Bounced                  // 429 or 503
	Broken                   // any other answer, or the connection broke
	GaveUp                   // no answer within the budget
	outcomes
)

var outcomeNames = [outcomes]string{"completed", "bounced", "broken", "gave_up"}

func (o Outcome) String() string { return outcomeNames[o] }

// Arrival is one ticket due at an offset from the start.
type Arrival struct {
	At       time.Duration
	Band     int
	Customer uint64
	Again    bool // a client's retry
}

// Plan draws the first arrivals of a run: Poisson at cfg.Rate, times BurstX during bursts. The same seed gives
// the same plan.
func Plan(cfg operatorfile.Traffic, seed uint64) []Arrival {
	var out []Arrival
	for s := NewStream(cfg, seed); ; {
		a, ok := s.Next()
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

// Stream draws a plan's arrivals one at a time, for runs too long to hold them all.
type Stream struct {
	cfg   operatorfile.Traffic
	rng   *rand.Rand
	zipf  *rand.Zipf
	total float64
	t     float64 // seconds
}

// NewStream starts the plan of cfg and seed.
func NewStream(cfg operatorfile.Traffic, seed uint64) *Stream {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	s := &Stream{cfg: cfg, rng: rng, zipf: rand.NewZipf(rng, cfg.Skew, 1, uint64(cfg.Customers-1))}
	for _, b := range cfg.Bands {
		s.total += b.Share
	}
	return s
}

// Next gives the next arrival, or false once the plan's duration has passed.
func (s *Stream) Next() (Arrival, bool) {
	rate := s.cfg.Rate
	if inBurst(s.cfg, s.t) {
		rate *= s.cfg.BurstX
	}
	s.t += s.rng.ExpFloat64() / rate
	if s.t >= s.cfg.DurationS {
		return Arrival{}, false
	}
	pick, band := s.rng.Float64()*s.total, 0
	for i, b := range s.cfg.Bands {
		band = i
		if pick < b.Share {
			break
		}
		pick -= b.Share
	}
	return Arrival{At: time.Duration(s.t * float64(time.Second)), Band: band, Customer: s.zipf.Uint64()}, true
}

func inBurst(cfg operatorfile.Traffic, t float64) bool {
	return cfg.BurstS > 0 && cfg.BurstLenS > 0 && math.Mod(t, cfg.BurstS) >= cfg.BurstS-cfg.BurstLenS
}

// Second is one line of the run's time series, as JSON.
type Second struct {
	T        int              `json:"t"`
	Sent     int64            `json:"sent"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LagMs    float64          `json:"lag_ms"` // the tool's own worst lateness in sending, that second
}

// Result is the summary of a run.
type Result struct {
	Sent, Again int64
	Outcomes    [outcomes]int64
	Latency     *hdr.Histogram // of completed tickets, µs from when each was due
	Lag         *hdr.Histogram // how late the tool sent, µs
	Behind      bool           // the tool could not keep the rate: p99 of its lag above 10 ms
}

// Tool sends the load.
type Tool struct {
	Cfg    operatorfile.Traffic
	Seed   uint64
	Client *http.Client // nil for one with Cfg.Conns connections
	Series io.Writer    // JSON lines, one per second; nil for none

	mu      sync.Mutex
	rng     *rand.Rand
	res     Result
	sec     secondAcc
	seconds int
}

type secondAcc struct {
	sent     int64
	outcomes [outcomes]int64
	lat      *hdr.Histogram
	lag      int64
}

const (
	maxMicros    = 10 * 60 * 1e6 // ten minutes: longer is clamped
	behindMicros = 10_000
)

// Run sends the plan and waits for every ticket's end or ctx. It errors only when the series can't be written.
func (t *Tool) Run(ctx context.Context) (Result, error) {
	if t.Client == nil {
		t.Client = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost:     t.Cfg.Conns,
			MaxIdleConnsPerHost: t.Cfg.Conns, DisableCompression: true,
		}}
	}
	t.rng = rand.New(rand.NewPCG(t.Seed, 0x6964))
	t.res = Result{Latency: hdr.New(1, maxMicros, 3), Lag: hdr.New(1, maxMicros, 3)}
	t.sec = secondAcc{lat: hdr.New(1, maxMicros, 3)}
	start := time.Now()
	plan := Plan(t.Cfg, t.Seed)
	var wg sync.WaitGroup
	var werr error
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	flush := func() {
		if err := t.flush(); err != nil && werr == nil {
			werr = err
		}
	}
	for _, a := range plan {
		for wait := time.Until(start.Add(a.At)); wait > 0; wait = time.Until(start.Add(a.At)) {
			select {
			case <-ctx.Done():
				wg.Wait()
				return t.res, werr
			case <-tick.C:
				flush()
			case <-time.After(wait):
			}
		}
		due := start.Add(a.At)
		wg.Add(1)
		go func() { defer wg.Done(); t.send(ctx, a, due, start) }()
	}
	wg.Wait()
	flush()
	t.res.Behind = t.res.Lag.ValueAtQuantile(99) > behindMicros
	return t.res, werr
}

// send carries one ticket and, if it is bounced, perhaps its client's next try.
func (t *Tool) send(ctx context.Context, a Arrival, due, start time.Time) {
	lag := time.Since(due).Microseconds()
	b := t.Cfg.Bands[a.Band]
	t.mu.Lock()
	id := t.rng.Uint64()
	again := t.rng.Float64() < t.Cfg.AgainP
	_ = t.res.Lag.RecordValue(clamp(lag))
	t.res.Sent++
	t.sec.sent++
	t.sec.lag = max(t.sec.lag, lag)
	if a.Again {
		t.res.Again++
	}
	t.mu.Unlock()
	method := http.MethodGet
	if b.Repeats == "single-use" {
		method = http.MethodPost
	}
	budget := time.Duration(b.BudgetMs) * time.Millisecond
	rctx, cancel := context.WithDeadline(ctx, due.Add(budget))
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%016x", t.Cfg.Target, b.Name, a.Customer)
	req, err := http.NewRequestWithContext(rctx, method, url, nil)
	if err != nil {
		t.end(Broken, 0)
		return
	}
	req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", id))
	req.Header.Set("X-Tariff", t.Cfg.Plan)
	req.Header.Set("X-Budget-Ms", strconv.Itoa(b.BudgetMs))
	req.Header.Set("X-Weight", fmt.Sprintf("units=%g,spread=%d,first=%d", b.Units, t.Cfg.Spread,
		a.Customer%uint64(t.Cfg.Spread)))
	if a.Again {
		req.Header.Set("X-Again", "1")
	}
	resp, err := t.Client.Do(req)
	took := time.Since(due)
	if err != nil {
		if rctx.Err() != nil {
			t.end(GaveUp, 0)
		} else {
			t.end(Broken, 0)
		}
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	took = time.Since(due)
	switch {
	case err != nil && rctx.Err() != nil:
		t.end(GaveUp, 0)
	case err != nil:
		t.end(Broken, 0)
	case resp.StatusCode == http.StatusOK:
		t.end(Completed, took)
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		t.end(Bounced, 0)
		if again && !a.Again && ctx.Err() == nil {
			after := retryAfter(resp.Header.Get("Retry-After"))
			next := a
			next.Again, next.At = true, time.Since(start)+after
			select {
			case <-ctx.Done():
			case <-time.After(after):
				t.send(ctx, next, start.Add(next.At), start)
			}
		}
	default:
		t.end(Broken, 0)
	}
}

// retryAfter reads Retry-After in seconds, whole or decimal; 100 ms when absent or bad, 10 s at the most.
func retryAfter(h string) time.Duration {
	v, err := strconv.ParseFloat(h, 64)
	if err != nil || !(v >= 0) {
		return 100 * time.Millisecond
	}
	return min(time.Duration(v*float64(time.Second)), 10*time.Second)
}

func (t *Tool) end(o Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Outcomes[o]++
	t.sec.outcomes[o]++
	if o == Completed {
		us := clamp(took.Microseconds())
		_ = t.res.Latency.RecordValue(us)
		_ = t.sec.lat.RecordValue(us)
	}
}

func clamp(us int64) int64 { return min(max(us, 1), maxMicros) }

// flush writes the second that has passed.
func (t *Tool) flush() error {
	t.mu.Lock()
	s := Second{
		T: t.seconds, Sent: t.sec.sent, Outcomes: map[string]int64{},
		P50Ms: ms(t.sec.lat, 50), P95Ms: ms(t.sec.lat, 95), P99Ms: ms(t.sec.lat, 99), LagMs: float64(t.sec.lag) / 1e3,
	}
	for o, n := range t.sec.outcomes {
		s.Outcomes[outcomeNames[o]] = n
	}
	t.seconds++
	t.sec.sent, t.sec.outcomes, t.sec.lag = 0, [outcomes]int64{}, 0
	t.sec.lat.Reset()
	t.mu.Unlock()
	if t.Series == nil {
		return nil
	}
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, err = t.Series.Write(append(line, '\n'))
	return err
}

func ms(h *hdr.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1e3
}

// Summary is a Result in the form the lab's reports take: counts, shares and quantiles in ms.
type Summary struct {
	Sent     int64            `json:"sent"`
	Again    int64            `json:"again"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P99Ms    float64          `json:"p99_ms"`
	P999Ms   float64          `json:"p999_ms"`
	LagP99Ms float64          `json:"lag_p99_ms"`
	Behind   bool             `json:"behind"`
}

// Summary gives the result's summary.
func (r Result) Summary() Summary {
	s := Summary{
		Sent: r.Sent, Again: r.Again, Outcomes: map[string]int64{}, P50Ms: ms(r.Latency, 50),
		P99Ms: ms(r.Latency, 99), P999Ms: ms(r.Latency, 99.9), LagP99Ms: ms(r.Lag, 99), Behind: r.Behind,
	}
	for o, n := range r.Outcomes {
		s.Outcomes[outcomeNames[o]] = n
	}
	return s
}
