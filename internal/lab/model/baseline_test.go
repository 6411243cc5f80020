package model

import (
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

// The static limit applies to each pair of server and node. Without it, nodes overload the servers that they choose; with a
// count shared by all nodes, one node's attempts block another. No server is chosen once all are at the limit.
func TestRoundRobinKeepsItsLimit(t *testing.T) {
	cfg := testConfig(t, RoundRobin, "")
	cfg.MaxInFlight = 2
	s := newSimulation(t, cfg, nil)
	n := s.nodes[0]
	for i := range 2 * len(s.servers) {
		sv := s.nextBelowLimit(n)
		if want := (i + 1) % len(s.servers); sv == nil || sv.id != want {
			t.Fatalf("nextBelowLimit, call %d, chose the server %+v, want the server %d", i, sv, want)
		}
		n.inFlight[sv.id]++
	}
	if sv := s.nextBelowLimit(n); sv != nil {
		t.Errorf("nextBelowLimit chose the server %d with all servers at the limit, want none", sv.id)
	}
	if sv := s.nextBelowLimit(s.nodes[1]); sv == nil {
		t.Error("nextBelowLimit chose no server for the second node, want one: only the first node has attempts in flight")
	}
	n.inFlight[5]--
	if sv := s.nextBelowLimit(n); sv == nil || sv.id != 5 {
		t.Errorf("nextBelowLimit chose the server %+v, want the server 5, the only one below the limit", sv)
	}
}

// The policy LeastBusy compares the servers by the last sample, not by their present attempts. Equal servers are chosen in
// rotation; otherwise a node would send all its attempts to one server until the next sample.
func TestLeastBusyGoesByTheLastSample(t *testing.T) {
	s := newSimulation(t, testConfig(t, LeastBusy, ""), nil)
	n := s.nodes[0]
	for _, want := range []int{1, 2, 3} {
		if sv := s.leastBusy(n); sv.id != want {
			t.Errorf("leastBusy chose the server %d among equal servers, want %d", sv.id, want)
		}
	}
	for _, sv := range s.servers {
		sv.executing = 3
	}
	s.servers[6].executing, s.servers[6].queue = 1, make([]*attempt, 1)
	if sv := s.leastBusy(n); sv.id != 4 {
		t.Errorf("leastBusy chose the server %d before the sample, want 4, the next in rotation", sv.id)
	}
	s.sample()
	if sv := s.leastBusy(n); sv.id != 6 {
		t.Errorf("leastBusy chose the server %d after the sample, want 6, which has the fewest attempts", sv.id)
	}
}

// Each node of a tenant's set has an equal share of the tenant's burst and of its rate. Without the division, a tenant gets its
// quota once per node.
func TestBaselineBucket(t *testing.T) {
	cfg := testConfig(t, RoundRobin, "") // a tenant's set has two nodes
	cfg.QuotaRate, cfg.QuotaBurst = 20, 8
	cfg.Traffic.Classes[0].Units = 1
	s := newSimulation(t, cfg, nil)
	for i, step := range []struct {
		at       time.Duration
		node     int
		tenant   tenant
		requests int
		admitted int
	}{
		{0, 0, 1, 6, 4},                      // Half of the burst is at the first node.
		{0, 1, 1, 6, 4},                      // The other half is at the other node.
		{0, 0, 2, 3, 3},                      // Another tenant has its own bucket.
		{100 * time.Millisecond, 0, 1, 6, 1}, // Half of the rate is 10 units/s.
		{300 * time.Millisecond, 0, 1, 6, 2},
		{time.Hour, 0, 1, 6, 4}, // The bucket holds no more than its share of the burst.
	} {
		s.now = step.at
		admitted := 0
		for range step.requests {
			if s.takeFromBucket(&request{node: s.nodes[step.node], tenant: step.tenant}) {
				admitted++
			}
		}
		if admitted != step.admitted {
			t.Errorf("takeFromBucket, step %d, admitted %d of %d requests, want %d", i, admitted, step.requests, step.admitted)
		}
	}
}

// An attempt that was not executed is retried. One that may have been executed is retried only if the request is safe to
// repeat, because a retry may execute the request twice. A request has three attempts at most.
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
			s := newSimulation(t, testConfig(t, RoundRobin, ""), nil)
			req := &request{node: s.nodes[0], retrySafe: c.retrySafe, attempts: c.attempts, deadline: c.timeLeft}
			s.handleBaselineResult(&attempt{request: req, server: s.servers[0], outcome: c.outcome})
			if retried := req.attempts == c.attempts+1; retried != c.retried || req.ended == c.retried {
				t.Errorf("after the result: retried %t and ended %t, want %t and %t", retried, req.ended, c.retried, !c.retried)
			}
			if !c.retried && s.recorder.outcomes[c.final] != 1 {
				t.Errorf("the recorder counted %d requests with the outcome %s, want 1; counts of %v: %v",
					s.recorder.outcomes[c.final], outcomeKeys[c.final], outcomeKeys, s.recorder.outcomes)
			}
		})
	}
}
