package membership

// States of the members.
//
// Inputs: updates about members, from other nodes and from this node's own probes. State: state and incarnation of each
// member. Rule: the update with the higher incarnation holds. At the same incarnation dead overrides suspect, and suspect
// overrides alive (section 4.2 of the SWIM paper). Only the member itself raises its incarnation. In addition, nodes whose
// sets of dead members differ exchange the sets. Purpose: the nodes agree although updates arrive late, repeatedly or not at
// all.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as known to one node. The values are those on the wire.
type State uint8

// Possible states of a member. At the same incarnation a greater state overrides a lesser one.
const (
	Alive State = iota
	Suspect
	Dead
)

// incarnation is the version of a member's state. Only the member itself raises the incarnation, to refute a suspicion or
// its death. An update with a lower incarnation is out of date.
type incarnation uint64

// member is the record of one node of the fleet. The zero value is an alive member that was never dead.
type member struct {
	state       State
	incarnation incarnation
	stateSince  time.Duration // time of the last change of state; 0 before the first
	rejoined    bool          // whether the member has rejoined: was dead, then alive or suspect
	rejoinedAt  time.Duration // time of the last rejoining
}

// memberUpdate is a gossiped update about a member.
type memberUpdate struct {
	id          NodeID
	state       State
	incarnation incarnation
}

// State returns the state of another member. State panics if id is not in the range from 0 to Nodes-1. The result for Self
// is meaningless.
func (p *Protocol) State(id NodeID) State { return p.members[id].state }

// AliveFor reports whether a member last rejoined, after its death, at least minAge ago. The result is true for a member
// that was never dead.
func (p *Protocol) AliveFor(id NodeID, minAge time.Duration) bool {
	m := &p.members[id]
	return !m.rejoined || p.now-m.rejoinedAt >= minAge
}

// Version returns a number that increases with each change of a member's state.
func (p *Protocol) Version() uint64 { return p.version }

// DeadCount returns the number of dead members.
func (p *Protocol) DeadCount() int {
	count := 0
	for i := range p.members {
		if p.members[i].state == Dead {
			count++
		}
	}
	return count
}

// apply applies an update about a member. An update that changes the member's state is gossiped. An update that calls this
// node suspect or dead is refuted.
func (p *Protocol) apply(u memberUpdate) {
	if u.id == p.cfg.Self {
		p.refute(u)
		return
	}
	m := &p.members[u.id]
	if !u.overrides(m) {
		return
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
	m.state, m.incarnation, m.stateSince = u.state, u.incarnation, p.now
	p.version++
	p.deadHash = p.hashDead()
	p.gossip.addMember(u)
}

// overrides reports whether the update is newer than the record of its member.
func (u memberUpdate) overrides(m *member) bool {
	if u.incarnation != m.incarnation {
		return u.incarnation > m.incarnation
	}
	return u.state > m.state
}

// refute raises this node's incarnation above that of an update about this node, and gossips the new incarnation. refute
// ignores an update that is out of date or says alive.
func (p *Protocol) refute(u memberUpdate) {
	self := &p.members[p.cfg.Self]
	if u.state == Alive || u.incarnation < self.incarnation {
		return
	}
	self.incarnation = u.incarnation + 1
	p.counters.Refuted++
	p.gossip.addMember(memberUpdate{id: p.cfg.Self, state: Alive, incarnation: self.incarnation})
}

// hashDead returns a hash of the set of dead members. Nodes whose hashes differ exchange the sets. Gossip alone is not
// enough: each update is sent a few times only, and a member that is unreachable then never receives it.
func (p *Protocol) hashDead() uint32 { return uint32(xxhash.Sum64(p.deadBitmap(0, p.cfg.Nodes))) }

// deadBitmap returns a bitmap of count members from firstMember on, lowest bit first. The bit of a dead member is set.
func (p *Protocol) deadBitmap(firstMember NodeID, count int) []byte {
	bitmap := make([]byte, (count+7)/8)
	for i := range count {
		id := firstMember + NodeID(i)
		if p.members[id].state == Dead && id != p.cfg.Self {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return bitmap
}

// compareDead compares the bitmap of a peer's dead members with this node's records. firstMember is the member of the first
// bit. compareDead returns the members that are dead at the peer and not here. Their order is random because one message may
// not hold all of them.
//
// The caller sends the peer a correction with their incarnations. If the incarnations at the peer are at least as high, the
// peer answers with a dispute. The members then become suspect here too, and refute the suspicion or die. If the peer
// considers this node dead, compareDead refutes that. Thus the halves of a partitioned fleet converge, and a node that has
// just started learns the dead members.
func (p *Protocol) compareDead(firstMember NodeID, bitmap []byte) (notDead []NodeID) {
	for i := range 8 * len(bitmap) {
		id := firstMember + NodeID(i)
		if bitmap[i/8]>>(i%8)&1 == 0 || int(id) >= p.cfg.Nodes {
			continue
		}
		if id == p.cfg.Self {
			p.refute(memberUpdate{id: id, state: Dead, incarnation: p.members[id].incarnation})
		} else if p.members[id].state != Dead {
			notDead = append(notDead, id)
		}
	}
	p.random.Shuffle(len(notDead), func(i, j int) { notDead[i], notDead[j] = notDead[j], notDead[i] })
	return notDead
}
