package membership

import (
	"testing"
	"time"
)

// sendDue returns the kinds and the receivers of the messages that a node sends at a time.
func sendDue(p *Protocol, now time.Duration) (kinds []messageKind, receivers []NodeID) {
	for m, ok := p.Next(now); ok; m, ok = p.Next(now) {
		kinds, receivers = append(kinds, messageKind(m.Payload[1])), append(receivers, m.To)
	}
	return kinds, receivers
}

// receive passes a message without parts to a node. Such a message has the same hash of dead members as the node.
func receive(t *testing.T, p *Protocol, from NodeID, h header) {
	t.Helper()
	h.deadHash = p.deadHash
	if err := p.Receive(p.now, from, appendHeader(nil, h), ignoreEvents); err != nil {
		t.Fatal("Receive of a message of kind", h.kind, "failed:", err)
	}
}

// TestSilentMemberIsProbedThenSuspectedThenDead guards against a failure that a node does not detect. A member that does not
// ack is pinged directly, then by others, then becomes suspect, then dead.
func TestSilentMemberIsProbedThenSuspectedThenDead(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 4, Seed: 1, ReceiveRate: 400}, 0)
	p.awaitingFirstMessage = false
	now := p.nextPingAt
	kinds, receivers := sendDue(p, now)
	if len(kinds) != 1 || kinds[0] != ping || len(p.probes) != 1 {
		t.Fatalf("first period: kinds %v sent to %v, %d probes; want one message of kind %v (ping) and 1 probe", kinds, receivers, len(p.probes), ping)
	}
	target, probe := receivers[0], p.probes[0]
	if due := now + time.Duration(directTimeoutPeriods*float64(p.period)); probe.dueAt() != due || p.WakeAt() != due {
		t.Errorf("probe is due at %v, WakeAt = %v; want both at %v", probe.dueAt(), p.WakeAt(), due)
	}
	checkIndirectPings(t, p, probe)
	sendDue(p, probe.endAt)
	if p.State(target) != Suspect {
		t.Fatalf("state of node %d after a period without an ack = %d, want %d (Suspect)", target, p.State(target), Suspect)
	}
	timeout := time.Duration(suspicionPeriodsPerRound * 3 * float64(p.period)) // 4 nodes: 3 gossip rounds
	sendDue(p, probe.endAt+timeout-1)
	if p.State(target) != Suspect {
		t.Errorf("state of node %d before the end of the suspicion = %d, want %d (Suspect)", target, p.State(target), Suspect)
	}
	sendDue(p, probe.endAt+timeout)
	if p.State(target) != Dead {
		t.Errorf("state of node %d at the end of the suspicion = %d, want %d (Dead)", target, p.State(target), Dead)
	}
}

// checkIndirectPings fails the test unless other members are asked to ping the target, at the end of the direct timeout.
func checkIndirectPings(t *testing.T, p *Protocol, probe probe) {
	t.Helper()
	if kinds, _ := sendDue(p, probe.indirectAt-1); len(kinds) > 0 {
		t.Errorf("kinds %v sent before the direct timeout, want none", kinds)
	}
	kinds, receivers := sendDue(p, probe.indirectAt)
	for i, kind := range kinds {
		if kind != pingRequest || receivers[i] == probe.target || receivers[i] == 0 {
			t.Errorf("message of kind %d sent to node %d, want kind %d (pingRequest), neither to node %d nor to node 0", kind, receivers[i], pingRequest, probe.target)
		}
	}
	if len(kinds) == 0 || p.probes[0].dueAt() != probe.endAt {
		t.Errorf("%d indirect pings requested, probe due at %v; want at least 1, and %v", len(kinds), p.probes[0].dueAt(), probe.endAt)
	}
}

// TestAckEndsProbe guards against probes that a wrong ack ends, or that the right one does not end. An ack from the target
// always ends a probe. An ack from another member ends it only after the indirect pings. An ack for a requester is
// forwarded.
func TestAckEndsProbe(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 4, Seed: 1, ReceiveRate: 400}, 0)
	p.startProbe(2, noRequester)
	p.startProbe(3, pingRequester{node: 1, sequence: 99})
	sendDue(p, 0)
	receive(t, p, 1, header{kind: ack, sequence: 1})
	if len(p.probes) != 2 {
		t.Error("ack from another member ended the probe before the indirect pings, want it ignored")
	}
	receive(t, p, 2, header{kind: ack, sequence: 7})
	if len(p.probes) != 2 {
		t.Error("ack with an unknown sequence ended a probe, want it ignored")
	}
	p.probes[0].indirectSent = true
	receive(t, p, 1, header{kind: ack, sequence: 1})
	if len(p.probes) != 1 {
		t.Error("ack from another member did not end the probe after the indirect pings, want the probe ended")
	}
	receive(t, p, 3, header{kind: ack, sequence: 2})
	m, ok := p.Next(0)
	if got, err := decode(m.Payload, 4, 0); !ok || err != nil || m.To != 1 || got.kind != ack || got.sequence != 99 || len(p.probes) > 0 {
		t.Errorf("forwarded message = %+v, %v, sent to node %d (sent: %v), %d probes left; want an ack (kind %d) with sequence 99, sent to node 1, and 0 probes left",
			got, err, m.To, ok, len(p.probes), ack)
	}
}

// TestRequestedPingWithoutAckCausesNoSuspicion guards against a suspicion by a node that only relays a ping. A ping for a
// requester that gets no ack causes no suspicion at this node.
func TestRequestedPingWithoutAckCausesNoSuspicion(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 3, Seed: 1, ReceiveRate: 400}, 0)
	p.nextPingAt = time.Hour
	receive(t, p, 1, header{kind: pingRequest, sequence: 5, target: 2})
	receive(t, p, 1, header{kind: pingRequest, sequence: 6, target: 0}) // the target is this node itself, so there is no ping
	if kinds, receivers := sendDue(p, 0); len(kinds) != 1 || kinds[0] != ping || receivers[0] != 2 {
		t.Errorf("kinds %v sent to %v, want one message of kind %v (ping) to node 2", kinds, receivers, ping)
	}
	if kinds, _ := sendDue(p, p.period-1); len(kinds) > 0 || len(p.probes) != 1 {
		t.Errorf("before the end of the period: kinds %v sent, %d probes; want none and 1", kinds, len(p.probes))
	}
	if kinds, _ := sendDue(p, p.period); len(kinds) > 0 || len(p.probes) > 0 || p.State(2) != Alive {
		t.Errorf("at the end of the period: kinds %v sent, %d probes, state of node 2 = %d; want none, 0 and %d (Alive)", kinds, len(p.probes), p.State(2), Alive)
	}
}

// TestPingTargetsTakeTurns guards against members that are never pinged. The targets of pings take turns. Dead members are
// left out.
func TestPingTargetsTakeTurns(t *testing.T) {
	p := New(Config{Self: 2, Nodes: 6, Seed: 3}, 0)
	p.apply(memberUpdate{id: 4, state: Dead})
	pingCounts := map[NodeID]int{}
	for range 40 {
		pingCounts[p.nextTarget()]++
	}
	for id, want := range map[NodeID]int{0: 10, 1: 10, 2: 0, 3: 10, 4: 0, 5: 10, noNode: 0} {
		if pingCounts[id] != want {
			t.Errorf("nextTarget returned node %d %d times of 40, want %d (%d stands for no node)", id, pingCounts[id], want, noNode)
		}
	}
	for id := range NodeID(6) {
		p.apply(memberUpdate{id: id, state: Dead})
	}
	if id := p.nextTarget(); id != noNode {
		t.Errorf("nextTarget with all members dead = %d, want %d (no node)", id, noNode)
	}
	if id := p.randomAlive(0); id != noNode {
		t.Errorf("randomAlive with all members dead = %d, want %d (no node)", id, noNode)
	}
}

// TestSingleNodeSendsNothing guards against a node that pings itself. The only node of a fleet sends nothing.
func TestSingleNodeSendsNothing(t *testing.T) {
	p := New(Config{Nodes: 1}, 0)
	if kinds, _ := sendDue(p, time.Second); len(kinds) > 0 || p.WakeAt() != time.Second+p.Period() {
		t.Errorf("only node: kinds %v sent, WakeAt = %v; want none and %v", kinds, p.WakeAt(), time.Second+p.Period())
	}
}
