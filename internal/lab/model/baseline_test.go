package model

import (
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

// The static limit applies to each pair of server and node. No server is chosen once all are at the limit.
func TestRoundRobinKeepsItsLimit(t *testing.T) {
	cfg := testConfig(t, RoundRobin, "")
	cfg.Limit = 2
	s := newSim(t, cfg, nil)
	n := s.nodes[0]
	for i := range 2 * len(s.servers) {
		sv := s.nextBelowLimit(n)
		if want := (i + 1) % len(s.servers); sv == nil || sv.id != want {
			t.Fatalf("choice %d is %+v, not the server %d", i, sv, want)
		}
		n.inFlight[sv.id]++
	}
	if sv := s.nextBelowLimit(n); sv != nil {
		t.Errorf("the server %d is chosen over its limit", sv.id)
	}
	if sv := s.nextBelowLimit(s.nodes[1]); sv == nil {
		t.Error("one node's attempts count at another")
	}
	n.inFlight[5]--
	if sv := s.nextBelowLimit(n); sv == nil || sv.id != 5 {
		t.Errorf("%+v is chosen, not the server with room", sv)
	}
}

// The least busy server is that of the last sample, not of the present. Equal servers are chosen in rotation.
func TestLeastBusyGoesByTheLastSample(t *testing.T) {
	s := newSim(t, testConfig(t, LeastBusy, ""), nil)
	n := s.nodes[0]
	for _, want := range []int{1, 2, 3} {
		if sv := s.leastBusy(n); sv.id != want {
			t.Errorf("the server %d is chosen among equals, not %d", sv.id, want)
		}
	}
	for _, sv := range s.servers {
		sv.inWork = 3
	}
	s.servers[6].inWork, s.servers[6].queue = 1, make([]*attempt, 1)
	if sv := s.leastBusy(n); sv.id != 4 {
		t.Errorf("the server %d is chosen before the sample", sv.id)
	}
	s.sample()
	if sv := s.leastBusy(n); sv.id != 6 {
		t.Errorf("the server %d is chosen after the sample", sv.id)
	}
}

// Each node of a tenant's set has an equal share of the tenant's burst and of its rate.
func TestBaselineBucket(t *testing.T) {
	cfg := testConfig(t, RoundRobin, "") // a tenant's set has two nodes
	cfg.Quota, cfg.Burst = 20, 8
	cfg.Traffic.Classes[0].Units = 1
	s := newSim(t, cfg, nil)
	for i, step := range []struct {
		at       time.Duration
		node     int
		tenant   tenant
		requests int
		admitted int
	}{
		{0, 0, 1, 6, 4},                      // half of the burst
		{0, 1, 1, 6, 4},                      // the other half, at the other node
		{0, 0, 2, 3, 3},                      // another tenant has its own
		{100 * time.Millisecond, 0, 1, 6, 1}, // half of the rate: 10 units a second
		{300 * time.Millisecond, 0, 1, 6, 2},
		{time.Hour, 0, 1, 6, 4}, // no more than the burst
	} {
		s.now = step.at
		admitted := 0
		for range step.requests {
			if s.takeFromBucket(&request{node: s.nodes[step.node], tenant: step.tenant}) {
				admitted++
			}
		}
		if admitted != step.admitted {
			t.Errorf("step %d: %d admitted, not %d", i, admitted, step.admitted)
		}
	}
}

// An attempt that was not executed is retried. One that may have been executed is retried only if that is safe. A request
// has three attempts at most.
func TestBaselineRetries(t *testing.T) {
	for _, c := range []struct {
		name      string
		outcome   protocol.Outcome
		retrySafe bool
		attempts  int
		timeLeft  time.Duration
		retried   bool
		final     requestOutcome
	}{
		{"completed", protocol.Completed, true, 1, time.Second, false, outcomeCompleted},
		{"overloaded, unsafe", protocol.Overloaded, false, 1, time.Second, true, 0},
		{"connect failed, unsafe", protocol.ConnectFailed, false, 2, time.Second, true, 0},
		{"timed out, unsafe", protocol.TimedOut, false, 1, time.Second, false, outcomeFailed},
		{"reset, unsafe", protocol.ConnectionReset, false, 1, time.Second, false, outcomeFailed},
		{"reset, safe", protocol.ConnectionReset, true, 2, time.Second, true, 0},
		{"third attempt", protocol.Overloaded, true, 3, time.Second, false, outcomeFailed},
		{"no time left", protocol.Overloaded, true, 1, time.Millisecond, false, outcomeFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, testConfig(t, RoundRobin, ""), nil)
			req := &request{node: s.nodes[0], retrySafe: c.retrySafe, attempts: c.attempts, deadline: c.timeLeft}
			s.baselineResult(&attempt{request: req, server: s.servers[0], outcome: c.outcome})
			if retried := req.attempts == c.attempts+1; retried != c.retried || req.ended == c.retried {
				t.Errorf("retried: %t, ended: %t", retried, req.ended)
			}
			if !c.retried && s.recorder.outcomes[c.final] != 1 {
				t.Errorf("outcomes %v", s.recorder.outcomes)
			}
		})
	}
}
