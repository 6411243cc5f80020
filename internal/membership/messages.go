package membership

import (
	"fmt"
	"time"
)

// outgoing is a message that waits to be written. What it says of the members is taken from what this node knows when
// it is written.
type outgoing struct {
	to         NodeID
	kind       messageKind
	sequence   uint64
	target     NodeID   // of a pingRequest
	withBitmap bool     // tell whom this node takes for dead
	members    []NodeID // correct, object: which
}

// send queues a message for Next.
func (p *Protocol) send(o outgoing) { p.outbox = append(p.outbox, o) }

// encode writes a message, filled up with gossip. It returns nil if the bytes that may be sent are used up: the message
// is lost then, as any datagram may be. The text is valid until the next call.
func (p *Protocol) encode(o outgoing) []byte {
	if !p.budget.allows(p.now) {
		p.counters.Withheld++
		return nil
	}
	text := appendHeader(p.writeBuffer[:0], header{kind: o.kind, sequence: o.sequence, deadHash: p.deadHash, target: o.target})
	if m := &p.members[o.to]; m.state != Alive { // it must hear what is said of it, to refute it
		text = appendMemberUpdate(text, memberUpdate{id: o.to, state: m.state, incarnation: m.incarnation})
	}
	if o.withBitmap {
		text = p.appendDead(text)
	}
	for _, id := range o.members {
		if len(text)+maxUpdateSize <= MaxMessageSize {
			m := &p.members[id]
			text = appendMemberUpdate(text, memberUpdate{id: id, state: min(m.state, Suspect), incarnation: m.incarnation})
		}
	}
	text = p.gossip.appendTo(text, p.now, p.GossipRounds())
	p.writeBuffer = text
	p.budget.spend(len(text))
	p.counters.Sent++
	p.counters.SentBytes += int64(len(text))
	return text
}

// appendDead appends the bitmap of whom this node takes for dead, or a random part of it in a large fleet.
func (p *Protocol) appendDead(text []byte) []byte {
	first, count := 0, min(p.cfg.Nodes, 8*maxBitmapSize)
	if parts := (p.cfg.Nodes + count - 1) / count; parts > 1 {
		first = p.random.IntN(parts) * count
		count = min(count, p.cfg.Nodes-first)
	}
	return appendBitmap(text, NodeID(first), p.deadBitmap(NodeID(first), count))
}

// Publish has an event passed on to the other nodes, in place of an older one of its subject.
func (p *Protocol) Publish(e Event) { p.gossip.addEvent(e) }

// Receive takes in a message of another member. It calls deliver for each event in it, with the time at which it
// happened by this node's clock; deliver returns whether the event is news here and is to be passed on. The error wraps
// ErrMalformed; a message with an error changes nothing but the counters.
func (p *Protocol) Receive(now time.Duration, from NodeID, text []byte, deliver func(Event) (isNews bool)) error {
	p.Advance(now)
	m, err := decode(text, p.cfg.Nodes, p.cfg.EventKinds)
	if err == nil && (from < 0 || int(from) >= p.cfg.Nodes || from == p.cfg.Self) {
		err = fmt.Errorf("%w: from node %d", ErrMalformed, from)
	}
	if err != nil {
		p.counters.Malformed++
		return err
	}
	p.counters.Received++
	p.heardNobody = false
	disputed := p.receiveParts(from, m, deliver)
	if len(disputed) > 0 {
		p.send(outgoing{to: from, kind: object, members: disputed})
	}
	if p.members[from].state == Suspect { // it lives, but must say so itself: others have heard of the suspicion
		p.send(outgoing{to: from, kind: ping, sequence: 0})
	}
	switch m.kind {
	case ping:
		if m.sequence > 0 { // 0 only carries gossip
			p.send(outgoing{to: from, kind: ack, sequence: m.sequence, withBitmap: m.deadHash != p.deadHash})
		}
	case ack:
		p.acked(from, m.sequence)
	case pingRequest:
		if m.target != p.cfg.Self {
			p.ping(m.target, from, m.sequence)
		}
	}
	return nil
}

// receiveParts takes in what follows a message's header, and returns the members that the sender corrects but that
// stay dead here.
func (p *Protocol) receiveParts(from NodeID, m message, deliver func(Event) bool) (disputed []NodeID) {
	for _, part := range m.parts {
		switch part.kind {
		case bitmapPart:
			if alive := p.compareDead(part.first, part.bitmap); len(alive) > 0 {
				p.send(outgoing{to: from, kind: correct, members: alive})
			}
		case memberPart:
			u := part.member
			p.apply(u)
			if m.kind == correct && u.state != Dead && p.members[u.id].state == Dead {
				disputed = append(disputed, u.id)
			}
		case eventPart:
			event := part.event
			event.At = p.now - part.age
			if deliver(event) {
				p.Publish(event)
			}
		}
	}
	return disputed
}
