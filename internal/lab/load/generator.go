// Package load is the laboratory's open-loop load generator. Arrivals follow a Poisson process (with bursts) drawn in
// advance from a seed, so that a slow gateway can't slow the load: each request's latency counts from when it was due, not
// from when it could be sent (no coordinated omission), and the generator reports how late it sent requests itself when it
// could not keep the rate. Customers follow a Zipf law; classes say the kind of request (GET for idempotent ones, POST for
// unsafe ones) and how long its client waits. A rejected request's client tries again with a fresh ID, after Retry-After
// where given, with a set probability.
//
// Latencies go into HDR histograms (HdrHistogram/hdrhistogram-go), in microseconds.
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
	behindLagMicros   = 10_000 // p99 of the lag past which the generator didn't keep the rate
	defaultRetryAfter = 100 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
)

// Generator sends the load.
type Generator struct {
	Cfg    operatorfile.Traffic
	Seed   uint64
	Client *http.Client // nil for one with Cfg.Conns connections
	Series io.Writer    // JSON lines, one per second; nil for none

	mu      sync.Mutex // guards what follows
	rng     *rand.Rand
	result  Result
	second  secondCounts
	seconds int // that were written
}

// Run sends the plan and waits for every request's answer or for ctx. It returns an error only when the series can't be
// written. Each request has a goroutine of its own, which ends with its answer.
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

// waitUntil waits until a time and calls flush at each tick. It returns false once ctx is done.
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

// send sends one request and, if it is rejected, perhaps its client's retry.
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

// recordSent counts a request, and draws its ID and whether its client retries after a rejection.
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

// response is how a request ended for its client.
type response struct {
	outcome    Outcome
	took       time.Duration // from when it was due
	retryAfter time.Duration // after a rejection
}

// roundTrip sends a request and reads its answer, for as long as its client waits.
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

// retryAfter reads Retry-After in seconds, whole or decimal.
func retryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0) { // a NaN too
		return defaultRetryAfter
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
