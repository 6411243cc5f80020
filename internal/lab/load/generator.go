// Package load is the laboratory's open-loop load generator. Arrivals follow a Poisson process with bursts, drawn in
// advance from a seed, so that a slow gateway does not slow the load. A request's latency counts from its due time, not
// from its sending (no coordinated omission). The generator reports its own lag behind the due times.
//
// Customers follow a Zipf distribution. A class states the method (GET for idempotent requests, POST for unsafe ones) and
// the client's timeout. The client of a rejected request retries with a new ID, with a configured probability, after the
// Retry-After of the response.
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

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

const (
	behindLagMicros   = 10_000                 // 99th percentile of the lag above which the generator is behind
	defaultRetryAfter = 100 * time.Millisecond // if the response has no Retry-After
	maxRetryAfter     = 10 * time.Second
)

// Generator sends the requests of a plan.
type Generator struct {
	Cfg    operatorfile.Traffic
	Seed   uint64
	Client *http.Client // nil for a client with Cfg.Connections connections
	Series io.Writer    // gets JSON lines, one per second; nil for none

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand // draws request IDs and retries
	result  Result
	second  secondCounts // in progress
	seconds int          // lines of the series so far
}

// Run sends the requests of the plan and waits for their responses. If ctx ends, Run sends no more requests, and those in
// flight fail. It returns an error only if the series can't be written. Each request has a goroutine, which ends with the
// response.
func (g *Generator) Run(ctx context.Context) (Result, error) {
	if g.Client == nil {
		g.Client = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: g.Cfg.Connections, MaxIdleConnsPerHost: g.Cfg.Connections, DisableCompression: true,
		}}
	}
	g.rng = rand.New(rand.NewPCG(g.Seed, requestStream))
	g.result = Result{Latency: newHistogram(), Lag: newHistogram()}
	g.second = secondCounts{latency: newHistogram()}
	start := time.Now()
	plan := Plan(g.Cfg, g.Seed)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var seriesErr error
	flush := func() {
		if err := g.flushSecond(); err != nil && seriesErr == nil {
			seriesErr = fmt.Errorf("series: %w", err)
		}
	}
	for _, a := range plan {
		due := start.Add(a.At)
		if !waitUntil(ctx, due, tick.C, flush) {
			wg.Wait()
			return g.result, seriesErr
		}
		wg.Add(1)
		go func() { defer wg.Done(); g.send(ctx, a, due, start) }()
	}
	wg.Wait()
	flush()
	g.result.Behind = g.result.Lag.ValueAtQuantile(99) > behindLagMicros
	return g.result, seriesErr
}

// waitUntil waits until a time and calls flush at each tick. It returns false if ctx ends before.
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

// send sends a request and counts its outcome. If the request is rejected, send also sends the client's retry.
func (g *Generator) send(ctx context.Context, a Arrival, due, start time.Time) {
	id, retries := g.recordSent(a, due)
	response := g.roundTrip(ctx, a, id, due)
	g.recordOutcome(response.outcome, response.took)
	if response.outcome != Rejected || !retries || a.ClientRetry || ctx.Err() != nil {
		return
	}
	a.ClientRetry, a.At = true, time.Since(start)+response.retryAfter
	select {
	case <-ctx.Done():
	case <-time.After(response.retryAfter):
		g.send(ctx, a, start.Add(a.At), start)
	}
}

// recordSent counts a request that is sent now. It draws the request's ID, and whether the client retries after a rejection.
func (g *Generator) recordSent(a Arrival, due time.Time) (id uint64, retries bool) {
	lag := time.Since(due).Microseconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	id = g.rng.Uint64()
	retries = g.rng.Float64() < g.Cfg.RetryProbability
	recordMicros(g.result.Lag, lag)
	g.result.Sent++
	g.second.sent++
	g.second.lagMicros = max(g.second.lagMicros, lag)
	if a.ClientRetry {
		g.result.ClientRetries++
	}
	return id, retries
}

// response is the end of a request for its client.
type response struct {
	outcome    Outcome
	took       time.Duration // since the due time; of a completed request
	retryAfter time.Duration // of a rejected request
}

// roundTrip sends a request and reads the response until the client's timeout.
func (g *Generator) roundTrip(ctx context.Context, a Arrival, id uint64, due time.Time) response {
	class := g.Cfg.Classes[a.Class]
	ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(class.BudgetMs)*time.Millisecond))
	defer cancel()
	failure := func() response {
		if ctx.Err() != nil {
			return response{outcome: TimedOut}
		}
		return response{outcome: Failed}
	}
	request, err := g.newRequest(ctx, a, id)
	if err != nil {
		return response{outcome: Failed}
	}
	answer, err := g.Client.Do(request)
	if err != nil {
		return failure()
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	took := time.Since(due)
	if err != nil {
		return failure()
	}
	switch answer.StatusCode {
	case http.StatusOK:
		return response{outcome: Completed, took: took}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return response{outcome: Rejected, retryAfter: retryAfter(answer.Header.Get("Retry-After"))}
	}
	return response{outcome: Failed}
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

// retryAfter parses a Retry-After header in whole or decimal seconds. It returns the default for any other value, and limits
// the result to maxRetryAfter.
func retryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0) { // the comparison is false for a NaN
		return defaultRetryAfter
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
