package healthcheck

// Schedule of the checks.
//
//   - Inputs: the set of checks, the results of runs at any node, and the time.
//   - State: the time of the last known run of each check.
//   - Rule: the primary owner runs a check one interval after its last run. A backup owner waits backupDelayIntervals
//     longer. The first runs of new checks are spread over firstRunIntervals.
//   - Protects against: a burst of checks when many servers are new, and duplicate runs.
//   - Trade-off: after a failure of the owner, one run may be late.

import (
	"time"

	"cherrygap/internal/membership"
	"cherrygap/internal/numeric"
)

const (
	// minIntervalPeriodsPerRound is the shortest interval, in ping periods per gossip round. All nodes learn of a member's
	// death within that time, so that the member's checks miss one run at most.
	minIntervalPeriodsPerRound = 3
	// firstRunIntervals is the maximum time from SetChecks to the first run of a new check, in intervals.
	firstRunIntervals = 0.25
	// firstRunSlots is the number of different times within firstRunIntervals at which first runs begin.
	firstRunSlots = 1024
	// backupDelayIntervals is the delay of the backup owner's run after the primary owner's, in intervals.
	backupDelayIntervals = 0.25
	// sameRunDivisor defines which reports are about the same run: those whose run times differ by at most the ping period
	// divided by sameRunDivisor.
	sameRunDivisor = 8
)

// checkState is the state of a check at this node.
type checkState struct {
	check     Check
	ranking   ranking
	lastRunAt time.Duration // time of the last known run at any node; before the first, see newCheckState
	running   bool          // whether this node is running the check
	ownership Ownership     // this node's role, as of the last updateOwnership
	listed    bool          // whether the current SetChecks contains the check
}

// Scheduler schedules the checks at one node. It is not safe for concurrent use.
type Scheduler struct {
	members  *membership.Protocol
	now      time.Duration
	interval time.Duration // time between two runs of a check
	handover time.Duration // time for which a member that rejoined shares its checks with a backup owner
	counters Counters      // counts since New; the embedded membership.Counters is unused

	checks []checkState
	index  map[Check]int // index of each check in checks
	ended  []Step        // Ended steps that Next has not returned yet

	checksChanged    bool          // whether SetChecks was called since the last updateOwnership
	ownershipVersion uint64        // members.Version at the last updateOwnership
	ownershipDueAt   time.Duration // time from which the next updateOwnership recomputes the roles in any case
}

// New returns a Scheduler without checks that considers every other node alive. now is the time since any fixed origin. The
// times of later calls must have the same origin.
func New(cfg Config, now time.Duration) *Scheduler {
	members := membership.New(membership.Config{
		Self:        cfg.Self,
		Nodes:       cfg.Nodes,
		Seed:        cfg.Seed,
		ReceiveRate: cfg.ReceiveRate,
		SendRate:    cfg.SendRate,
		EventKinds:  uint8(lastKind),
	}, now)
	s := &Scheduler{members: members, now: now, index: map[Check]int{}, ownershipDueAt: now}
	rounds, period := members.GossipRounds(), float64(members.Period())
	s.interval = max(cfg.Interval, numeric.Truncate[time.Duration](minIntervalPeriodsPerRound*rounds*period))
	s.handover = numeric.Truncate[time.Duration](period * (handoverExtraPeriods + handoverPeriodsPerRound*rounds))
	return s
}

// Period returns the time between two pings of this node.
func (s *Scheduler) Period() time.Duration { return s.members.Period() }

// Interval returns the time between two runs of one check: Config.Interval, or longer in a fleet that needs more time to
// detect a dead member.
func (s *Scheduler) Interval() time.Duration { return s.interval }

// DeadCount returns the number of nodes that are considered dead.
func (s *Scheduler) DeadCount() int { return s.members.DeadCount() }

// Counters returns the counts since New.
func (s *Scheduler) Counters() Counters {
	counters := s.counters
	counters.Counters = s.members.Counters()
	return counters
}

// advance sets the current time. It ignores a time before the current one.
func (s *Scheduler) advance(now time.Duration) { s.now = s.members.Advance(now) }

// SetChecks replaces the set of checks. Checks that are in both sets keep their state. A new check first runs within
// firstRunIntervals, at a time that depends on its hash.
func (s *Scheduler) SetChecks(now time.Duration, checks []Check) {
	s.advance(now)
	for i := range s.checks {
		s.checks[i].listed = false
	}
	for _, check := range checks {
		i, known := s.index[check]
		if !known {
			i = len(s.checks)
			s.index[check] = i
			s.checks = append(s.checks, s.newCheckState(check))
		}
		s.checks[i].listed = true
	}
	listed := s.checks[:0]
	for _, c := range s.checks {
		if c.listed {
			s.index[c.check] = len(listed)
			listed = append(listed, c)
		} else {
			delete(s.index, c.check)
		}
	}
	s.checks, s.checksChanged = listed, true
}

// newCheckState returns the state of a new check. It sets lastRunAt so that the first run is due within firstRunIntervals,
// at the same offset at all nodes.
func (s *Scheduler) newCheckState(c Check) checkState {
	const noNode NodeID = -1
	offsetIntervals := firstRunIntervals * float64(c.hash(noNode)%firstRunSlots) / firstRunSlots
	lastRunAt := s.now - numeric.Truncate[time.Duration]((1-offsetIntervals)*float64(s.interval))
	return checkState{check: c, ranking: c.rank(s.members.Nodes()), lastRunAt: lastRunAt}
}

// CheckEnded reports the result of a Run step. The result is gossiped to the other nodes. A check that is not in the last
// SetChecks is ignored.
func (s *Scheduler) CheckEnded(now time.Duration, c Check, ok bool) {
	s.advance(now)
	i, known := s.index[c]
	if !known {
		return
	}
	s.checks[i].running, s.checks[i].lastRunAt = false, now
	s.members.Publish(membership.Event{Kind: uint8(c.Kind), ID: uint64(c.ID), OK: ok, At: now})
}

// ReceivePeerMessage processes a peer message from the node from. An error wraps ErrMalformed. A message with an error
// changes only the counters and the clock.
func (s *Scheduler) ReceivePeerMessage(now time.Duration, from NodeID, payload []byte) error {
	s.advance(now)
	return s.members.Receive(now, from, payload, s.receiveEvent)
}

// receiveEvent processes the result of a run at another node. It reports whether the check is in the set and the
// run is later than the last known one.
func (s *Scheduler) receiveEvent(e membership.Event) (isNew bool) {
	check := Check{Kind: Kind(e.Kind), ID: CheckID(e.ID)}
	i, known := s.index[check]
	if !known || e.At <= s.checks[i].lastRunAt+s.members.Period()/sameRunDivisor {
		return false
	}
	s.checks[i].lastRunAt = e.At
	s.ended = append(s.ended, Step{Kind: Ended, Check: check, OK: e.OK})
	return true
}

// dueAt returns the time at which this node is due to run a check that it owns.
func (s *Scheduler) dueAt(c *checkState) time.Duration {
	at := c.lastRunAt + s.interval
	if c.ownership != PrimaryOwner {
		at += numeric.Truncate[time.Duration](backupDelayIntervals * float64(s.interval))
	}
	return at
}

// Next returns the next step. It returns false if there is none at the time now.
func (s *Scheduler) Next(now time.Duration) (Step, bool) {
	s.advance(now)
	if len(s.ended) > 0 {
		step := s.ended[0]
		s.ended = s.ended[1:]
		return step, true
	}
	if message, ok := s.members.Next(now); ok {
		return Step{Kind: Send, To: message.To, Payload: message.Payload}, true
	}
	s.updateOwnership()
	for i := range s.checks {
		if c := &s.checks[i]; c.awaitsRun() && now >= s.dueAt(c) {
			return s.run(c), true
		}
	}
	return Step{}, false
}

// awaitsRun reports whether this node owns the check and is not running it.
func (c *checkState) awaitsRun() bool { return c.ownership != NotOwner && !c.running }

// run records that this node starts a run of a check, and returns the Run step.
func (s *Scheduler) run(c *checkState) Step {
	c.running = true
	s.counters.Checks++
	if c.ownership == BackupOwner {
		s.counters.BackupChecks++
	}
	return Step{Kind: Run, Check: c.check, Timeout: s.members.Period()}
}

// WakeAfter returns the time from now within which the host must call Next again, unless the host reports an event before.
// The result is at least a millisecond.
func (s *Scheduler) WakeAfter(now time.Duration) time.Duration {
	s.advance(now)
	at := min(s.members.WakeAt(), s.ownershipDueAt)
	for i := range s.checks {
		if c := &s.checks[i]; c.awaitsRun() {
			at = min(at, s.dueAt(c))
		}
	}
	return max(at-now, time.Millisecond)
}
