package decision

import (
	"encoding/binary"
	"math"

	"cherrygap/internal/numeric"
)

// message is a datagram between nodes. Its first byte is the kind, which differs from the first byte of datagrams of other
// protocols between nodes. All numbers after the kind are variable-length integers, as encoding/binary writes them. The
// format must not change, since nodes of different versions exchange messages.
type message struct {
	kind       byte
	reports    []customerReport // reports in the message; none in kindSuspicion
	suspicions []suspicion      // suspicions in the message; none in any other kind
}

// The kinds of message.
const (
	kindUse       = 0xC8 // customers' demand and use since the last report
	kindGrant     = 0xC9 // a quota owner's response to a query, or a change of its conditions
	kindSuspicion = 0xCA // servers that the sender ejected
	kindQuery     = 0xCB // a request for a quota owner to grant
)

const (
	maxMessageNumber = math.MaxUint32 // largest number in a message, except for customer ids
	unitsScale       = 100            // number in a message that stands for one unit
)

// customerReport is one entry of a message. It names a customer with its plan and its set of nodes. The meaning of the
// other fields depends on the kind, and a field without a meaning is zero.
type customerReport struct {
	customer   CustomerID
	demand     float64 // units requested since the last kindUse or kindQuery; in kindGrant see queryRatio
	use        float64 // units admitted and settled in kindUse, possibly below 0; units of the request in kindQuery
	plan       PlanID
	spread     int
	firstNode  NodeID
	request    RequestID     // request of kindQuery or kindGrant, or the request that has ended in kindUse
	class      ClassID       // class of the request, in kindQuery
	ended      int           // above 0 in a kindUse on a request that has ended
	response   ownerResponse // response to the query, in kindGrant
	optimistic bool          // optimistic admission is allowed, in kindGrant
}

// queryRatio returns the query ratio of a kindGrant, which the format stores in the field demand.
func (r customerReport) queryRatio() float64 { return r.demand }

// ref returns the customer that the report is on.
func (r customerReport) ref() customerRef {
	return customerRef{id: r.customer, plan: r.plan, spread: r.spread, firstNode: r.firstNode}
}

// suspicion is a server that the sender ejected for one class.
type suspicion struct {
	server     ServerID
	class      ClassID
	ejectedFor Time // remaining time of the ejection; 0 if it is over and the server has not responded since
}

// appendReport appends the encoding of a report. A demand or use outside the encoding's range is clamped to it.
func appendReport(b []byte, r customerReport) []byte {
	b = binary.AppendUvarint(b, uint64(r.customer))
	b = binary.AppendUvarint(b, uint64(numeric.Truncate[int64](min(max(0, r.demand*unitsScale+0.5), maxMessageNumber))))
	b = binary.AppendVarint(b, numeric.Truncate[int64](min(max(-maxMessageNumber, r.use*unitsScale), maxMessageNumber)))
	b = binary.AppendUvarint(b, uint64(r.plan))
	b = binary.AppendUvarint(b, uint64(r.spread))
	b = binary.AppendUvarint(b, uint64(r.firstNode))
	b = binary.AppendUvarint(b, uint64(r.request))
	b = binary.AppendUvarint(b, uint64(r.class))
	b = binary.AppendUvarint(b, uint64(r.ended))
	flags := uint64(r.response) << 1
	if r.optimistic {
		flags |= 1
	}
	return binary.AppendUvarint(b, flags)
}

// appendSuspicion appends the encoding of a suspicion.
func appendSuspicion(b []byte, s suspicion) []byte {
	b = binary.AppendUvarint(b, uint64(s.server))
	b = binary.AppendUvarint(b, uint64(s.class))
	return binary.AppendUvarint(b, uint64(s.ejectedFor))
}

// messageReader reads numbers from a payload. At a malformed or too large number, ok becomes false and rest
// becomes empty.
type messageReader struct {
	rest []byte
	ok   bool
}

// number reads a number that must not exceed the limit. It returns 0 at and after an error.
func (r *messageReader) number(limit uint64) uint64 {
	v, k := binary.Uvarint(r.rest)
	if k <= 0 || v > limit {
		r.ok, r.rest = false, nil
		return 0
	}
	r.rest = r.rest[k:]
	return v
}

// report reads a report. Fields that can't be read are 0.
func (r *messageReader) report() customerReport {
	var c customerReport
	c.customer = CustomerID(r.number(math.MaxUint64))
	c.demand = float64(r.number(maxMessageNumber)) / unitsScale
	use := r.number(2*maxMessageNumber + 1) // zigzag encoding, as binary.AppendVarint writes it
	c.use = float64(int64(use>>1)^-int64(use&1)) / unitsScale
	c.plan = PlanID(r.number(maxMessageNumber))
	c.spread = int(r.number(maxMessageNumber))
	c.firstNode = NodeID(r.number(maxMessageNumber))
	c.request = RequestID(r.number(maxMessageNumber))
	c.class = ClassID(r.number(maxMessageNumber))
	c.ended = int(r.number(maxMessageNumber))
	flags := r.number(uint64(responseDenied)<<1 | 1)
	c.response = ownerResponse(flags >> 1)
	c.optimistic = flags&1 == 1
	return c
}

// suspicion reads a suspicion. Fields that can't be read are 0.
func (r *messageReader) suspicion() suspicion {
	var s suspicion
	s.server = ServerID(r.number(maxMessageNumber))
	s.class = ClassID(r.number(maxMessageNumber))
	s.ejectedFor = Time(r.number(maxMessageNumber))
	return s
}

// decodeMessage decodes a payload, and returns false if any part of it is malformed. Plans and sets of nodes beyond the
// numbers of plans and nodes count as malformed.
func decodeMessage(payload []byte, plans, nodes int) (message, bool) {
	if len(payload) < 1 || payload[0] < kindUse || payload[0] > kindQuery {
		return message{}, false
	}
	m, r := message{kind: payload[0]}, messageReader{rest: payload[1:], ok: true}
	for r.ok && len(r.rest) > 0 {
		if m.kind == kindSuspicion {
			m.suspicions = append(m.suspicions, r.suspicion())
			continue
		}
		c := r.report()
		r.ok = r.ok && int(c.plan) < plans && c.spread >= 1 && c.spread <= nodes && int(c.firstNode) < nodes
		m.reports = append(m.reports, c)
	}
	return m, r.ok
}

// peerMessage is a message for one peer, or for AllPeers.
type peerMessage struct {
	to      NodeID
	payload []byte
}

// outbox holds the messages to be sent. The message added last is sent first.
type outbox struct{ messages []peerMessage }

// add adds a message. The outbox keeps the payload.
func (o *outbox) add(to NodeID, payload []byte) {
	o.messages = append(o.messages, peerMessage{to, payload})
}

// last returns the message added last. The outbox must not be empty.
func (o *outbox) last() *peerMessage { return &o.messages[len(o.messages)-1] }

// appendReport appends a report to the message added last. The outbox must not be empty.
func (o *outbox) appendReport(report customerReport) {
	m := o.last()
	m.payload = appendReport(m.payload, report)
}

// next removes and returns the message to send next. It returns false if there is none.
func (o *outbox) next() (peerMessage, bool) {
	k := len(o.messages) - 1
	if k < 0 {
		return peerMessage{}, false
	}
	m := o.messages[k]
	o.messages = o.messages[:k]
	return m, true
}
