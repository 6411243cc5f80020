package healthcheck

import (
	"time"

	"cherrygap/internal/membership"
)

// Pacing of the tasks.
const (
	minIntervalRounds = 3    // ping periods per gossip round, between two runs: by then all know of a death
	handoverRounds    = 3    // ping periods per gossip round, for which the tasks of a member that rejoined have two owners,
	handoverPeriods   = 2    // and so many periods more: by then its return has reached most of the fleet
	firstRunWithin    = 0.25 // share of the interval, within which a new task is run first,
	firstRunPlaces    = 1024 // at one of so many points by the task's hash: new servers are not all probed at once
	backupDelayShare  = 0.25 // share of the interval, by which the backup owner runs a task later than the primary one
	sameRunShare      = 8    // ends within this part (1/n) of a period of each other are those of one run
)

// task is a Check with this node's state of it.
type task struct {
	check     Check
	ranking   ranking
	lastRunAt time.Duration // by any node, as far as is known here
	running   bool          // here
	ownership ownership     // as of the last updateOwnership
	listed    bool          // in the last SetChecks
}

// Scheduler decides what one node of the fleet runs and sends.
type Scheduler struct {
	members  *membership.Protocol
	now      time.Duration
	interval time.Duration // between two runs of a task
	handover time.Duration // for which the tasks of a member that rejoined have two owners
	counters Counters      // without those of members

	tasks []task
	index map[Check]int // into tasks
	ended []Step        // runs by other nodes that Next has not returned yet

	tasksChanged     bool          // since the last updateOwnership
	ownershipVersion uint64        // of the members, at that time
	ownershipDueAt   time.Duration // the next one
}

// New returns a Scheduler without tasks that considers every other node alive. now is the time since any origin; it must not
// decrease.
func New(cfg Config, now time.Duration) *Scheduler {
	members := membership.New(membership.Config{
		Self:        cfg.Self,
		Nodes:       cfg.Nodes,
		Seed:        cfg.Seed,
		ReceiveRate: cfg.ReceiveRate,
		SendRate:    cfg.SendRate,
		EventKinds:  uint8(kinds),
	}, now)
	s := &Scheduler{members: members, now: now, index: map[Check]int{}, ownershipDueAt: now}
	rounds, period := members.GossipRounds(), float64(members.Period())
	s.interval = max(cfg.Interval, time.Duration(minIntervalRounds*rounds*period))
	s.handover = time.Duration(period * (handoverPeriods + handoverRounds*rounds))
	return s
}

// Period returns the time between two pings of this node.
func (s *Scheduler) Period() time.Duration { return s.members.Period() }

// Interval returns the time between two runs of one task: Config.Interval, or longer where the members can't be watched closely
// enough for it.
func (s *Scheduler) Interval() time.Duration { return s.interval }

// DeadCount returns the number of nodes that are considered dead.
func (s *Scheduler) DeadCount() int { return s.members.DeadCount() }

// Counters returns the counts since New.
func (s *Scheduler) Counters() Counters {
	counters := s.counters
	counters.Counters = s.members.Counters()
	return counters
}

func (s *Scheduler) advance(now time.Duration) { s.now = s.members.Advance(now) }

// SetChecks replaces the tasks. A new one is run first within a quarter of an interval, at a point that depends on its hash.
func (s *Scheduler) SetChecks(now time.Duration, checks []Check) {
	s.advance(now)
	for i := range s.tasks {
		s.tasks[i].listed = false
	}
	for _, check := range checks {
		i, known := s.index[check]
		if !known {
			i = len(s.tasks)
			s.index[check] = i
			s.tasks = append(s.tasks, s.newTask(check))
		}
		s.tasks[i].listed = true
	}
	listed := s.tasks[:0]
	for _, t := range s.tasks {
		if t.listed {
			s.index[t.check] = len(listed)
			listed = append(listed, t)
		} else {
			delete(s.index, t.check)
		}
	}
	s.tasks, s.tasksChanged = listed, true
}

func (s *Scheduler) newTask(c Check) task {
	const noNode NodeID = -1 // so that the point is the same at all nodes
	place := firstRunWithin * float64(c.hash(noNode)%firstRunPlaces) / firstRunPlaces
	lastRunAt := s.now - time.Duration((1-place)*float64(s.interval))
	return task{check: c, ranking: c.rank(s.members.Nodes()), lastRunAt: lastRunAt}
}

// CheckEnded reports the result of a Run step. It is gossiped to the other nodes.
func (s *Scheduler) CheckEnded(now time.Duration, c Check, ok bool) {
	s.advance(now)
	i, known := s.index[c]
	if !known {
		return
	}
	t := &s.tasks[i]
	t.running, t.lastRunAt = false, now
	s.members.Publish(membership.Event{Kind: uint8(c.Kind), ID: uint64(c.ID), OK: ok, At: now})
}

// ReceivePeerMessage processes a message of another node. An error wraps ErrMalformed; the message is ignored then.
func (s *Scheduler) ReceivePeerMessage(now time.Duration, from NodeID, text []byte) error {
	s.advance(now)
	return s.members.Receive(now, from, text, s.receiveEvent)
}

// receiveEvent processes the result of another node's run, once per run, and reports whether it is news.
func (s *Scheduler) receiveEvent(e membership.Event) (isNews bool) {
	check := Check{Kind: Kind(e.Kind), ID: CheckID(e.ID)}
	i, known := s.index[check]
	if !known || e.At <= s.tasks[i].lastRunAt+s.members.Period()/sameRunShare {
		return false
	}
	s.tasks[i].lastRunAt = e.At
	s.ended = append(s.ended, Step{Kind: Ended, Check: check, OK: e.OK})
	return true
}

// dueAt returns when this node has to run a task that it owns: an interval after the last run by any node, or later if this
// node is the backup owner.
func (s *Scheduler) dueAt(t *task) time.Duration {
	at := t.lastRunAt + s.interval
	if !t.ownership.primary {
		at += time.Duration(backupDelayShare * float64(s.interval))
	}
	return at
}

// Next returns the next decision, or false if there is none now.
func (s *Scheduler) Next(now time.Duration) (Step, bool) {
	s.advance(now)
	if len(s.ended) > 0 {
		step := s.ended[0]
		s.ended = s.ended[1:]
		return step, true
	}
	if message, ok := s.members.Next(now); ok {
		return Step{Kind: Send, To: message.To, Text: message.Text}, true
	}
	s.updateOwnership()
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.ownership.owner || t.running || now < s.dueAt(t) {
			continue
		}
		t.running = true
		s.counters.Checks++
		if !t.ownership.primary {
			s.counters.BackupChecks++
		}
		return Step{Kind: Run, Check: t.check, Timeout: s.members.Period()}, true
	}
	return Step{}, false
}

// Wake returns how long the host may wait until it has to call Next again, if it reports nothing before.
func (s *Scheduler) Wake(now time.Duration) time.Duration {
	s.advance(now)
	at := min(s.members.WakeAt(), s.ownershipDueAt)
	for i := range s.tasks {
		if t := &s.tasks[i]; t.ownership.owner && !t.running {
			at = min(at, s.dueAt(t))
		}
	}
	return max(at-now, time.Millisecond)
}
