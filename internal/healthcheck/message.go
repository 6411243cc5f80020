package healthcheck

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// MessageMark is the first byte of each of this package's messages; the decision module's begin with others.
const MessageMark = 0xD0

// MaxMessage bounds a message.
const MaxMessage = 256

const (
	mostBits = 128 // bytes of a bitmap in one message; a larger fleet's goes in parts
	mostWord = 30  // bytes of a word
	ageUnit  = time.Second / 1000
	mostAge  = time.Minute // of a word on a run; an older one says nothing
)

// What a message asks, or answers.
const (
	pingMe  = iota + 1 // answer me
	answer             // to the ping of that number
	askPing            // ping that member for me, and answer in its place
	correct            // you take these for dead: here they live, by these counts
	object             // by as high a count they are dead here: let them say so themselves
)

// Parts of a message behind its head.
const (
	memberPart = iota + 1
	dutyPart
	deadPart
)

// outgoing is a message that waits to be written.
type outgoing struct {
	to, kind int
	seq      uint64
	other    int   // askPing: whom
	dead     bool  // tell whom this node takes for dead
	list     []int // correct, object: which members
}

// word is one piece of news: a member's state, or the end of a duty's run.
type word struct {
	duty   Check // its Kind is 0 for a member's
	good   bool
	at     time.Duration // when it was run
	member int
	state  state
	inc    uint64
	sent   int
}

// tell passes a word on with the next messages. A newer word of the same matter takes the place of the older one.
func (n *Scheduler) tell(w word) {
	for k := range n.words {
		if o := &n.words[k]; o.duty == w.duty && (w.duty.Kind != 0 || o.member == w.member) {
			*o = w
			return
		}
	}
	if len(n.words) >= mostWords { // what was told most is best known
		most := 0
		for k := range n.words {
			if n.words[k].sent > n.words[most].sent {
				most = k
			}
		}
		n.words[most] = w
		return
	}
	n.words = append(n.words, w)
}

// write makes a message's text, with as many words as fit, members before duties and those told least first; nil
// where the bytes that may be sent are used up, as for any datagram that is lost.
func (n *Scheduler) write(o outgoing) []byte {
	if n.cfg.SendRate > 0 {
		n.room = min(n.room+n.cfg.SendRate*(n.now-n.roomAt).Seconds(), n.cfg.SendRate)
		n.roomAt = n.now
		if n.room < MaxMessage {
			n.count.Held++
			return nil
		}
	}
	b := append(n.text[:0], MessageMark, byte(o.kind))
	b = binary.AppendUvarint(b, o.seq)
	b = binary.BigEndian.AppendUint32(b, n.view)
	if o.kind == askPing {
		b = binary.AppendUvarint(b, uint64(o.other))
	}
	if m := &n.members[o.to]; m.state != alive { // it must hear what is said of it
		b = appendMember(b, word{member: o.to, state: m.state, inc: m.inc})
	}
	if o.dead {
		count := min(n.cfg.Nodes, 8*mostBits)
		first := 0
		if parts := (n.cfg.Nodes + count - 1) / count; parts > 1 {
			first = n.chance.IntN(parts) * count
			count = min(count, n.cfg.Nodes-first)
		}
		bitmap := n.deadBits(first, count)
		b = binary.AppendUvarint(append(b, deadPart), uint64(first))
		b = append(binary.AppendUvarint(b, uint64(len(bitmap))), bitmap...)
	}
	for _, k := range o.list {
		if m := &n.members[k]; len(b)+mostWord <= MaxMessage {
			b = appendMember(b, word{member: k, state: min(m.state, suspect), inc: m.inc})
		}
	}
	slices.SortStableFunc(n.words, func(a, b word) int {
		return cmp.Or(cmp.Compare(min(a.duty.Kind, 1), min(b.duty.Kind, 1)), cmp.Compare(a.sent, b.sent))
	})
	for k := range n.words {
		if len(b)+mostWord > MaxMessage {
			break
		}
		w := &n.words[k]
		w.sent++
		if w.duty.Kind == 0 {
			b = appendMember(b, *w)
		} else if age := n.now - w.at; age <= mostAge {
			b = appendRun(b, *w, age)
		}
	}
	kept := n.words[:0]
	for _, w := range n.words {
		if limit := n.doublings(); float64(w.sent) < limit || w.duty.Kind == 0 && float64(w.sent) < tellTimes*limit {
			kept = append(kept, w)
		}
	}
	n.words, n.text = kept, b
	n.room -= float64(len(b))
	n.count.Sent++
	n.count.SentBytes += int64(len(b))
	return b
}

func appendMember(b []byte, w word) []byte {
	b = binary.AppendUvarint(append(b, memberPart), uint64(w.member)<<2|uint64(w.state))
	return binary.AppendUvarint(b, w.inc)
}

func appendRun(b []byte, w word, age time.Duration) []byte {
	good := byte(0)
	if w.good {
		good = 1
	}
	b = append(b, dutyPart, byte(w.duty.Kind)<<1|good)
	b = binary.AppendUvarint(b, w.duty.ID)
	return binary.AppendUvarint(b, uint64(age/ageUnit))
}

// part is one part of a message as read.
type part struct {
	word
	age   time.Duration
	first int
	dead  []byte
}

// read takes a message apart, whole or not at all.
func read(text []byte, nodes int) (kind int, seq uint64, view uint32, other int, parts []part, ok bool) {
	if len(text) < 2 || len(text) > MaxMessage || text[0] != MessageMark {
		return 0, 0, 0, 0, nil, false
	}
	b := text[2:]
	ok = true
	number := func(below uint64) uint64 {
		v, k := binary.Uvarint(b)
		if !ok || k <= 0 || v >= below {
			ok = false
			return 0
		}
		b = b[k:]
		return v
	}
	bytes := func(k int) []byte {
		if !ok || k > len(b) {
			ok = false
			return nil
		}
		v := b[:k]
		b = b[k:]
		return v
	}
	const any = 1 << 62
	kind, seq = int(text[1]), number(any)
	if v := bytes(4); ok {
		view = binary.BigEndian.Uint32(v)
	}
	if kind == askPing {
		other = int(number(uint64(nodes)))
	}
	ok = ok && kind >= pingMe && kind <= object
	for ok && len(b) > 0 {
		var p part
		switch bytes(1)[0] {
		case memberPart:
			v := number(uint64(nodes) << 2)
			p.member, p.state, p.inc = int(v>>2), state(v&3), number(any)
			ok = ok && p.state <= dead
		case dutyPart:
			if v := bytes(1); ok {
				p.duty.Kind, p.good = Kind(v[0]>>1), v[0]&1 == 1
			}
			p.duty.ID = number(1<<64 - 1)
			p.age = time.Duration(number(uint64(mostAge/ageUnit)+1)) * ageUnit
			ok = ok && p.duty.Kind >= CheckServer && p.duty.Kind <= CheckCounter
		case deadPart:
			p.first = int(number(uint64(nodes)))
			p.dead = bytes(int(number(mostBits + 1)))
		default:
			ok = false
		}
		parts = append(parts, p)
	}
	return kind, seq, view, other, parts, ok
}

// ReceivePeerMessage takes in a message of another member, and tells whether it could be read. What can't be is passed over whole.
func (n *Scheduler) ReceivePeerMessage(now time.Duration, from int, text []byte) bool {
	n.clock(now)
	kind, seq, view, other, parts, ok := read(text, n.cfg.Nodes)
	if !ok || from < 0 || from >= n.cfg.Nodes || from == n.cfg.Self {
		n.count.Bad++
		return false
	}
	n.count.Heard++
	n.alone = false
	var differ []int
	for _, p := range parts {
		switch {
		case p.dead != nil:
			if lives := n.doubted(p.first, p.dead); len(lives) > 0 {
				n.replies = append(n.replies, outgoing{to: from, kind: correct, list: lives})
			}
		case p.duty.Kind == 0:
			n.hold(p.member, p.state, p.inc)
			if m := &n.members[p.member]; kind == correct && p.state != dead && m.state == dead {
				differ = append(differ, p.member)
			}
		default:
			n.ran(p)
		}
	}
	if len(differ) > 0 {
		n.replies = append(n.replies, outgoing{to: from, kind: object, list: differ})
	}
	if m := &n.members[from]; m.state == suspect { // it lives, but must say so itself: others have heard the word
		n.replies = append(n.replies, outgoing{to: from, kind: pingMe, seq: 0})
	}
	switch kind {
	case pingMe:
		if seq > 0 {
			n.replies = append(n.replies, outgoing{to: from, kind: answer, seq: seq, dead: view != n.view})
		}
	case answer:
		n.answered(from, seq)
	case askPing:
		if other != n.cfg.Self {
			n.ping(other, from, seq)
		}
	}
	return true
}

// ran takes in the end of a run elsewhere, once for each run, and passes it on.
func (n *Scheduler) ran(p part) {
	at := n.now - p.age
	k, ok := n.taskOf[p.duty]
	if !ok || at <= n.tasks[k].last+n.period/8 { // known, give or take the way here
		return
	}
	n.tasks[k].last = at
	n.told = append(n.told, Step{Kind: Ended, Check: p.duty, Good: p.good})
	n.tell(word{duty: p.duty, good: p.good, at: at})
}
