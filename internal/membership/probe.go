package membership

// Probes.
//
// Inputs: the time, and acks. State: the pings without an ack, and the members' states. Rule (sections 3 and 4 of the SWIM
// paper): one member is pinged per period, in an order that is shuffled for each pass. Without an ack within
// directTimeoutPeriods, indirectProbes other members ping it too. Without an ack within one period the member becomes
// suspect. After suspicionPeriodsPerRound periods per gossip round a suspect becomes dead. Beyond the paper, one dead member
// is pinged per period with the probability deadPingChance. Purpose: indirect pings bypass a single broken link, and pings
// to dead members end a partition. Trade-off: a larger fleet detects a failure later.

import (
	"slices"
	"time"

	"cherrygap/internal/numeric"
)

const (
	// directTimeoutPeriods is the time from a ping to the indirect pings, in periods.
	directTimeoutPeriods = 0.4
	// indirectProbes is the number of members that are asked to ping a member that did not ack.
	indirectProbes = 3
	// suspicionPeriodsPerRound is the time from suspicion to death, in periods per gossip round. Within that time the
	// suspicion can reach the member, and its refutation all others.
	suspicionPeriodsPerRound = 3
	// pingsBeforeFirstMessage is the number of pings per period until the node receives its first message.
	pingsBeforeFirstMessage = 3
	// deadPingChance is the probability, per period, that one dead member is pinged.
	deadPingChance = 0.25
	// randomAliveDraws is the largest number of draws of randomAlive.
	randomAliveDraws = 8
)

// probe is a ping that was sent and has no ack yet.
type probe struct {
	target       NodeID        // pinged member
	sequence     uint64        // sequence of the ping
	requester    pingRequester // noRequester if this node itself started the ping
	indirectAt   time.Duration // time at which the indirect pings are due
	endAt        time.Duration // time at which the target becomes suspect, or a ping for a requester is dropped
	indirectSent bool          // whether the indirect pings were sent
}

// pingRequester is the member that asked for a ping with a pingRequest.
type pingRequester struct {
	node     NodeID // member that sent the pingRequest; noNode if this node itself started the ping
	sequence uint64 // sequence of the pingRequest; repeated in the ack to node
}

// noRequester is the requester of a ping that this node itself started.
var noRequester = pingRequester{node: noNode}

// dueAt returns the time of the next timeout of the ping.
func (p *probe) dueAt() time.Duration {
	if p.indirectSent {
		return p.endAt
	}
	return p.indirectAt
}

// runProbes handles the timeouts of probes and suspicions, and sends the pings of a period once they are due.
func (p *Protocol) runProbes() {
	if p.cfg.Nodes < 2 {
		p.nextPingAt = p.now + p.period
		return
	}
	p.expireProbes()
	p.expireSuspicions()
	if p.now < p.nextPingAt {
		return
	}
	p.nextPingAt = max(p.nextPingAt+p.period, p.now+p.period/2)
	p.pingNext()
	p.pingRandomDead()
}

// expireProbes handles the timeouts of the pending pings. The first timeout causes indirect pings, and the second makes the
// target suspect. A ping for a requester causes neither, and is dropped at its end.
func (p *Protocol) expireProbes() {
	pending := p.probes[:0]
	for _, probe := range p.probes {
		switch {
		case probe.requester != noRequester:
			if p.now >= probe.endAt {
				continue // the requester has its own timeout
			}
		case !probe.indirectSent && p.now >= probe.indirectAt:
			probe.indirectSent = true
			p.requestIndirectPings(&probe)
		case p.now >= probe.endAt:
			p.suspect(probe.target)
			continue
		}
		pending = append(pending, probe)
	}
	p.probes = pending
}

// suspect makes a member suspect if it is alive.
func (p *Protocol) suspect(id NodeID) {
	if m := &p.members[id]; m.state == Alive {
		p.apply(memberUpdate{id: id, state: Suspect, incarnation: m.incarnation})
	}
}

// requestIndirectPings asks up to indirectProbes random members to ping the target of a probe.
func (p *Protocol) requestIndirectPings(probe *probe) {
	for range indirectProbes {
		if relay := p.randomAlive(probe.target); relay != noNode {
			p.enqueue(outgoing{to: relay, kind: pingRequest, sequence: probe.sequence, target: probe.target})
		}
	}
}

// expireSuspicions declares each member dead that has been suspect for suspicionPeriodsPerRound periods per gossip round.
func (p *Protocol) expireSuspicions() {
	timeout := numeric.Truncate[time.Duration](suspicionPeriodsPerRound * p.GossipRounds() * float64(p.period))
	for i := range p.members {
		if m := &p.members[i]; m.state == Suspect && p.now-m.stateSince >= timeout {
			p.apply(memberUpdate{id: NodeID(i), state: Dead, incarnation: m.incarnation})
		}
	}
}

// pingNext pings the next member in turn, or pingsBeforeFirstMessage members until the first message is received. A node
// that has just started considers dead members alive, so several pings reach a live one sooner.
func (p *Protocol) pingNext() {
	pings := 1
	if p.awaitingFirstMessage {
		pings = pingsBeforeFirstMessage
	}
	for range pings {
		if target := p.nextTarget(); target != noNode {
			p.startProbe(target, noRequester)
		}
	}
}

// pingRandomDead pings a random dead member with the probability deadPingChance. These pings reunite a fleet after a
// partition.
func (p *Protocol) pingRandomDead() {
	if p.random.Float64() >= deadPingChance {
		return
	}
	var dead []NodeID
	for i := range p.members {
		if id := NodeID(i); p.members[i].state == Dead && id != p.cfg.Self {
			dead = append(dead, id)
		}
	}
	if len(dead) > 0 {
		p.startProbe(dead[p.random.IntN(len(dead))], noRequester)
	}
}

// nextTarget returns the next member to ping, or noNode if all others are dead. Members take turns in an order that is
// shuffled for each pass. Hence a member that is not dead is the target again after at most 2*Nodes-3 calls (section 4.3 of
// the SWIM paper).
func (p *Protocol) nextTarget() NodeID {
	for range 2 * p.cfg.Nodes {
		if p.pingIndex >= len(p.pingOrder) {
			p.pingOrder, p.pingIndex = p.random.Perm(p.cfg.Nodes), 0
		}
		id := NodeID(p.pingOrder[p.pingIndex])
		p.pingIndex++
		if id != p.cfg.Self && p.members[id].state != Dead {
			return id
		}
	}
	return noNode
}

// randomAlive returns a random member that is alive, is not this node and is not except. The result is noNode if
// randomAliveDraws draws find none.
func (p *Protocol) randomAlive(except NodeID) NodeID {
	for range randomAliveDraws {
		id := NodeID(p.random.IntN(p.cfg.Nodes))
		if id != except && id != p.cfg.Self && p.members[id].state == Alive {
			return id
		}
	}
	return noNode
}

// startProbe pings a member and adds a pending ping. requester is noRequester if this node itself starts the ping.
func (p *Protocol) startProbe(target NodeID, requester pingRequester) {
	p.lastSequence++
	p.probes = append(p.probes, probe{
		target:     target,
		sequence:   p.lastSequence,
		requester:  requester,
		indirectAt: p.now + numeric.Truncate[time.Duration](directTimeoutPeriods*float64(p.period)),
		endAt:      p.now + p.period,
	})
	p.enqueue(outgoing{to: target, kind: ping, sequence: p.lastSequence})
}

// handleAck removes the pending ping that an ack answers, and forwards the ack to the requester if there is one. Before the
// indirect pings are sent, only an ack from the target counts.
func (p *Protocol) handleAck(from NodeID, sequence uint64) {
	i := slices.IndexFunc(p.probes, func(probe probe) bool { return probe.sequence == sequence })
	if i < 0 {
		return
	}
	probe := p.probes[i]
	if probe.target != from && !probe.indirectSent {
		return
	}
	p.probes = slices.Delete(p.probes, i, i+1)
	if probe.requester != noRequester {
		p.enqueue(outgoing{to: probe.requester.node, kind: ack, sequence: probe.requester.sequence})
	}
}
