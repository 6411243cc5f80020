package routing_test

import (
	"testing"
	"time"
)

// harnessSizes are two small fleets: one in which all nodes send to all others, and a wide one with quota owners.
var harnessSizes = []fleetSize{
	{Servers: 50, Nodes: 4, Spread: 3, Tenants: 40, Rate: 85, FailedShare: 0.03},
	{Servers: 200, Nodes: 830, Spread: 830, Tenants: 200, Rate: 85, FailedShare: 0.03},
}

// The harness plays requests that are admitted and end, changes, timers and intervals, and the same seed plays the same.
func TestScaleHarness(t *testing.T) {
	for _, size := range harnessSizes {
		t.Run(size.String(), func(t *testing.T) {
			w, f := playHarness(size)
			m := w.timings
			for _, op := range []string{"pick", "report", "retry", "receive", "change", "timer", "interval"} {
				if len(m.samples[op]) == 0 {
					t.Errorf("no %s was timed", op)
				}
			}
			if f["requests /s"] < 0.7*size.Rate || f["requests /s"] > 1.3*size.Rate || f["admitted %"] < 30 || f["heap MB"] <= 0 ||
				f["list: parse ms"] <= 0 || f["core: calls %"] <= 0 {
				t.Errorf("%v", f)
			}
			checkMessages(t, m, size.Nodes > 4)
			checkCounts(t, m)
			again, _ := playHarness(size)
			if n := again.timings; again.playedEvents != w.playedEvents || n.admitted != m.admitted || n.sentBytes != m.sentBytes {
				t.Errorf("the same seed plays otherwise: %d events and %d, %d admitted and %d",
					w.playedEvents, again.playedEvents, m.admitted, n.admitted)
			}
		})
	}
}

func playHarness(size fleetSize) (*scaleWorld, figures) {
	w, f := prepareScaleWorld(size, 3, 3*time.Second)
	w.measure()
	w.playFor(2 * time.Second)
	w.figures(f, 2)
	return w, f
}

// checkMessages checks which kinds of datagram were sent: a fleet with owners asks them, another one reports to all.
func checkMessages(t *testing.T, m *timings, owners bool) {
	t.Helper()
	if owners != (m.sent[kindAsk] > 0) || owners != (m.sent[kindGrant] > 0) || owners == (m.sentToAll[kindUse] > 0) ||
		m.sent[kindGrant] > 0 && m.received[kindAsk] == 0 {
		t.Errorf("sent %v, to all %v, received %v", m.sent, m.sentToAll, m.received)
	}
}

// checkCounts checks that nearly all requests were decided on, and that about as many attempts failed as were to.
func checkCounts(t *testing.T, m *timings) {
	t.Helper()
	if out := m.admitted + m.rejected; out < m.requests-20 || out > m.requests+20 || m.failed == 0 || m.failed > m.completed/10 {
		t.Errorf("%d requests, %d admitted, %d rejected; %d attempts completed, %d failed",
			m.requests, m.admitted, m.rejected, m.completed, m.failed)
	}
}
