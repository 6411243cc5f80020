package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// Sizes and marks of a message.
const (
	MessageMark    = 0xD0 // the first byte of each message; other protocols on the same socket use other bytes
	MaxMessageSize = 256  // bytes

	maxUpdateSize = 30  // bytes of one update
	maxBitmapSize = 128 // bytes of a bitmap in one message; that of a larger fleet goes in parts
	ageUnit       = time.Millisecond
	numberLimit   = 1 << 62 // numbers in a message are below it
	stateBits     = 2       // the low bits of a number that holds a member and its state
)

// messageKind is what a message is for. The values are those on the wire.
type messageKind uint8

const (
	ping        messageKind = iota + 1
	ack                     // of the ping with that sequence number
	pingRequest             // ping the target on the sender's behalf, and ack in its place
	correct                 // the receiver considers these members dead; here they are alive, at these incarnations
	object                  // these members are dead here at as high an incarnation; they have to refute it themselves
)

// The parts that follow a message's header.
const (
	memberPart = iota + 1
	eventPart
	bitmapPart
)

// ErrMalformed is returned for a message that can't be decoded. Such a message is ignored as a whole.
var ErrMalformed = errors.New("malformed membership message")

// header is what each message begins with: mark, kind, sequence (uvarint), dead hash (4 bytes, big endian), and for a
// pingRequest the target (uvarint).
type header struct {
	kind     messageKind
	sequence uint64
	deadHash uint32
	target   NodeID
}

// message is a decoded message.
type message struct {
	header
	parts []part
}

// part is one part of a message: an update about a member, an event, or a bitmap of dead members.
type part struct {
	kind   int
	member memberUpdate
	event  Event         // without At, which was
	age    time.Duration // so long ago
	first  NodeID        // bitmap: the member of the first bit
	bitmap []byte
}

func appendHeader(text []byte, h header) []byte {
	text = append(text, MessageMark, byte(h.kind))
	text = binary.AppendUvarint(text, h.sequence)
	text = binary.BigEndian.AppendUint32(text, h.deadHash)
	if h.kind == pingRequest {
		text = binary.AppendUvarint(text, uint64(h.target))
	}
	return text
}

func appendMemberUpdate(text []byte, u memberUpdate) []byte {
	text = append(text, memberPart)
	text = binary.AppendUvarint(text, uint64(u.id)<<stateBits|uint64(u.state))
	return binary.AppendUvarint(text, uint64(u.incarnation))
}

func appendEvent(text []byte, e Event, age time.Duration) []byte {
	ok := byte(0)
	if e.OK {
		ok = 1
	}
	text = append(text, eventPart, e.Kind<<1|ok)
	text = binary.AppendUvarint(text, e.ID)
	return binary.AppendUvarint(text, uint64(age/ageUnit))
}

func appendBitmap(text []byte, first NodeID, bitmap []byte) []byte {
	text = append(text, bitmapPart)
	text = binary.AppendUvarint(text, uint64(first))
	text = binary.AppendUvarint(text, uint64(len(bitmap)))
	return append(text, bitmap...)
}

// decode decodes a message of a fleet of so many nodes. An error wraps ErrMalformed.
func decode(text []byte, nodes int, eventKinds uint8) (message, error) {
	if len(text) < 2 || len(text) > MaxMessageSize || text[0] != MessageMark {
		return message{}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(text))
	}
	r := reader{rest: text[2:], nodes: nodes, eventKinds: eventKinds}
	var m message
	m.kind = messageKind(text[1])
	m.sequence = r.number(numberLimit)
	if hash := r.bytes(4); r.err == nil {
		m.deadHash = binary.BigEndian.Uint32(hash)
	}
	if m.kind == pingRequest {
		m.target = r.node()
	}
	if m.kind < ping || m.kind > object {
		r.fail("kind")
	}
	for r.err == nil && len(r.rest) > 0 {
		m.parts = append(m.parts, r.part())
	}
	if r.err != nil {
		return message{}, r.err
	}
	return m, nil
}

// reader reads the fields of a message in order. It keeps the first error; what it reads after that is zero.
type reader struct {
	rest       []byte
	nodes      int
	eventKinds uint8
	err        error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: bad %s, %d bytes before the end", ErrMalformed, what, len(r.rest))
	}
}

// number reads a uvarint below a limit.
func (r *reader) number(limit uint64) uint64 {
	value, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 || value >= limit {
		r.fail("number")
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *reader) node() NodeID { return NodeID(r.number(uint64(r.nodes))) }

// bytes reads so many bytes; nil after an error.
func (r *reader) bytes(size int) []byte {
	if r.err != nil || size > len(r.rest) {
		r.fail("length")
		return nil
	}
	value := r.rest[:size]
	r.rest = r.rest[size:]
	return value
}

// octet reads one byte.
func (r *reader) octet() byte {
	if b := r.bytes(1); r.err == nil {
		return b[0]
	}
	return 0
}

func (r *reader) part() part {
	p := part{kind: int(r.octet())}
	switch p.kind {
	case memberPart:
		p.member = r.memberUpdate()
	case eventPart:
		p.event, p.age = r.event()
	case bitmapPart:
		p.first = r.node()
		p.bitmap = r.bytes(int(r.number(maxBitmapSize + 1)))
	default:
		r.fail("part")
	}
	return p
}

func (r *reader) memberUpdate() memberUpdate {
	value := r.number(uint64(r.nodes) << stateBits)
	u := memberUpdate{id: NodeID(value >> stateBits), state: State(value & (1<<stateBits - 1))}
	u.incarnation = incarnation(r.number(numberLimit))
	if u.state > Dead {
		r.fail("state")
	}
	return u
}

func (r *reader) event() (e Event, age time.Duration) {
	head := r.octet()
	e.Kind, e.OK = head>>1, head&1 == 1
	e.ID = r.number(math.MaxUint64)
	age = time.Duration(r.number(uint64(maxEventAge/ageUnit)+1)) * ageUnit
	if e.Kind < 1 || e.Kind > r.eventKinds {
		r.fail("kind of event")
	}
	return e, age
}
