// Package healthcheck decides who of a fleet's edge nodes carries out a periodic duty (check an app server, refresh a
// list, call the counter for some customers), and when. It holds no I/O and no clock: the host tells the time with
// each call, reports what came in (Heard, Set, Ran), which only updates what is known, and pulls decisions with Next
// until there is none. The same calls with the same seed give the same decisions.
//
// Three parts: members.go, who is alive (after SWIM: ping, indirect ping, suspicion, word of it riding on the
// messages that go out anyway); this file, who owns a duty (rendezvous hashing over the members) and when it is run;
// message.go, the messages. docs/design-duties.md has the options considered, docs/duties.md is the operators' page.
package healthcheck

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tuned values, as ratios to the settings.
const (
	takeShare   = 0.125 // of the messages that a node takes in, for duties
	pingCost    = 4     // messages that a node takes in a period: a ping, an answer, now and then one for others
	directPart  = 0.4   // of a period, in which a direct ping is to be answered
	helpers     = 3     // nodes asked to ping a silent one in this node's place
	suspectFor  = 3     // periods a doubling of the members, from suspicion to death: a word goes out, another back
	tellTimes   = 3     // times a doubling of the members, that a word on one is passed on; one on a duty, once
	deadAgain   = 0.25  // chance a period that a dead member is pinged: halves that were cut off find each other again
	standIn     = 0.25  // of a duty's period, that a second owner leaves the first one to run it
	mostNodes   = 1 << 16
	mostWords   = 512  // that wait to be passed on
	everyLeast  = 3    // periods a doubling of the members, between two runs of a duty: word of a death is round by then
	firstWithin = 0.25 // of a duty's period, in which one that is new here is run first
	leastPeriod = 100 * time.Millisecond
)

// Kind is what a duty does.
type Kind uint8

// The kinds of duty.
const (
	CheckServer  Kind = iota + 1 // an app server, by its number
	CheckList                    // a list
	CheckCounter                 // call the counter, for a group of customers
)

// Check is one thing to be done by one node of the fleet, again and again.
type Check struct {
	Kind Kind
	ID   uint64
}

// hash places a duty at a member; of all members the one with the highest has it.
func (d Check) hash(member int) uint64 {
	var b [17]byte
	b[0] = byte(d.Kind)
	binary.LittleEndian.PutUint64(b[1:], d.ID)
	binary.LittleEndian.PutUint64(b[9:], uint64(member))
	return xxhash.Sum64(b[:])
}

// Config is what a Node is told at its start.
type Config struct {
	Me, Nodes int           // this node's number, from 0, and how many there are
	Seed      uint64        // of its chance
	Take      float64       // messages a second that a node takes in, of all kinds; 0 for no limit known
	Bytes     float64       // a second that this node sends at most, whatever the fleet's size; 0 for none
	Every     time.Duration // between two runs of one duty
}

// StepKind is what a Step asks of the host.
type StepKind uint8

// The steps.
const (
	Send  StepKind = iota + 1 // Text to member To
	Run                       // Duty, and report it with Ran
	Ended                     // Duty was run elsewhere, Good tells how it ended
)

// Step is one decision. Only the fields that its Do needs are set.
type Step struct {
	Kind  StepKind
	To    int
	Text  []byte // good until the next call
	Check Check
	Wait  time.Duration // Run: give up after so long, as not good
	Good  bool
}

// Counters count what a node did, for its log.
type Counters struct {
	Sent, SentBytes, Held           int64 // messages sent, their bytes, and those held back by Config.Bytes
	Heard, Bad                      int64 // messages taken in, and such as can't be read
	Runs, StoodIn                   int64 // duties run, and those of them as a second owner
	Suspected, Died, Came, Defended int64 // members; and words of this node's own death that it contradicted
}

// task is a duty as this node knows it.
type task struct {
	duty    Check
	order   []uint16      // members, whose it is first
	last    time.Duration // when it was last run, by anyone, as far as is known
	running bool          // here
	owned   bool          // by this node, as of the last look,
	first   bool          // as its first owner
	listed  bool
}

// Scheduler is one edge node's part.
type Scheduler struct {
	cfg    Config
	chance *rand.Rand
	now    time.Duration
	period time.Duration
	window time.Duration // of a hand-over
	count  Counters

	members []member
	order   []int // whom to ping, shuffled
	next    int
	awaited []ping // pings whose answer is awaited
	seq     uint64
	pingAt  time.Duration
	words   []word
	replies []outgoing
	room    float64 // bytes that may be sent
	roomAt  time.Duration
	view    uint32 // hash of who is dead here
	alone   bool   // no message came yet: who is dead is not known
	text    []byte

	tasks   []task
	taskOf  map[Check]int
	told    []Step
	ownerAt time.Duration // owners are looked over then
	stale   bool          // owners may have changed
}

// New makes a node that takes every other for alive. It must be told the time (any origin, never back) in now.
func New(cfg Config, now time.Duration) *Scheduler {
	cfg.Nodes = min(max(cfg.Nodes, 1), mostNodes)
	n := &Scheduler{
		cfg: cfg, now: now, chance: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Me))), roomAt: now, ownerAt: now,
		members: make([]member, cfg.Nodes), taskOf: map[Check]int{},
	}
	n.period = leastPeriod
	if cfg.Take > 0 {
		n.period = max(n.period, time.Duration(pingCost/(takeShare*cfg.Take)*float64(time.Second)))
	}
	n.cfg.Every = max(cfg.Every, time.Duration(everyLeast*n.doublings()*float64(n.period)))
	// A change of members has reached most of the fleet within so many periods, and what it brings is settled.
	n.window = time.Duration(float64(n.period) * (2 + everyLeast*n.doublings()))
	for k := range n.members {
		n.members[k].came = now - n.window // as alive for long
	}
	n.pingAt = now + time.Duration(n.chance.Int64N(int64(n.period/4)))
	n.room, n.alone = cfg.Bytes, true
	n.view = n.viewHash()
	return n
}

// doublings is how many rounds a word takes to reach all, each teller telling one more.
func (n *Scheduler) doublings() float64 { return float64(bits.Len(uint(n.cfg.Nodes))) }

// Period is the time between two pings of this node, and Every that between two runs of a duty: Config.Every, or
// longer where members can't be watched closely enough for it.
func (n *Scheduler) Period() time.Duration { return n.period }

// Every is the time between two runs of one duty.
func (n *Scheduler) Every() time.Duration { return n.cfg.Every }

// Count is what the node did so far.
func (n *Scheduler) Count() Counters { return n.count }

// SetChecks tells which duties there are now. A new one is run first within a quarter of a period, at a place of it that
// follows from the duty: servers that start together are met one after the other.
func (n *Scheduler) SetChecks(now time.Duration, duties []Check) {
	n.clock(now)
	for k := range n.tasks {
		n.tasks[k].listed = false
	}
	for _, d := range duties {
		k, ok := n.taskOf[d]
		if !ok {
			k = len(n.tasks)
			n.taskOf[d] = k
			place := firstWithin * float64(d.hash(-1)%1024) / 1024
			n.tasks = append(n.tasks, task{
				duty: d, order: d.ranked(n.cfg.Nodes),
				last: now - time.Duration((1-place)*float64(n.cfg.Every)),
			})
		}
		n.tasks[k].listed = true
	}
	kept := n.tasks[:0]
	for _, t := range n.tasks {
		if t.listed {
			n.taskOf[t.duty] = len(kept)
			kept = append(kept, t)
		} else {
			delete(n.taskOf, t.duty)
		}
	}
	n.tasks, n.stale = kept, true
}

// CheckEnded reports that a duty that Next gave out has ended, well or not. Its end is told to the other nodes.
func (n *Scheduler) CheckEnded(now time.Duration, d Check, good bool) {
	n.clock(now)
	k, ok := n.taskOf[d]
	if !ok {
		return
	}
	t := &n.tasks[k]
	t.running, t.last = false, now
	n.tell(word{duty: d, good: good, at: now})
}

// Owns tells whether this node has a duty now, and whether as its first owner. Two nodes have it while members come
// and go: the one that had it before a newcomer came, and the one that is next should a suspect be dead.
func (n *Scheduler) Owns(now time.Duration, d Check) (owns, first bool) {
	n.clock(now)
	if k, ok := n.taskOf[d]; ok {
		return n.owns(n.tasks[k].order)
	}
	return false, false
}

// owns goes down a duty's members, in the order in which it would be theirs.
func (n *Scheduler) owns(order []uint16) (owns, first bool) {
	settled, likely := -1, -1 // of all but newcomers, suspects too; of newcomers too, but no suspects
	for _, of := range order {
		k := int(of)
		m := &n.members[k]
		me := k == n.cfg.Me
		if m.state == dead && !me {
			continue
		}
		if settled < 0 && (me || n.now-m.came >= n.window) {
			settled = k
		}
		if likely < 0 && (me || m.state == alive) {
			likely = k
		}
		if settled >= 0 && likely >= 0 {
			break
		}
	}
	return settled == n.cfg.Me || likely == n.cfg.Me, likely == n.cfg.Me
}

// ranked is the rendezvous order of a duty: who of all the members comes first has it, if that one lives; else the
// next.
func (d Check) ranked(nodes int) []uint16 {
	hashes, order := make([]uint64, nodes), make([]uint16, nodes)
	for k := range nodes {
		hashes[k], order[k] = d.hash(k), uint16(k)
	}
	slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(hashes[b], hashes[a]) })
	return order
}

// Owned is how many duties this node has now.
func (n *Scheduler) Owned(now time.Duration) (k int) {
	n.clock(now)
	for _, t := range n.tasks {
		if owns, _ := n.owns(t.order); owns {
			k++
		}
	}
	return k
}

// look brings up to date which duties are this node's.
func (n *Scheduler) look() {
	n.stale, n.ownerAt = false, n.now+n.period
	for k := range n.tasks {
		t := &n.tasks[k]
		t.owned, t.first = n.owns(t.order)
	}
}

// due is when an owned duty is to be run here: a period after its last run by anyone, and later by who stands in.
func (n *Scheduler) due(t *task) time.Duration {
	at := t.last + n.cfg.Every
	if !t.first {
		at += time.Duration(standIn * float64(n.cfg.Every))
	}
	return at
}

// Next is the next decision, or false when there is none for now.
func (n *Scheduler) Next(now time.Duration) (Step, bool) {
	n.clock(now)
	if k := len(n.told); k > 0 {
		s := n.told[0]
		n.told = n.told[1:]
		return s, true
	}
	n.watch()
	for len(n.replies) > 0 {
		o := n.replies[0]
		n.replies = n.replies[1:]
		if text := n.write(o); text != nil {
			return Step{Kind: Send, To: o.to, Text: text}, true
		}
	}
	if n.stale || now >= n.ownerAt {
		n.look()
	}
	for k := range n.tasks {
		t := &n.tasks[k]
		if !t.owned || t.running {
			continue
		}
		if now >= n.due(t) {
			t.running = true
			n.count.Runs++
			if !t.first {
				n.count.StoodIn++
			}
			return Step{Kind: Run, Check: t.duty, Wait: n.period}, true
		}
	}
	return Step{}, false
}

// Wake is how long the host may wait before it must call Next again, if nothing comes in.
func (n *Scheduler) Wake(now time.Duration) time.Duration {
	n.clock(now)
	at := min(n.pingAt, n.ownerAt)
	for _, p := range n.awaited {
		at = min(at, p.due())
	}
	for k := range n.tasks {
		if t := &n.tasks[k]; t.owned && !t.running {
			at = min(at, n.due(t))
		}
	}
	return max(at-now, time.Millisecond)
}

func (n *Scheduler) clock(now time.Duration) { n.now = max(n.now, now) }
