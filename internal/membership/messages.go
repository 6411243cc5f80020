package membership

import (
	"fmt"
	"time"
)

// outgoing is a message that waits to be encoded. The states of members in it are those at the time of encoding.
type outgoing struct {
	to         NodeID
	kind       messageKind
	sequence   uint64
	target     NodeID   // of a pingRequest
	withBitmap bool     // include the set of dead members
	members    []NodeID // of correct and object
}

// send queues a message for Next.
func (p *Protocol) send(o outgoing) { p.outbox = append(p.outbox, o) }

// encode encodes a message and fills it up with gossip. It returns nil if Config.SendRate does not allow it: the message is
// lost then, as any datagram may be. The result is valid until the next call.
func (p *Protocol) encode(o outgoing) []byte {
	if !p.budget.allows(p.now) {
		p.counters.Withheld++
		return nil
	}
	text := appendHeader(p.writeBuffer[:0], header{kind: o.kind, sequence: o.sequence, deadHash: p.deadHash, target: o.target})
	if m := &p.members[o.to]; m.state != Alive { // the receiver must learn of it, to refute it
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

// appendDead appends the set of dead members, or a random part of it in a large fleet.
func (p *Protocol) appendDead(text []byte) []byte {
	first, count := 0, min(p.cfg.Nodes, 8*maxBitmapSize)
	if parts := (p.cfg.Nodes + count - 1) / count; parts > 1 {
		first = p.random.IntN(parts) * count
		count = min(count, p.cfg.Nodes-first)
	}
	return appendBitmap(text, NodeID(first), p.deadBitmap(NodeID(first), count))
}

// Publish gossips an event to the other nodes, in place of an older one of its subject.
func (p *Protocol) Publish(e Event) { p.gossip.addEvent(e) }

// Receive processes a message of another member. It calls deliver for each event in it, with At by this node's clock; if
// deliver reports that the event is news, it is gossiped on. An error wraps ErrMalformed; the message is ignored then, but
// for the counters.
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
	p.receivedNone = false
	disputed := p.receiveParts(from, m, deliver)
	if len(disputed) > 0 {
		p.send(outgoing{to: from, kind: object, members: disputed})
	}
	if p.members[from].state == Suspect { // only the member itself can refute the suspicion, which others may have received
		p.send(outgoing{to: from, kind: ping, sequence: 0})
	}
	switch m.kind {
	case ping:
		if m.sequence > 0 { // a ping with 0 only carries gossip
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

// receiveParts processes the parts of a message, and returns the members that the sender corrects but that stay dead here.
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
