package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
)

// The same seed yields the same arrivals, with the configured rate. Otherwise two runs could not be compared.
func TestArrivalsAreReproducibleAndKeepRate(t *testing.T) {
	cfg := operatorfile.Default().Lab.Load
	cfg.Rate, cfg.DurationS, cfg.BurstPeriodS, cfg.BurstLengthS, cfg.BurstFactor = 1000, 10, 5, 1, 3
	arrivals, again := DrawArrivals(cfg, 42), DrawArrivals(cfg, 42)
	if !reflect.DeepEqual(arrivals, again) {
		t.Fatal("DrawArrivals with the seed 42 returned different arrivals in two calls, want the same")
	}
	// 8 s at 1000/s and 2 s at 3000/s have a mean of 14,000 arrivals. The standard deviation of the Poisson process is about 120.
	if n := len(arrivals); n < 13500 || n > 14500 {
		t.Fatalf("DrawArrivals returned %d arrivals, want 13500 to 14500", n)
	}
	if reflect.DeepEqual(arrivals[:50], DrawArrivals(cfg, 43)[:50]) {
		t.Fatal("DrawArrivals returned the same first 50 arrivals for the seeds 42 and 43, want different ones")
	}
}

// The latency counts from the time at which a request was due, including the wait for a free connection. Latencies that count
// from sending hide the wait behind a slow server (coordinated omission).
func TestLatencyCountsFromDueTime(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/seat-") || r.Header.Get(protocol.HeaderRequestID) == "" {
			w.WriteHeader(400)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}))
	defer srv.Close()
	cfg := operatorfile.Default().Lab.Load
	cfg.Target = strings.TrimPrefix(srv.URL, "http://")
	cfg.Rate, cfg.DurationS, cfg.Connections = 200, 0.5, 1
	for i := range cfg.Classes {
		cfg.Classes[i].BudgetMs = 60000
	}
	generator := &Generator{Cfg: cfg, Seed: 1}
	result, err := generator.Run(context.Background())
	if err != nil {
		t.Fatalf("Run: %v", err)
	}
	summary := result.Summary()
	// About 100 requests through one connection at 20 ms each take about 2 s. The last one waits for about 1.5 s.
	if summary.Outcomes["completed"] != summary.Sent || summary.P99Ms < 1000 {
		t.Fatalf("%d of %d requests are completed, and the 99th percentile of the latency is %v ms; want all completed, and at least 1000 ms",
			summary.Outcomes["completed"], summary.Sent, summary.P99Ms)
	}
}

// A request that is sent 50 ms late appears in the lag and in the latency. Otherwise an overloaded generator would report a
// latency that is too short.
func TestLagIsReported(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	cfg := operatorfile.Default().Lab.Load
	cfg.Target = strings.TrimPrefix(srv.URL, "http://")
	cfg.Rate, cfg.DurationS = 20, 0.2
	generator := &Generator{Cfg: cfg, Seed: 1}
	generator.Client = srv.Client()
	result, err := generator.Run(context.Background()) // Run initializes the generator; with little load it is not behind.
	if err != nil || result.Behind {
		t.Fatalf("Run with 20 requests/s: got error %v and Behind %v, want no error and Behind false", err, result.Behind)
	}
	generator.startedAt = time.Now().Add(-50 * time.Millisecond)
	generator.send(context.Background(), Arrival{Class: 0, Customer: 1})
	if lag, latency := generator.result.Lag.Max(), generator.result.Latency.Max(); lag < 40_000 || latency < 40_000 {
		t.Fatalf("a request sent 50 ms late has a lag of %d µs and a latency of %d µs, want at least 40000 each", lag, latency)
	}
}
