// Package load is an open-loop load generator. Arrivals are a Poisson process with bursts, drawn in advance from a seed. A slow
// gateway does not reduce the load. The latency of a request counts from the time at which it was due, which avoids coordinated
// omission (Gil Tene). The generator also records its own lag, the time by which it sent requests late.
//
// The numbers of requests per customer follow a Zipf distribution. The class of a request determines its method and its timeout.
// After a rejection the client retries with a given probability, with a new request id and after the Retry-After.
//
// Latencies are recorded in HDR histograms (HdrHistogram/hdrhistogram-go), in microseconds.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/lab/histogram"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

const (
	// behindLagMicros is the 99th percentile of the lag above which Result.Behind is set, in microseconds.
	behindLagMicros = 10_000
	// defaultRetryAfter is the delay of a client's retry without a valid Retry-After.
	defaultRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest delay of a client's retry.
	maxRetryAfter = 10 * time.Second
)

// Generator sends the load of one run. The exported fields must not change after Run is called, and Run must be called once.
type Generator struct {
	Cfg    operatorfile.Traffic
	Seed   uint64       // seed of the arrivals, request ids and client retries
	Client *http.Client // nil for a client with at most Cfg.Connections connections
	Series io.Writer    // receives a SeriesLine in JSON for each second; nil for none

	startedAt time.Time // start of the run

	mu             sync.Mutex   // guards the fields below
	rng            *rand.Rand   // draws request ids and client retries
	result         Result       // result of the run so far
	currentSecond  secondCounts // counts of the current second
	flushedSeconds int          // number of seconds that have ended
}

// Run sends the requests of all arrivals, and returns once each has ended. When ctx is done it sends no more requests, and those
// in flight end as timed out. If that is before the last arrival, Run neither sets Behind nor writes the line of the current
// second. Run returns the first error of writing the series. Each request has its own goroutine, which ends with the request and
// its retry.
func (g *Generator) Run(ctx context.Context) (Result, error) {
	if g.Client == nil {
		g.Client = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: g.Cfg.Connections, MaxIdleConnsPerHost: g.Cfg.Connections, DisableCompression: true,
		}}
	}
	g.rng = rand.New(rand.NewPCG(g.Seed, requestSeed))
	g.result = Result{Latency: histogram.New(), Lag: histogram.New()}
	g.currentSecond = secondCounts{latency: histogram.New()}
	g.startedAt = time.Now()
	arrivals := DrawArrivals(g.Cfg, g.Seed)
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var seriesErr error
	flush := func() {
		if err := g.flushSecond(); err != nil && seriesErr == nil {
			seriesErr = fmt.Errorf("write the series: %w", err)
		}
	}
	for _, a := range arrivals {
		if !waitUntil(ctx, g.startedAt.Add(a.At), ticker.C, flush) {
			wg.Wait()
			return g.result, seriesErr
		}
		wg.Add(1)
		go func() { defer wg.Done(); g.send(ctx, a) }()
	}
	wg.Wait()
	flush()
	g.result.Behind = g.result.Lag.ValueAtQuantile(99) > behindLagMicros
	return g.result, seriesErr
}

// waitUntil waits until due, and calls flush at each tick. It returns false if ctx is done before.
func waitUntil(ctx context.Context, due time.Time, tick <-chan time.Time, flush func()) bool {
	for wait := time.Until(due); wait > 0; wait = time.Until(due) {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			flush()
		case <-time.After(wait):
		}
	}
	return true
}

// send sends a request, which is due now. If it is rejected and its client retries, send also sends the retry, which is due after
// the Retry-After.
func (g *Generator) send(ctx context.Context, a Arrival) {
	due := g.startedAt.Add(a.At)
	drawn := g.recordRequest(a, due)
	result := g.roundTrip(ctx, a, drawn.id, due)
	g.recordOutcome(result.outcome, result.latency)
	if result.outcome != Rejected || !drawn.retries || a.ClientRetry || ctx.Err() != nil {
		return
	}
	a.ClientRetry = true
	a.At = time.Since(g.startedAt) + result.retryAfter
	select {
	case <-ctx.Done():
	case <-time.After(result.retryAfter):
		g.send(ctx, a)
	}
}

// drawnRequest contains the random properties of a request.
type drawnRequest struct {
	id      uint64 // request id
	retries bool   // whether the client retries after a rejection
}

// recordRequest counts a request that is sent now, with its lag, and draws its random properties.
func (g *Generator) recordRequest(a Arrival, due time.Time) drawnRequest {
	lag := time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	drawn := drawnRequest{id: g.rng.Uint64()}
	drawn.retries = g.rng.Float64() < g.Cfg.RetryProbability
	histogram.Record(g.result.Lag, lag)
	g.result.Sent++
	g.currentSecond.sent++
	g.currentSecond.lagMicros = max(g.currentSecond.lagMicros, lag.Microseconds())
	if a.ClientRetry {
		g.result.ClientRetries++
	}
	return drawn
}

// requestResult is the result of a request at its client.
type requestResult struct {
	outcome    Outcome
	latency    time.Duration // time since the request was due; set only for Completed
	retryAfter time.Duration // delay of a client's retry; set only for Rejected
}

// roundTrip sends a request and reads the response. The class's budget limits the time from due to the end of the response.
func (g *Generator) roundTrip(ctx context.Context, a Arrival, id uint64, due time.Time) requestResult {
	class := g.Cfg.Classes[a.Class]
	ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(class.BudgetMs)*time.Millisecond))
	defer cancel()
	failure := func() requestResult {
		if ctx.Err() != nil {
			return requestResult{outcome: TimedOut}
		}
		return requestResult{outcome: Failed}
	}
	request, err := g.newRequest(ctx, a, id)
	if err != nil {
		return requestResult{outcome: Failed}
	}
	response, err := g.Client.Do(request)
	if err != nil {
		return failure()
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	latency := time.Since(due)
	if err != nil {
		return failure()
	}
	switch response.StatusCode {
	case http.StatusOK:
		return requestResult{outcome: Completed, latency: latency}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return requestResult{outcome: Rejected, retryAfter: parseRetryAfter(response.Header.Get("Retry-After"))}
	}
	return requestResult{outcome: Failed}
}

// newRequest returns the HTTP request of an arrival.
func (g *Generator) newRequest(ctx context.Context, a Arrival, id uint64) (*http.Request, error) {
	class := g.Cfg.Classes[a.Class]
	method := http.MethodGet
	if class.RetrySafety == settings.RetryUnsafe {
		method = http.MethodPost
	}
	url := "http://" + g.Cfg.Target + protocol.RequestPath(class.Name, a.Customer)
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(protocol.HeaderRequestID, fmt.Sprintf("%016x", id))
	request.Header.Set(protocol.HeaderPlan, g.Cfg.Plan)
	request.Header.Set(protocol.HeaderTimeout, strconv.Itoa(class.BudgetMs))
	firstNode := a.Customer % uint64(g.Cfg.Spread)
	request.Header.Set(protocol.HeaderWeight, protocol.FormatWeight(class.Units, g.Cfg.Spread, int(firstNode)))
	if a.ClientRetry {
		request.Header.Set(protocol.HeaderClientRetry, protocol.ClientRetryValue)
	}
	return request, nil
}

// parseRetryAfter returns the delay in a Retry-After header, an integer or a decimal number of seconds, up to maxRetryAfter.
// For an invalid header it returns defaultRetryAfter.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0) { // The second condition also holds for NaN.
		return defaultRetryAfter
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
