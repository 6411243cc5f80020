package healthcheck

// Ownership of the checks.
//
//   - Inputs: the states of the members, and the time.
//   - State: the rendezvous ranking of all nodes for each check (Thaler and Ravishankar: "Using Name-Based Mappings to
//     Increase Hit Rates", 1998).
//   - Rule: see Scheduler.ownershipOf. When a node leaves, only its own checks move to other nodes.
//   - Protects against: checks that no node runs while members fail or rejoin.
//   - Trade-off: two nodes may run the same check during that time.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrygap/internal/membership"
)

const (
	// handoverPeriodsPerRound and handoverExtraPeriods define the handover time, for which a member that rejoined shares its
	// checks with a backup owner. They are ping periods per gossip round, and additional ping periods. After that time, most
	// members have received the update about the rejoined member.
	handoverPeriodsPerRound = 3
	handoverExtraPeriods    = 2
)

// Ownership is the role of a node for a check.
type Ownership uint8

const (
	// NotOwner means that the node does not run the check.
	NotOwner Ownership = iota
	// BackupOwner means that the node runs the check if no node has run it for 1 + backupDelayIntervals intervals.
	BackupOwner
	// PrimaryOwner means that the node runs the check once per interval.
	PrimaryOwner
)

// hash returns the rendezvous hash of a check and a node. The node with the highest hash is the first in the ranking.
func (c Check) hash(node NodeID) uint64 {
	var key [17]byte
	key[0] = byte(c.Kind)
	binary.LittleEndian.PutUint64(key[1:], uint64(c.ID))
	binary.LittleEndian.PutUint64(key[9:], uint64(node))
	return xxhash.Sum64(key[:])
}

// ranking is the rendezvous order of a fleet's nodes for a check. Each element is a NodeID in two bytes, because every
// check holds a ranking of the whole fleet.
type ranking []uint16

// rank returns the ranking of a fleet of the given size for a check.
func (c Check) rank(nodes int) ranking {
	hashes, order := make([]uint64, nodes), make(ranking, nodes)
	for i := range nodes {
		hashes[i], order[i] = c.hash(NodeID(i)), uint16(i)
	}
	slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(hashes[b], hashes[a]) })
	return order
}

// ownershipOf returns this node's role for a check with a given ranking. Dead members never own a check.
//
// The first member that did not rejoin recently is an owner, even if it is suspect. The first member that is not suspect is
// an owner, even if it rejoined recently; it is the primary owner. Usually both are the same member. They differ while
// a member is suspect, and for the handover time after a member has rejoined.
func (s *Scheduler) ownershipOf(order ranking) Ownership {
	const none NodeID = -1
	self := s.members.Self()
	firstSettled, firstUnsuspected := none, none
	for _, number := range order {
		node := NodeID(number)
		state := s.members.State(node)
		if state == membership.Dead && node != self {
			continue
		}
		if firstSettled == none && (node == self || s.members.AliveFor(node, s.handover)) {
			firstSettled = node
		}
		if firstUnsuspected == none && (node == self || state == membership.Alive) {
			firstUnsuspected = node
		}
		if firstSettled != none && firstUnsuspected != none {
			break
		}
	}
	switch self {
	case firstUnsuspected:
		return PrimaryOwner
	case firstSettled:
		return BackupOwner
	}
	return NotOwner
}

// Ownership returns this node's role for a check at the time now. It is NotOwner for a check that is not in the last
// SetChecks.
func (s *Scheduler) Ownership(now time.Duration, c Check) Ownership {
	s.advance(now)
	index, known := s.index[c]
	if !known {
		return NotOwner
	}
	return s.ownershipOf(s.checks[index].ranking)
}

// OwnedCount returns the number of checks that this node owns at the time now, as the primary or the backup owner.
func (s *Scheduler) OwnedCount(now time.Duration) int {
	s.advance(now)
	count := 0
	for i := range s.checks {
		if s.ownershipOf(s.checks[i].ranking) != NotOwner {
			count++
		}
	}
	return count
}

// updateOwnership recomputes this node's role for all checks if a member's state or the set of checks has changed. It also
// does so once per ping period, because the handover of a rejoined member ends by time alone.
func (s *Scheduler) updateOwnership() {
	version := s.members.Version()
	if !s.checksChanged && version == s.ownershipVersion && s.now < s.ownershipDueAt {
		return
	}
	s.checksChanged, s.ownershipVersion, s.ownershipDueAt = false, version, s.now+s.members.Period()
	for i := range s.checks {
		s.checks[i].ownership = s.ownershipOf(s.checks[i].ranking)
	}
}
