package membership

import (
	"fmt"
	"time"
)

// outgoing is a message in the outbox. Next encodes the message, with the members' states of that time.
type outgoing struct {
	to         NodeID      // receiver
	kind       messageKind // kind of the message
	sequence   uint64      // value of header.sequence
	target     NodeID      // node to ping in a pingRequest
	withBitmap bool        // whether the message carries the set of dead members
	members    []NodeID    // members that a correction or dispute carries
}

// enqueue adds a message to the outbox.
func (p *Protocol) enqueue(o outgoing) { p.outbox = append(p.outbox, o) }

// encode encodes a message and fills it up with gossip. The result is valid until the next call. If Config.SendRate does not
// allow the message, encode drops it and returns nil. The protocol tolerates that like any lost datagram.
func (p *Protocol) encode(o outgoing) []byte {
	if !p.budget.allows(p.now) {
		p.counters.Withheld++
		return nil
	}
	payload := appendHeader(p.writeBuffer[:0], header{kind: o.kind, sequence: o.sequence, deadHash: p.deadHash, target: o.target})
	if m := &p.members[o.to]; m.state != Alive { // only the receiver can refute its own suspicion or death
		payload = appendMemberUpdate(payload, memberUpdate{id: o.to, state: m.state, incarnation: m.incarnation})
	}
	if o.withBitmap {
		payload = p.appendDead(payload)
	}
	for _, id := range o.members {
		if len(payload)+maxUpdateSize <= MaxMessageSize {
			m := &p.members[id]
			state := min(m.state, Suspect) // a dispute calls dead members suspect; see dispute
			payload = appendMemberUpdate(payload, memberUpdate{id: id, state: state, incarnation: m.incarnation})
		}
	}
	payload = p.gossip.appendTo(payload, p.now, p.GossipRounds())
	p.writeBuffer = payload
	p.budget.spend(len(payload))
	p.counters.Sent++
	p.counters.SentBytes += int64(len(payload))
	return payload
}

// appendDead appends the set of dead members. In a fleet of more than 8*maxBitmapSize nodes only a random section is appended.
func (p *Protocol) appendDead(payload []byte) []byte {
	firstMember, count := 0, min(p.cfg.Nodes, 8*maxBitmapSize)
	if sections := (p.cfg.Nodes + count - 1) / count; sections > 1 {
		firstMember = p.random.IntN(sections) * count
		count = min(count, p.cfg.Nodes-firstMember)
	}
	return appendBitmap(payload, NodeID(firstMember), p.deadBitmap(NodeID(firstMember), count))
}

// Publish gossips an event to the other nodes. An earlier event of the same subject is replaced.
func (p *Protocol) Publish(e Event) { p.gossip.addEvent(e) }

// Receive processes a message from the member from. Receive calls deliver for each event in the message, with At by this
// node's clock. If deliver reports that the event is new, the event is gossiped further. An error wraps ErrMalformed. A
// message with an error changes only the counters and the clock.
func (p *Protocol) Receive(now time.Duration, from NodeID, payload []byte, deliver func(Event) (isNew bool)) error {
	p.Advance(now)
	m, err := p.decodeFrom(from, payload)
	if err != nil {
		p.counters.Malformed++
		return err
	}
	p.counters.Received++
	p.awaitingFirstMessage = false
	disputed := p.applyParts(from, m, deliver)
	if len(disputed) > 0 {
		p.enqueue(outgoing{to: from, kind: dispute, members: disputed})
	}
	if p.members[from].state == Suspect { // notify the sender: only the sender itself can refute the suspicion
		p.enqueue(outgoing{to: from, kind: ping, sequence: 0})
	}
	p.handleHeader(from, m.header)
	return nil
}

// decodeFrom decodes a message and checks that its sender is another member.
func (p *Protocol) decodeFrom(from NodeID, payload []byte) (message, error) {
	m, err := decode(payload, p.cfg.Nodes, p.cfg.EventKinds)
	if err != nil {
		return message{}, err
	}
	if from < 0 || int(from) >= p.cfg.Nodes || from == p.cfg.Self {
		return message{}, fmt.Errorf("%w: sender %d is not another node of a fleet of %d", ErrMalformed, from, p.cfg.Nodes)
	}
	return m, nil
}

// handleHeader processes the header of a message: it acks a ping, ends the probe of an ack, or starts the ping that a
// pingRequest asks for.
func (p *Protocol) handleHeader(from NodeID, h header) {
	switch h.kind {
	case ping:
		if h.sequence > 0 { // with sequence 0 the ping only carries gossip
			p.enqueue(outgoing{to: from, kind: ack, sequence: h.sequence, withBitmap: h.deadHash != p.deadHash})
		}
	case ack:
		p.handleAck(from, h.sequence)
	case pingRequest:
		if h.target != p.cfg.Self {
			p.startProbe(h.target, pingRequester{node: from, sequence: h.sequence})
		}
	}
}

// applyParts applies the parts of a message. For a correction, applyParts returns its members that stay dead here because
// their incarnations here are at least as high.
func (p *Protocol) applyParts(from NodeID, m message, deliver func(Event) bool) (disputed []NodeID) {
	for _, part := range m.parts {
		switch part.kind {
		case bitmapPart:
			if notDead := p.compareDead(part.firstMember, part.bitmap); len(notDead) > 0 {
				p.enqueue(outgoing{to: from, kind: correction, members: notDead})
			}
		case memberPart:
			u := part.member
			p.apply(u)
			if m.kind == correction && u.state != Dead && p.members[u.id].state == Dead {
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
