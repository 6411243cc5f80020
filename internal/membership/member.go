package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a node takes a member for. The values are those on the wire.
type State uint8

// The states, in the order in which the later ones override the earlier ones at the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
)

// incarnation counts how often a member has refuted updates that had it for suspect or dead. An update of a lower
// incarnation is out of date.
type incarnation uint64

// member is what this node knows of one node of the fleet; its own entry holds its incarnation.
type member struct {
	state       State
	incarnation incarnation
	since       time.Duration // in this state
	rejoined    bool          // it was dead at some time,
	rejoinedAt  time.Duration // and is alive again since then
}

// memberUpdate is one piece of gossip about a member.
type memberUpdate struct {
	id          NodeID
	state       State
	incarnation incarnation
}

// State is what this node takes a member for. Its own entry says nothing.
func (p *Protocol) State(id NodeID) State { return p.members[id].state }

// AliveFor tells whether a member has not been back from the dead for less than the time given.
func (p *Protocol) AliveFor(id NodeID, least time.Duration) bool {
	m := &p.members[id]
	return !m.rejoined || p.now-m.rejoinedAt >= least
}

// Version changes whenever the state of a member does.
func (p *Protocol) Version() uint64 { return p.version }

// DeadCount is how many members this node takes for dead.
func (p *Protocol) DeadCount() int {
	count := 0
	for i := range p.members {
		if p.members[i].state == Dead {
			count++
		}
	}
	return count
}

// apply takes over an update about a member and passes it on. This node refutes updates that have itself for suspect
// or dead.
func (p *Protocol) apply(u memberUpdate) {
	if u.id == p.cfg.Self {
		p.refute(u)
		return
	}
	m := &p.members[u.id]
	if u.incarnation < m.incarnation || u.incarnation == m.incarnation && u.state <= m.state {
		return // out of date, or known
	}
	if u.state == m.state {
		m.incarnation = u.incarnation
		return
	}
	switch {
	case m.state == Dead:
		m.rejoined, m.rejoinedAt = true, p.now
		p.counters.Rejoined++
	case u.state == Suspect:
		p.counters.Suspected++
	case u.state == Dead:
		p.counters.Died++
	}
	m.state, m.incarnation, m.since = u.state, u.incarnation, p.now
	p.version++
	p.deadHash = p.hashDead()
	p.gossip.addMember(u)
}

// refute answers an update about this node itself with a higher incarnation.
func (p *Protocol) refute(u memberUpdate) {
	self := &p.members[p.cfg.Self]
	if u.state == Alive || u.incarnation < self.incarnation {
		return
	}
	self.incarnation = u.incarnation + 1
	p.counters.Refuted++
	p.gossip.addMember(memberUpdate{id: p.cfg.Self, state: Alive, incarnation: self.incarnation})
}

// hashDead is a hash of whom this node takes for dead. Nodes whose hashes differ tell each other whom: an update is
// passed on a few times only, so a member that was away at that time would never hear of it.
func (p *Protocol) hashDead() uint32 { return uint32(xxhash.Sum64(p.deadBitmap(0, p.cfg.Nodes))) }

// deadBitmap has one bit for each of count members from first on, set for the dead ones.
func (p *Protocol) deadBitmap(first NodeID, count int) []byte {
	bitmap := make([]byte, (count+7)/8)
	for i := range count {
		id := first + NodeID(i)
		if p.members[id].state == Dead && id != p.cfg.Self {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return bitmap
}

// compareDead takes in whom a peer takes for dead, and returns those of them that live here, so that the peer can be
// sent their incarnations (correct). If the peer's are as high, it objects: the members are suspected here too, hear
// of it, and refute it or die. A peer that has this node itself for dead is refuted at once. So nodes that were cut
// off from each other agree again, and one that has just started learns who is dead.
func (p *Protocol) compareDead(first NodeID, bitmap []byte) (alive []NodeID) {
	for i := range 8 * len(bitmap) {
		id := first + NodeID(i)
		if bitmap[i/8]>>(i%8)&1 == 0 || int(id) >= p.cfg.Nodes {
			continue
		}
		if id == p.cfg.Self {
			p.refute(memberUpdate{id: id, state: Dead, incarnation: p.members[id].incarnation})
		} else if p.members[id].state != Dead {
			alive = append(alive, id)
		}
	}
	// Not all may fit into one message: each time others come first.
	p.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive
}
