package routing_test

import (
	"testing"
	"time"
)

// harnessSizes are two small fleets. In the first, all nodes send to all others. The second has many nodes, and quota
// owners.
var harnessSizes = []fleetSize{
	{Servers: 50, Nodes: 4, Spread: 3, Tenants: 40, Rate: 85, FailedShare: 0.03},
	{Servers: 200, Nodes: 830, Spread: 830, Tenants: 200, Rate: 85, FailedShare: 0.03},
}

// TestScaleHarness guards against a simulation that leaves out some kind of event, or whose result differs between runs with
// the same seed.
func TestScaleHarness(t *testing.T) {
	for _, size := range harnessSizes {
		t.Run(size.String(), func(t *testing.T) {
			sim, f := runHarness(size)
			m := sim.timings
			for _, op := range []string{"pick", "report", "retry", "receive", "change", "timer", "interval"} {
				if len(m.samples[op]) == 0 {
					t.Errorf("operation %q has no samples, want some", op)
				}
			}
			if f["requests /s"] < 0.7*size.Rate || f["requests /s"] > 1.3*size.Rate || f["admitted %"] < 30 || f["heap MB"] <= 0 ||
				f["list: parse ms"] <= 0 || f["core: calls %"] <= 0 {
				t.Errorf("figures = %v, want %q %v to %v, %q at least 30, and %q, %q and %q above 0", f, "requests /s",
					0.7*size.Rate, 1.3*size.Rate, "admitted %", "heap MB", "list: parse ms", "core: calls %")
			}
			checkMessages(t, m, size.Nodes > 4)
			checkCounts(t, m)
			again, _ := runHarness(size)
			if n := again.timings; again.eventCount != sim.eventCount || n.admitted != m.admitted || n.sentBytes != m.sentBytes {
				t.Errorf("second run with the same seed: %d events, %d admitted, sent bytes %v; want %d, %d, %v as in the first",
					again.eventCount, n.admitted, n.sentBytes, sim.eventCount, m.admitted, m.sentBytes)
			}
		})
	}
}

// runHarness simulates a small fleet, and measures two seconds of virtual time.
func runHarness(size fleetSize) (*scaleSimulation, figures) {
	sim, f := prepareScaleSimulation(size, 3, 3*time.Second)
	sim.measure()
	sim.runFor(2 * time.Second)
	sim.figures(f, 2)
	return sim, f
}

// checkMessages checks which kinds of datagram were sent. Nodes of a fleet with quota owners ask the owners. Nodes of a
// fleet without them report their use to all other nodes.
func checkMessages(t *testing.T, m *timings, owners bool) {
	t.Helper()
	if owners != (m.sent[kindAsk] > 0) || owners != (m.sent[kindGrant] > 0) || owners == (m.sentToAll[kindUse] > 0) ||
		m.sent[kindGrant] > 0 && m.received[kindAsk] == 0 {
		t.Errorf("quota owners %t: messages of the kinds %v: sent %v, sent to all %v, received %v; "+
			"want ask and grant sent and no use sent to all with owners, the reverse without; and ask received if grant was sent",
			owners, kindNames, m.sent, m.sentToAll, m.received)
	}
}

// checkCounts checks that the number of admitted and rejected requests differs from that of all requests by at most 20. It
// also checks that some attempts failed, but at most one for every ten completed ones.
func checkCounts(t *testing.T, m *timings) {
	t.Helper()
	if decided := m.admitted + m.rejected; decided < m.requests-20 || decided > m.requests+20 || m.failed == 0 || m.failed > m.completed/10 {
		t.Errorf("%d requests: %d admitted, %d rejected, together %d, want %d to %d; attempts: %d completed, %d failed, want 1 to %d failed",
			m.requests, m.admitted, m.rejected, decided, m.requests-20, m.requests+20, m.completed, m.failed, m.completed/10)
	}
}
