package decision

import (
	"encoding/binary"
	"math"
)

// message is a datagram between nodes. Its first byte tells the kind, and no other protocol's message begins with such
// a byte; all numbers after it are variable-length integers. Old and new nodes run side by side in one fleet: a change
// of the format is a change for all of them.
type message struct {
	kind       byte
	reports    []customerReport // of all kinds but kindSuspicion
	suspicions []suspicion
}

// The kinds of message.
const (
	kindUse       = 0xC8 // customers' demand and use since the last report; use may be below 0
	kindGrant     = 0xC9 // the owner's answer to an ask, or what it lets pass of a customer's requests
	kindSuspicion = 0xCA // servers that the sender ejected
	kindAsk       = 0xCB // may one request pass?
)

const (
	maxReported = math.MaxUint32
	unitsScale  = 100 // units are sent in hundredths
)

// customerReport is one customer with its plan and its set of nodes, which the receiver may not know.
type customerReport struct {
	customer    CustomerID
	demand, use float64
	plan        PlanID
	spread      int
	firstNode   NodeID
	request     RequestID    // asks and grants
	class       ClassID      // asks
	ended       int          // use: 1 where the request has ended
	verdict     ownerVerdict // grants
	freePass    bool         // grants
}

// suspicion is a server that a peer ejected for one class, and for how much longer.
type suspicion struct {
	server     ServerID
	class      ClassID
	ejectedFor Time
}

func appendReport(b []byte, r customerReport) []byte {
	b = binary.AppendUvarint(b, uint64(r.customer))
	b = binary.AppendUvarint(b, uint64(min(max(0, r.demand*unitsScale+0.5), maxReported)))
	b = binary.AppendVarint(b, int64(min(max(-maxReported, r.use*unitsScale), maxReported)))
	b = binary.AppendUvarint(b, uint64(r.plan))
	b = binary.AppendUvarint(b, uint64(r.spread))
	b = binary.AppendUvarint(b, uint64(r.firstNode))
	b = binary.AppendUvarint(b, uint64(r.request))
	b = binary.AppendUvarint(b, uint64(r.class))
	b = binary.AppendUvarint(b, uint64(r.ended))
	flags := uint64(r.verdict) << 1
	if r.freePass {
		flags |= 1
	}
	return binary.AppendUvarint(b, flags)
}

func appendSuspicion(b []byte, s suspicion) []byte {
	b = binary.AppendUvarint(b, uint64(s.server))
	b = binary.AppendUvarint(b, uint64(s.class))
	return binary.AppendUvarint(b, uint64(s.ejectedFor))
}

// messageReader reads numbers until one is malformed or too large; then ok is false and nothing is left.
type messageReader struct {
	rest []byte
	ok   bool
}

func (r *messageReader) number(most uint64) uint64 {
	v, k := binary.Uvarint(r.rest)
	if k <= 0 || v > most {
		r.ok, r.rest = false, nil
		return 0
	}
	r.rest = r.rest[k:]
	return v
}

func (r *messageReader) report() customerReport {
	c := customerReport{customer: CustomerID(r.number(math.MaxUint64)), demand: float64(r.number(maxReported)) / unitsScale}
	v := r.number(2*maxReported + 1) // zigzag, as AppendVarint writes it
	c.use = float64(int64(v>>1)^-int64(v&1)) / unitsScale
	c.plan, c.spread, c.firstNode = PlanID(r.number(maxReported)), int(r.number(maxReported)), NodeID(r.number(maxReported))
	c.request, c.class = RequestID(r.number(maxReported)), ClassID(r.number(maxReported))
	c.ended = int(r.number(maxReported))
	flags := r.number(uint64(verdictDenied)<<1 | 1)
	c.verdict, c.freePass = ownerVerdict(flags>>1), flags&1 == 1
	return c
}

// decodeMessage reads a complete message or nothing of it. A plan or a set of nodes that can't be makes it malformed.
func decodeMessage(b []byte, plans, nodes int) (message, bool) {
	if len(b) < 1 || b[0] < kindUse || b[0] > kindAsk {
		return message{}, false
	}
	m, r := message{kind: b[0]}, messageReader{rest: b[1:], ok: true}
	for r.ok && len(r.rest) > 0 {
		if m.kind == kindSuspicion {
			m.suspicions = append(m.suspicions, suspicion{
				server: ServerID(r.number(maxReported)), class: ClassID(r.number(maxReported)),
				ejectedFor: Time(r.number(maxReported)),
			})
			continue
		}
		c := r.report()
		r.ok = r.ok && int(c.plan) < plans && c.spread >= 1 && c.spread <= nodes && int(c.firstNode) < nodes
		m.reports = append(m.reports, c)
	}
	return m, r.ok
}

// peerMessage is a message that waits to be sent.
type peerMessage struct {
	to      NodeID
	payload []byte
}

// outbox holds the messages that wait to be sent; the last one goes out first.
type outbox struct{ messages []peerMessage }

func (o *outbox) add(to NodeID, payload []byte) {
	o.messages = append(o.messages, peerMessage{to, payload})
}

// next takes the message to send now, if there is one.
func (o *outbox) next() (peerMessage, bool) {
	k := len(o.messages) - 1
	if k < 0 {
		return peerMessage{}, false
	}
	m := o.messages[k]
	o.messages = o.messages[:k]
	return m, true
}
