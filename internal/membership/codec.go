package membership

// Wire format of the messages.
//
// A message is a datagram of at most MaxMessageSize bytes: a header (see header) and any number of parts. Each part begins
// with a byte for its kind:
//
//	memberPart: id<<stateBits|state (uvarint), incarnation (uvarint)
//	eventPart:  kind<<1|ok (byte), id (uvarint), age in eventAgeUnit (uvarint)
//	bitmapPart: first member (uvarint), size in bytes (uvarint), bitmap of the dead members
//
// Integers are encoded as uvarints of encoding/binary. A message with any invalid field is rejected as a whole.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// MagicByte is the first byte of each message. Other protocols on the same socket use other first bytes.
	MagicByte = 0xD0
	// MaxMessageSize is the maximum size of a message, in bytes.
	MaxMessageSize = 256

	// maxUpdateSize is the maximum size of a memberPart or eventPart, in bytes.
	maxUpdateSize = 30
	// maxBitmapSize is the maximum size of a bitmap, in bytes. A larger fleet sends one section of its bitmap at a time.
	maxBitmapSize = 128
	// eventAgeUnit is the unit of an event's age.
	eventAgeUnit = time.Millisecond
	// integerLimit is the exclusive upper bound of sequence numbers and incarnations.
	integerLimit = 1 << 62
	// stateBits is the number of low bits that hold the state in the first integer of a memberPart.
	stateBits = 2
)

// messageKind is the kind of a message. The values are those on the wire.
type messageKind uint8

const (
	// ping asks the receiver for an ack. With sequence 0 it only carries gossip and gets no ack.
	ping messageKind = iota + 1
	// ack answers the ping with the same sequence.
	ack
	// pingRequest asks the receiver to ping the target and to forward the target's ack.
	pingRequest
	// correction carries members that are dead at the receiver and not dead at the sender.
	correction
	// dispute answers a correction. A dispute carries members that stay dead at its sender, because their incarnations there
	// are at least as high. The dispute calls them suspect. The receiver then suspects them, and they can refute the suspicion.
	dispute
)

// partKind is the kind of a part. The values are those on the wire.
type partKind uint8

const (
	memberPart partKind = iota + 1
	eventPart
	bitmapPart
)

// ErrMalformed is wrapped by every error of Receive.
var ErrMalformed = errors.New("malformed membership message")

// header is the beginning of each message. The encoding is MagicByte, kind, sequence (uvarint), deadHash (4 bytes, big
// endian), and target (uvarint) if the kind is pingRequest.
type header struct {
	kind     messageKind
	sequence uint64 // sequence of the ping that is sent, answered or requested; 0 in other kinds
	deadHash uint32 // hash of the sender's dead members
	target   NodeID // node to ping in a pingRequest; 0 in other kinds
}

// message is a decoded message.
type message struct {
	header
	parts []part
}

// part is a decoded part of a message. Only the fields of its kind are set.
type part struct {
	kind partKind

	member memberUpdate // update in a memberPart

	event Event         // event in an eventPart, without At
	age   time.Duration // age in an eventPart: time from the event to the sending of the message

	firstMember NodeID // member of the first bit in a bitmapPart
	bitmap      []byte // dead members in a bitmapPart; refers to the message's payload
}

// appendHeader appends a header to a message.
func appendHeader(payload []byte, h header) []byte {
	payload = append(payload, MagicByte, byte(h.kind))
	payload = binary.AppendUvarint(payload, h.sequence)
	payload = binary.BigEndian.AppendUint32(payload, h.deadHash)
	if h.kind == pingRequest {
		payload = binary.AppendUvarint(payload, uint64(h.target))
	}
	return payload
}

// appendMemberUpdate appends a memberPart to a message.
func appendMemberUpdate(payload []byte, u memberUpdate) []byte {
	payload = append(payload, byte(memberPart))
	payload = binary.AppendUvarint(payload, uint64(u.id)<<stateBits|uint64(u.state))
	return binary.AppendUvarint(payload, uint64(u.incarnation))
}

// appendEvent appends an eventPart to a message. age replaces e.At, because nodes do not share a clock.
func appendEvent(payload []byte, e Event, age time.Duration) []byte {
	okBit := byte(0)
	if e.OK {
		okBit = 1
	}
	payload = append(payload, byte(eventPart), e.Kind<<1|okBit)
	payload = binary.AppendUvarint(payload, e.ID)
	return binary.AppendUvarint(payload, uint64(age/eventAgeUnit))
}

// appendBitmap appends a bitmapPart to a message. firstMember is the member of the first bit.
func appendBitmap(payload []byte, firstMember NodeID, bitmap []byte) []byte {
	payload = append(payload, byte(bitmapPart))
	payload = binary.AppendUvarint(payload, uint64(firstMember))
	payload = binary.AppendUvarint(payload, uint64(len(bitmap)))
	return append(payload, bitmap...)
}

// decode decodes a message of a fleet. nodes is the size of the fleet, and eventKinds is Config.EventKinds. An error wraps
// ErrMalformed.
func decode(payload []byte, nodes int, eventKinds uint8) (message, error) {
	if len(payload) < 2 || len(payload) > MaxMessageSize {
		return message{}, fmt.Errorf("%w: size is %d bytes, want 2 to %d", ErrMalformed, len(payload), MaxMessageSize)
	}
	if payload[0] != MagicByte {
		return message{}, fmt.Errorf("%w: first byte is %#x, want %#x", ErrMalformed, payload[0], MagicByte)
	}
	r := reader{rest: payload[2:], nodes: nodes, eventKinds: eventKinds}
	m := message{header: r.header(messageKind(payload[1]))}
	for r.err == nil && len(r.rest) > 0 {
		m.parts = append(m.parts, r.part())
	}
	if r.err != nil {
		return message{}, r.err
	}
	return m, nil
}

// reader decodes the fields of a message in order. The first error is kept, and every later read returns the zero value.
type reader struct {
	rest       []byte // bytes that are not yet decoded
	nodes      int    // size of the fleet
	eventKinds uint8  // value of Config.EventKinds
	err        error  // first error; wraps ErrMalformed
}

// setError sets the error unless there already is one. field names the invalid field.
func (r *reader) setError(field string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: invalid %s, %d bytes before the end of the message", ErrMalformed, field, len(r.rest))
	}
}

// uvarint reads an integer below limit.
func (r *reader) uvarint(field string, limit uint64) uint64 {
	value, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 || value >= limit {
		r.setError(field)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// node reads the number of a node of the fleet.
func (r *reader) node() NodeID { return NodeID(r.uvarint("node", uint64(r.nodes))) }

// bytes reads size bytes. The result refers to the message's payload. After an error the result is nil.
func (r *reader) bytes(field string, size int) []byte {
	if r.err != nil || size > len(r.rest) {
		r.setError(field)
		return nil
	}
	value := r.rest[:size]
	r.rest = r.rest[size:]
	return value
}

// readByte reads one byte.
func (r *reader) readByte(field string) byte {
	if b := r.bytes(field, 1); r.err == nil {
		return b[0]
	}
	return 0
}

// header reads the fields of a header that follow the kind.
func (r *reader) header(kind messageKind) header {
	h := header{kind: kind, sequence: r.uvarint("sequence", integerLimit)}
	if hash := r.bytes("dead hash", 4); r.err == nil {
		h.deadHash = binary.BigEndian.Uint32(hash)
	}
	if kind == pingRequest {
		h.target = r.node()
	}
	if kind < ping || kind > dispute {
		r.setError("message kind")
	}
	return h
}

// part reads one part of any kind.
func (r *reader) part() part {
	p := part{kind: partKind(r.readByte("part kind"))}
	switch p.kind {
	case memberPart:
		p.member = r.memberUpdate()
	case eventPart:
		p.event = r.event()
		p.age = r.eventAge()
	case bitmapPart:
		p.firstMember = r.node()
		size := r.uvarint("bitmap size", maxBitmapSize+1)
		p.bitmap = r.bytes("bitmap", int(size))
	default:
		r.setError("part kind")
	}
	return p
}

// memberUpdate reads the fields of a memberPart.
func (r *reader) memberUpdate() memberUpdate {
	idAndState := r.uvarint("member", uint64(r.nodes)<<stateBits)
	u := memberUpdate{id: NodeID(idAndState >> stateBits), state: State(idAndState & (1<<stateBits - 1))}
	u.incarnation = incarnation(r.uvarint("incarnation", integerLimit))
	if u.state > Dead {
		r.setError("state")
	}
	return u
}

// event reads the fields of an eventPart that precede its age.
func (r *reader) event() Event {
	kindAndOK := r.readByte("event kind")
	e := Event{Kind: kindAndOK >> 1, OK: kindAndOK&1 == 1}
	e.ID = r.uvarint("event id", math.MaxUint64)
	if e.Kind < 1 || e.Kind > r.eventKinds {
		r.setError("event kind")
	}
	return e
}

// eventAge reads the age of an event.
func (r *reader) eventAge() time.Duration {
	limit := uint64(maxEventAge/eventAgeUnit) + 1
	return time.Duration(r.uvarint("event age", limit)) * eventAgeUnit
}
