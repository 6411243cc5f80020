package routing

import (
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// cancelRecorder is a Canceller that records which attempts were cancelled.
type cancelRecorder struct {
	mu        sync.Mutex // guards cancelled
	cancelled []int
}

func (c *cancelRecorder) Cancel(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = append(c.cancelled, attempt)
}

// oneClassSettings returns the settings of a fleet of one node, with one plan and one class with the given retry safety.
func oneClassSettings(retrySafety string) settings.Values {
	return settings.Values{
		settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "seats",
		settings.ClassKey(0, settings.ClassLatencyObjective): "5000",
		settings.ClassKey(0, settings.ClassRetrySafety):      retrySafety, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "team", settings.Nodes: "1", settings.Tick: "20",
		settings.MaxAttempts: "3", settings.CancelAttempts: settings.On,
	}
}

// seatRequest is a request of the class and the plan of oneClassSettings.
var seatRequest = protocol.Request{Class: "seats", Plan: "team", Customer: 5, Units: 1, Spread: 1}

// serverList returns a complete list of count servers "s0", "s1" and so on, all in the given state.
func serverList(count int, state protocol.EndpointState) *protocol.EndpointList {
	list := &protocol.EndpointList{Revision: 1, Full: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, protocol.Endpoint{
			UID: "s" + strconv.Itoa(i), State: state, Weight: 1,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	return list
}

// newRouter returns a Router with the given configuration. Required functions that cfg leaves out do nothing, and a missing
// seed is 7.
func newRouter(t *testing.T, cfg Config) *Router {
	t.Helper()
	if cfg.Seed == 0 {
		cfg.Seed = 7
	}
	if cfg.SetTimer == nil {
		cfg.SetTimer = func(time.Duration) {}
	}
	if cfg.PollEndpoints == nil {
		cfg.PollEndpoints = func() {}
	}
	if cfg.SendToPeer == nil {
		cfg.SendToPeer = func(int, []byte) {}
	}
	if cfg.LogSummary == nil {
		cfg.LogSummary = func([]byte) {}
	}
	return New(cfg)
}

// startRouter returns a Router that has the given number of servers, with a Request of it and the Request's Canceller.
func startRouter(t *testing.T, retrySafety string, servers int) (*Router, *Request, *cancelRecorder) {
	t.Helper()
	r := newRouter(t, Config{Settings: settings.Parse(oneClassSettings(retrySafety))})
	if servers > 0 {
		r.UpdateEndpoints(serverList(servers, protocol.InService), FromCache)
	}
	c := &cancelRecorder{}
	return r, r.NewRequest(c), c
}

// checkForwarded reports an error unless the decision is Forward with the given number of the attempt.
func checkForwarded(t *testing.T, d Decision, attempt int) {
	t.Helper()
	if d.Action != Forward || d.Attempt != attempt {
		t.Errorf("decision = %+v, want Action %d (Forward) and Attempt %d", d, Forward, attempt)
	}
}
