package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a node considers a member to be. The values are those on the wire.
type State uint8

// The states, in the order in which the later ones override the earlier ones at the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
)

// incarnation counts how often a member has refuted updates that said that it is suspect or dead. An update with a lower
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

// State returns the state of a member. The state of this node itself is meaningless.
func (p *Protocol) State(id NodeID) State { return p.members[id].state }

// AliveFor reports whether it is at least the given time since a member rejoined; true if it was never dead.
func (p *Protocol) AliveFor(id NodeID, least time.Duration) bool {
	m := &p.members[id]
	return !m.rejoined || p.now-m.rejoinedAt >= least
}

// Version changes whenever the state of a member does.
func (p *Protocol) Version() uint64 { return p.version }

// DeadCount returns the number of members that are considered dead.
func (p *Protocol) DeadCount() int {
	count := 0
	for i := range p.members {
		if p.members[i].state == Dead {
			count++
		}
	}
	return count
}

// apply applies an update about a member and gossips it if it is news. Updates about this node itself are refuted.
func (p *Protocol) apply(u memberUpdate) {
	if u.id == p.cfg.Self {
		p.refute(u)
		return
	}
	m := &p.members[u.id]
	if u.incarnation < m.incarnation || u.incarnation == m.incarnation && u.state <= m.state {
		return // out of date or already known
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

// hashDead returns a hash of the set of dead members. Nodes whose hashes differ exchange the sets: an update is gossiped a
// few times only, so a member that was unreachable at that time would never receive it.
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

// compareDead compares a peer's set of dead members with this node's, and returns those that are not dead here, so that the
// peer can be sent their incarnations (correct). If its incarnations are as high, the peer objects: the members become
// suspect here too, receive that update, and refute it or die. If the peer considers this node itself dead, that is refuted
// at once. So nodes that were cut off from each other converge, and one that has just started learns who is dead.
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
	// Not all may fit into one message: other ones come first each time.
	p.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive
}
