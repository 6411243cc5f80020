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

// The same seed yields the same plan, with the configured rate.
func TestArrivalsAreReproducibleAndKeepRate(t *testing.T) {
	cfg := operatorfile.Default().Lab.Load
	cfg.Rate, cfg.DurationS, cfg.BurstS, cfg.BurstLenS, cfg.BurstX = 1000, 10, 5, 1, 3
	arrivals, again := DrawArrivals(cfg, 42), DrawArrivals(cfg, 42)
	if !reflect.DeepEqual(arrivals, again) {
		t.Fatal("the same seed yielded two plans")
	}
	// 8 s at 1000/s and 2 s at 3000/s: 14,000 expected; Poisson's spread is ~120
	if n := len(arrivals); n < 13500 || n > 14500 {
		t.Fatalf("%d arrivals", n)
	}
	if reflect.DeepEqual(arrivals[:50], DrawArrivals(cfg, 43)[:50]) {
		t.Fatal("another seed yielded the same plan")
	}
}

// The latency counts from the time at which a request was due, including the wait for a free connection.
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
		t.Fatal(err)
	}
	summary := result.Summary()
	// ~100 requests through one connection at 20 ms each take ~2 s: the last waited ~1.5 s past its due time.
	if summary.Outcomes["completed"] != summary.Sent || summary.P99Ms < 1000 {
		t.Fatalf("%+v", summary)
	}
}

// A request that is sent 50 ms late appears in the lag and in the latency.
func TestLagIsReported(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	cfg := operatorfile.Default().Lab.Load
	cfg.Target = strings.TrimPrefix(srv.URL, "http://")
	cfg.Rate, cfg.DurationS = 20, 0.2
	generator := &Generator{Cfg: cfg, Seed: 1}
	generator.Client = srv.Client()
	result, err := generator.Run(context.Background()) // sets up; its own plan is kept by an idle generator
	if err != nil || result.Behind {
		t.Fatalf("a generator with little load is behind: %v %+v", err, result.Summary())
	}
	generator.startedAt = time.Now().Add(-50 * time.Millisecond)
	generator.send(context.Background(), Arrival{Class: 0, Customer: 1})
	if lag, took := generator.result.Lag.Max(), generator.result.Latency.Max(); lag < 40_000 || took < 40_000 {
		t.Fatalf("lag %d µs, latency %d µs", lag, took)
	}
}
