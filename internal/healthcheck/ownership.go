package healthcheck

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrygap/internal/membership"
)

// ownership is the role of this node for a task.
type ownership struct {
	owner   bool // this node runs it,
	primary bool // as the primary owner, not as the backup
}

// hash is the rendezvous hash of a task and a node. The node with the highest hash comes first.
func (c Check) hash(node NodeID) uint64 {
	var b [17]byte
	b[0] = byte(c.Kind)
	binary.LittleEndian.PutUint64(b[1:], uint64(c.ID))
	binary.LittleEndian.PutUint64(b[9:], uint64(node))
	return xxhash.Sum64(b[:])
}

// ranking is the rendezvous order of the nodes for a task: the owner is the first one that is alive. Node numbers are
// stored in two bytes because each task has a ranking of the whole fleet.
type ranking []uint16

// rank returns the order of a fleet's nodes for a task.
func (c Check) rank(nodes int) ranking {
	hashes, order := make([]uint64, nodes), make(ranking, nodes)
	for i := range nodes {
		hashes[i], order[i] = c.hash(NodeID(i)), uint16(i)
	}
	slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(hashes[b], hashes[a]) })
	return order
}

// ownership determines this node's role from a task's ranking. While members join and leave, a task has two owners: the
// first member without those that rejoined recently but with suspects, and the first one with the rejoined but without
// suspects. The latter is the primary owner, so that the tasks of a suspect are run before it is known to be dead.
func (s *Scheduler) ownership(order ranking) ownership {
	const none NodeID = -1
	settled, likely := none, none
	for _, number := range order {
		node := NodeID(number)
		isSelf, state := node == s.members.Self(), s.members.State(node)
		if state == membership.Dead && !isSelf {
			continue
		}
		if settled == none && (isSelf || s.members.AliveFor(node, s.handover)) {
			settled = node
		}
		if likely == none && (isSelf || state == membership.Alive) {
			likely = node
		}
		if settled != none && likely != none {
			break
		}
	}
	self := s.members.Self()
	return ownership{owner: settled == self || likely == self, primary: likely == self}
}

// Owns reports whether this node owns a task now, and whether as its primary owner.
func (s *Scheduler) Owns(now time.Duration, c Check) (owner, primary bool) {
	s.advance(now)
	index, known := s.index[c]
	if !known {
		return false, false
	}
	part := s.ownership(s.tasks[index].ranking)
	return part.owner, part.primary
}

// OwnedCount returns how many tasks this node owns now.
func (s *Scheduler) OwnedCount(now time.Duration) int {
	s.advance(now)
	count := 0
	for i := range s.tasks {
		if s.ownership(s.tasks[i].ranking).owner {
			count++
		}
	}
	return count
}

// updateOwnership recomputes the owners if members or tasks changed, and once a period, as members that rejoined become
// settled by the passage of time.
func (s *Scheduler) updateOwnership() {
	if version := s.members.Version(); s.tasksChanged || version != s.ownershipVersion || s.now >= s.ownershipDueAt {
		s.tasksChanged, s.ownershipVersion, s.ownershipDueAt = false, version, s.now+s.members.Period()
		for i := range s.tasks {
			s.tasks[i].ownership = s.ownership(s.tasks[i].ranking)
		}
	}
}
