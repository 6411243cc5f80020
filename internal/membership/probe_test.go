package membership

import (
	"testing"
	"time"
)

// sent returns the kinds and the receivers of the messages that a node sends at a time.
func sendDue(p *Protocol, now time.Duration) (kinds []messageKind, receivers []NodeID) {
	for m, ok := p.Next(now); ok; m, ok = p.Next(now) {
		kinds, receivers = append(kinds, messageKind(m.Payload[1])), append(receivers, m.To)
	}
	return kinds, receivers
}

// receive passes a message without parts to a node.
func receive(t *testing.T, p *Protocol, from NodeID, h header) {
	t.Helper()
	h.deadHash = p.deadHash
	if err := p.Receive(p.now, from, appendHeader(nil, h), ignoreEvents); err != nil {
		t.Fatal(err)
	}
}

// A silent member is pinged directly, then by others, then becomes suspect, then dead.
func TestSilentMemberIsProbedThenSuspectedThenDead(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 4, Seed: 1, ReceiveRate: 400}, 0)
	p.awaitingFirstMessage = false
	now := p.nextPingAt
	kinds, receivers := sendDue(p, now)
	if len(kinds) != 1 || kinds[0] != ping || len(p.probes) != 1 {
		t.Fatalf("kinds %v to %v, %d probes", kinds, receivers, len(p.probes))
	}
	target, probe := receivers[0], p.probes[0]
	if due := now + time.Duration(directTimeoutPeriods*float64(p.period)); probe.dueAt() != due || p.WakeAt() != due {
		t.Errorf("due at %v, wake at %v, want %v", probe.dueAt(), p.WakeAt(), due)
	}
	checkIndirectPings(t, p, probe)
	sendDue(p, probe.endAt)
	if p.State(target) != Suspect {
		t.Fatalf("state %v", p.State(target))
	}
	timeout := time.Duration(suspicionPeriodsPerRound * 3 * float64(p.period)) // 4 nodes: three rounds
	sendDue(p, probe.endAt+timeout-1)
	if p.State(target) != Suspect {
		t.Errorf("state %v before the end of the suspicion", p.State(target))
	}
	sendDue(p, probe.endAt+timeout)
	if p.State(target) != Dead {
		t.Errorf("state %v", p.State(target))
	}
}

// checkIndirectPings fails the test unless others are asked to ping a silent member, at the end of the direct timeout.
func checkIndirectPings(t *testing.T, p *Protocol, probe probe) {
	t.Helper()
	if kinds, _ := sendDue(p, probe.indirectAt-1); len(kinds) > 0 {
		t.Errorf("%v sent before the direct timeout", kinds)
	}
	kinds, receivers := sendDue(p, probe.indirectAt)
	for i, kind := range kinds {
		if kind != pingRequest || receivers[i] == probe.target || receivers[i] == 0 {
			t.Errorf("kind %d to %d", kind, receivers[i])
		}
	}
	if len(kinds) == 0 || p.probes[0].dueAt() != probe.endAt {
		t.Errorf("%d asked, due at %v", len(kinds), p.probes[0].dueAt())
	}
}

// An ack from the target always ends a probe, an ack from another member only after the indirect pings. An ack for a
// requester is forwarded.
func TestAckEndsProbe(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 4, Seed: 1, ReceiveRate: 400}, 0)
	p.startProbe(2, noRequester)
	p.startProbe(3, pingRequester{node: 1, sequence: 99})
	sendDue(p, 0)
	receive(t, p, 1, header{kind: ack, sequence: 1})
	if len(p.probes) != 2 {
		t.Error("an ack of another member ended the probe before the indirect pings")
	}
	receive(t, p, 2, header{kind: ack, sequence: 7})
	if len(p.probes) != 2 {
		t.Error("an ack with an unknown sequence ended a probe")
	}
	p.probes[0].indirectSent = true
	receive(t, p, 1, header{kind: ack, sequence: 1})
	if len(p.probes) != 1 {
		t.Error("an ack of another member did not end the probe after the indirect pings")
	}
	receive(t, p, 3, header{kind: ack, sequence: 2})
	m, ok := p.Next(0)
	if got, err := decode(m.Payload, 4, 0); !ok || err != nil || m.To != 1 || got.kind != ack || got.sequence != 99 || len(p.probes) > 0 {
		t.Errorf("to %d %+v, %v", m.To, got, err)
	}
}

// A ping for a requester that gets no ack causes no suspicion at this node.
func TestRequestedPingWithoutAckCausesNoSuspicion(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 3, Seed: 1, ReceiveRate: 400}, 0)
	p.nextPingAt = time.Hour
	receive(t, p, 1, header{kind: pingRequest, sequence: 5, target: 2})
	receive(t, p, 1, header{kind: pingRequest, sequence: 6, target: 0}) // this node itself
	if kinds, receivers := sendDue(p, 0); len(kinds) != 1 || kinds[0] != ping || receivers[0] != 2 {
		t.Errorf("%v to %v", kinds, receivers)
	}
	if kinds, _ := sendDue(p, p.period-1); len(kinds) > 0 || len(p.probes) != 1 {
		t.Errorf("%v, %d probes", kinds, len(p.probes))
	}
	if kinds, _ := sendDue(p, p.period); len(kinds) > 0 || len(p.probes) > 0 || p.State(2) != Alive {
		t.Errorf("%v, %d probes, %v", kinds, len(p.probes), p.State(2))
	}
}

// The targets of pings take turns. Dead members are left out.
func TestPingTargetsTakeTurns(t *testing.T) {
	p := New(Config{Self: 2, Nodes: 6, Seed: 3}, 0)
	p.apply(memberUpdate{id: 4, state: Dead})
	pingCounts := map[NodeID]int{}
	for range 40 {
		pingCounts[p.nextTarget()]++
	}
	for id, want := range map[NodeID]int{0: 10, 1: 10, 2: 0, 3: 10, 4: 0, 5: 10, noNode: 0} {
		if pingCounts[id] != want {
			t.Errorf("%d was pinged %d times, want %d", id, pingCounts[id], want)
		}
	}
	for id := range NodeID(6) {
		p.apply(memberUpdate{id: id, state: Dead})
	}
	if id := p.nextTarget(); id != noNode {
		t.Errorf("target %d with all members dead", id)
	}
	if id := p.randomAlive(0); id != noNode {
		t.Errorf("random alive member %d with all members dead", id)
	}
}

// The only node of a fleet sends nothing.
func TestSingleNodeSendsNothing(t *testing.T) {
	p := New(Config{Nodes: 1}, 0)
	if kinds, _ := sendDue(p, time.Second); len(kinds) > 0 || p.WakeAt() != time.Second+p.Period() {
		t.Errorf("%v, wakes at %v", kinds, p.WakeAt())
	}
}
