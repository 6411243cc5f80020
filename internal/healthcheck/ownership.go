package healthcheck

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrygap/internal/membership"
)

// ownership is which part this node has in a task.
type ownership struct {
	owner   bool // this node carries it out,
	primary bool // as the first owner; else it stands in
}

// hash places a task at a node: of all nodes the one with the highest hash comes first.
func (c Check) hash(node NodeID) uint64 {
	var b [17]byte
	b[0] = byte(c.Kind)
	binary.LittleEndian.PutUint64(b[1:], uint64(c.ID))
	binary.LittleEndian.PutUint64(b[9:], uint64(node))
	return xxhash.Sum64(b[:])
}

// ranking is the order in which nodes would own a task (rendezvous hashing): the first has it, if it is alive; else the
// next. A node's number takes two bytes here, since a large fleet ranks as many nodes for each task.
type ranking []uint16

// rank orders the nodes of a fleet for a task.
func (c Check) rank(nodes int) ranking {
	hashes, order := make([]uint64, nodes), make(ranking, nodes)
	for i := range nodes {
		hashes[i], order[i] = c.hash(NodeID(i)), uint16(i)
	}
	slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(hashes[b], hashes[a]) })
	return order
}

// ownership goes down a task's ranking. While members come and go a task has two owners: the first of all but
// newcomers, suspects included, and the first of newcomers too, but without suspects. The latter is the primary one:
// should a suspect be dead, its tasks are run without waiting for the proof.
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

// Owns tells whether this node owns a task now, and whether as its primary owner.
func (s *Scheduler) Owns(now time.Duration, c Check) (owner, primary bool) {
	s.advance(now)
	index, known := s.index[c]
	if !known {
		return false, false
	}
	part := s.ownership(s.tasks[index].ranking)
	return part.owner, part.primary
}

// OwnedCount is how many tasks this node owns now.
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

// updateOwnership brings up to date which tasks are this node's, if members or tasks changed, and once a period:
// newcomers become settled by time alone.
func (s *Scheduler) updateOwnership() {
	if version := s.members.Version(); s.tasksChanged || version != s.ownershipVersion || s.now >= s.ownershipDueAt {
		s.tasksChanged, s.ownershipVersion, s.ownershipDueAt = false, version, s.now+s.members.Period()
		for i := range s.tasks {
			s.tasks[i].ownership = s.ownership(s.tasks[i].ranking)
		}
	}
}
