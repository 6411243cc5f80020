package healthcheck

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// state is what a node takes a member for.
type state uint8

const (
	alive state = iota
	suspect
	dead
)

// member is one node of the fleet, itself included.
type member struct {
	state state
	inc   uint64        // how often it has contradicted words of its death; a word of a lower count is old
	since time.Duration // in this state
	came  time.Duration // alive again since then
}

// ping is one whose answer is awaited.
type ping struct {
	to     int
	seq    uint64
	sent   time.Duration
	within time.Duration // until others are asked, or it is given up
	last   time.Duration // given up then
	asked  bool          // others were asked
	for_   int           // who asked for it; -1 for none
	forSeq uint64
}

func (p *ping) due() time.Duration {
	if p.asked {
		return p.last
	}
	return p.within
}

// watch pings whom it is time to ping, and looks over what is awaited.
func (n *Scheduler) watch() {
	if n.cfg.Nodes < 2 {
		n.pingAt = n.now + n.period
		return
	}
	kept := n.awaited[:0]
	for _, p := range n.awaited {
		switch {
		case p.for_ >= 0 && n.now >= p.last: // whoever asked gives up by itself
			continue
		case p.for_ < 0 && !p.asked && n.now >= p.within:
			p.asked = true
			for range helpers {
				if k := n.anyone(p.to); k >= 0 {
					n.replies = append(n.replies, outgoing{to: k, kind: askPing, seq: p.seq, other: p.to})
				}
			}
		case p.for_ < 0 && n.now >= p.last:
			if m := &n.members[p.to]; m.state == alive {
				n.hold(p.to, suspect, m.inc)
			}
			continue
		}
		kept = append(kept, p)
	}
	n.awaited = kept
	for k := range n.members {
		m := &n.members[k]
		if m.state == suspect && n.now-m.since >= time.Duration(suspectFor*n.doublings()*float64(n.period)) {
			n.hold(k, dead, m.inc)
		}
	}
	if n.now < n.pingAt {
		return
	}
	n.pingAt = max(n.pingAt+n.period, n.now+n.period/2)
	pings := 1
	if n.alone { // the others know who is dead; until one tells, duties of those would have no owner here
		pings = helpers
	}
	for range pings {
		if k := n.turn(); k >= 0 {
			n.ping(k, -1, 0)
		}
	}
	if n.chance.Float64() < deadAgain {
		var gone []int
		for k := range n.members {
			if n.members[k].state == dead && k != n.cfg.Me {
				gone = append(gone, k)
			}
		}
		if len(gone) > 0 {
			n.ping(gone[n.chance.IntN(len(gone))], -1, 0)
		}
	}
}

// turn is the next member to ping: all by turns, in an order shuffled anew each time round, so that each is pinged by
// someone about once a period and none is missed for more than two rounds.
func (n *Scheduler) turn() int {
	for range 2 * n.cfg.Nodes {
		if n.next >= len(n.order) {
			n.order, n.next = n.chance.Perm(n.cfg.Nodes), 0
		}
		k := n.order[n.next]
		n.next++
		if k != n.cfg.Me && n.members[k].state != dead {
			return k
		}
	}
	return -1
}

// anyone is a member at random that is taken for alive, and not the one named; -1 for none found in some tries.
func (n *Scheduler) anyone(but int) int {
	for range 8 {
		if k := n.chance.IntN(n.cfg.Nodes); k != but && k != n.cfg.Me && n.members[k].state == alive {
			return k
		}
	}
	return -1
}

func (n *Scheduler) ping(to, for_ int, forSeq uint64) {
	n.seq++
	n.awaited = append(n.awaited, ping{
		to: to, seq: n.seq, sent: n.now, for_: for_, forSeq: forSeq,
		within: n.now + time.Duration(directPart*float64(n.period)), last: n.now + n.period,
	})
	n.replies = append(n.replies, outgoing{to: to, kind: pingMe, seq: n.seq})
}

// answered takes in the answer to a ping, and passes it on to who asked for it.
func (n *Scheduler) answered(from int, seq uint64) {
	i := slices.IndexFunc(n.awaited, func(p ping) bool { return p.seq == seq })
	if i < 0 {
		return
	}
	p := n.awaited[i]
	if p.to != from && !p.asked { // helpers answer in its place, once they were asked
		return
	}
	n.awaited = slices.Delete(n.awaited, i, i+1)
	if p.for_ >= 0 {
		n.replies = append(n.replies, outgoing{to: p.for_, kind: answer, seq: p.forSeq})
	}
}

// hold takes a member for something, and passes the word on. A suspicion or death of this node itself is
// contradicted by a higher count.
func (n *Scheduler) hold(k int, s state, inc uint64) {
	m := &n.members[k]
	if k == n.cfg.Me {
		if s != alive && inc >= m.inc {
			m.inc = inc + 1
			n.count.Defended++
			n.tell(word{member: k, state: alive, inc: m.inc})
		}
		return
	}
	if inc < m.inc || inc == m.inc && s <= m.state { // old, or known
		return
	}
	if s == m.state { // the same with a higher count
		m.inc = inc
		return
	}
	switch {
	case m.state == dead:
		m.came = n.now
		n.count.Came++
	case s == suspect:
		n.count.Suspected++
	case s == dead:
		n.count.Died++
	}
	m.state, m.inc, m.since = s, inc, n.now
	n.stale = true
	n.view = n.viewHash()
	n.tell(word{member: k, state: s, inc: inc})
}

// viewHash is a hash of whom this node takes for dead. Nodes whose hashes differ tell each other whom: words are
// passed on a few times only, so one that was away when they went round would never hear of them.
func (n *Scheduler) viewHash() uint32 { return uint32(xxhash.Sum64(n.deadBits(0, n.cfg.Nodes))) }

// deadBits is one bit a member from the first on, set for who is dead.
func (n *Scheduler) deadBits(first, count int) []byte {
	b := make([]byte, (count+7)/8)
	for k := range count {
		if n.members[first+k].state == dead && first+k != n.cfg.Me {
			b[k/8] |= 1 << (k % 8)
		}
	}
	return b
}

// doubted takes in whom a peer takes for dead, and lists who lives here, to be told it by their counts. Where the
// peer's are as high it objects (Heard): such members are suspected here too, hear of it, and contradict or die. Who
// says that this node itself is dead is contradicted at once. So nodes that were apart agree again, and one that has
// just started learns who is gone.
func (n *Scheduler) doubted(first int, b []byte) (lives []int) {
	for k := range 8 * len(b) {
		if i := first + k; b[k/8]>>(k%8)&1 == 1 && i < n.cfg.Nodes {
			if i == n.cfg.Me {
				n.hold(i, dead, n.members[i].inc)
			} else if n.members[i].state != dead {
				lives = append(lives, i)
			}
		}
	}
	n.chance.Shuffle(len(lives), func(a, b int) { lives[a], lives[b] = lives[b], lives[a] }) // not all may fit
	return lives
}

// Dead is how many members this node takes for dead.
func (n *Scheduler) Dead() (k int) {
	for i := range n.members {
		if n.members[i].state == dead {
			k++
		}
	}
	return k
}
