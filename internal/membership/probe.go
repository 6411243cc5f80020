package membership

import (
	"slices"
	"time"
)

// pendingPing is a ping whose ack is awaited.
type pendingPing struct {
	target    NodeID
	sequence  uint64
	directEnd time.Duration // if there is no ack by then, other members are asked to ping the target
	end       time.Duration // if there is none by then, the target becomes suspect
	indirect  bool          // other members were asked

	requester         NodeID // the member that asked for this ping; noNode for a ping of this node's own
	requesterSequence uint64 // of the requester's ping, for the ack to it
}

// dueAt returns the time at which the probe has to be checked next.
func (p *pendingPing) dueAt() time.Duration {
	if p.indirect {
		return p.end
	}
	return p.directEnd
}

// probe updates the pending probes and suspicions, and sends the pings that are due.
func (p *Protocol) probe() {
	if p.cfg.Nodes < 2 {
		p.nextPingAt = p.now + p.period
		return
	}
	p.checkProbes()
	p.expireSuspicions()
	if p.now < p.nextPingAt {
		return
	}
	p.nextPingAt = max(p.nextPingAt+p.period, p.now+p.period/2)
	p.pingNext()
	p.pingSomeDead()
}

// checkProbes starts indirect pings of targets that did not answer directly, and suspects those that answered neither.
func (p *Protocol) checkProbes() {
	pending := p.probes[:0]
	for _, probe := range p.probes {
		switch {
		case probe.requester != noNode:
			if p.now >= probe.end {
				continue // the requester has its own timeout
			}
		case !probe.indirect && p.now >= probe.directEnd:
			probe.indirect = true
			p.requestPings(&probe)
		case p.now >= probe.end:
			if m := &p.members[probe.target]; m.state == Alive {
				p.apply(memberUpdate{id: probe.target, state: Suspect, incarnation: m.incarnation})
			}
			continue
		}
		pending = append(pending, probe)
	}
	p.probes = pending
}

// requestPings asks some members to ping the target of a probe.
func (p *Protocol) requestPings(probe *pendingPing) {
	for range indirectProbes {
		if helper := p.randomAlive(probe.target); helper != noNode {
			p.send(outgoing{to: helper, kind: pingRequest, sequence: probe.sequence, target: probe.target})
		}
	}
}

// expireSuspicions declares suspects dead that did not refute it in time.
func (p *Protocol) expireSuspicions() {
	timeout := time.Duration(suspicionRounds * p.GossipRounds() * float64(p.period))
	for i := range p.members {
		if m := &p.members[i]; m.state == Suspect && p.now-m.since >= timeout {
			p.apply(memberUpdate{id: NodeID(i), state: Dead, incarnation: m.incarnation})
		}
	}
}

// pingNext pings the next member in turn, or several until the first message comes in.
func (p *Protocol) pingNext() {
	pings := 1
	if p.receivedNone { // until a peer answers, this node considers dead members alive
		pings = lonelyPings
	}
	for range pings {
		if target := p.nextTarget(); target != noNode {
			p.ping(target, noNode, 0)
		}
	}
}

// pingSomeDead pings a dead member now and then, so that halves of a partitioned fleet find each other again.
func (p *Protocol) pingSomeDead() {
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
		p.ping(dead[p.random.IntN(len(dead))], noNode, 0)
	}
}

// nextTarget returns the next member to ping, or noNode if all are dead. Members take turns in an order that is shuffled
// anew for each round, so that each is pinged by someone about once a period and none is left out for over two rounds.
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

// randomAlive returns a random member that is alive and not the given one, or noNode if a few draws find none.
func (p *Protocol) randomAlive(except NodeID) NodeID {
	const draws = 8
	for range draws {
		id := NodeID(p.random.IntN(p.cfg.Nodes))
		if id != except && id != p.cfg.Self && p.members[id].state == Alive {
			return id
		}
	}
	return noNode
}

// ping sends a ping, on another's behalf if requester is not noNode.
func (p *Protocol) ping(target, requester NodeID, requesterSequence uint64) {
	p.lastSequence++
	p.probes = append(p.probes, pendingPing{
		target:            target,
		sequence:          p.lastSequence,
		directEnd:         p.now + time.Duration(directTimeoutShare*float64(p.period)),
		end:               p.now + p.period,
		requester:         requester,
		requesterSequence: requesterSequence,
	})
	p.send(outgoing{to: target, kind: ping, sequence: p.lastSequence})
}

// acked ends the probe that an ack answers, and acks the member that requested it, if any.
func (p *Protocol) acked(from NodeID, sequence uint64) {
	i := slices.IndexFunc(p.probes, func(probe pendingPing) bool { return probe.sequence == sequence })
	if i < 0 {
		return
	}
	probe := p.probes[i]
	if probe.target != from && !probe.indirect { // an ack from a helper counts only once helpers were asked
		return
	}
	p.probes = slices.Delete(p.probes, i, i+1)
	if probe.requester != noNode {
		p.send(outgoing{to: probe.requester, kind: ack, sequence: probe.requesterSequence})
	}
}
