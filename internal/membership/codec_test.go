package membership

import (
	"encoding/hex"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"
)

// TestDatagramWireFormat guards against nodes of different versions that cannot decode each other's messages. Every kind of
// message keeps its bytes, and decodes to the original message.
func TestDatagramWireFormat(t *testing.T) {
	for _, c := range []struct {
		name string
		in   message
		want string // encoded message, in hexadecimal
	}{
		{"ping", message{header: header{kind: ping, sequence: 1, deadHash: 0xdb052768}}, "d00101db052768"},
		{
			"ack with a large sequence",
			message{header: header{kind: ack, sequence: integerLimit - 1}},
			"d002ffffffffffffffff3f00000000",
		},
		{"ping request", message{header: header{kind: pingRequest, sequence: 255, target: 300}}, "d003ff0100000000ac02"},
		{"correction", message{header: header{kind: correction}, parts: []part{
			{kind: memberPart, member: memberUpdate{id: 5, state: Suspect, incarnation: 300}},
			{kind: memberPart, member: memberUpdate{id: MaxNodes - 1, state: Dead}},
		}}, "d004000000000001" + "15ac02" + "01feff0f00"},
		{"dispute with events", message{header: header{kind: dispute}, parts: []part{
			{kind: eventPart, event: Event{Kind: 1, ID: 99, OK: true}, age: 100 * time.Millisecond},
			{kind: eventPart, event: Event{Kind: 3, ID: math.MaxUint64 - 1}, age: time.Minute},
		}}, "d0050000000000" + "02036364" + "0206" + "feffffffffffffffff01" + "e0d403"},
		{
			"bitmap",
			message{header: header{kind: ack}, parts: []part{{kind: bitmapPart, firstMember: 1024, bitmap: []byte{0x81, 2}}}},
			"d0020000000000" + "038008" + "02" + "8102",
		},
		{
			"empty bitmap",
			message{header: header{kind: ack}, parts: []part{{kind: bitmapPart, bitmap: []byte{}}}},
			"d0020000000000" + "030000",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			payload := appendHeader(nil, c.in.header)
			for _, p := range c.in.parts {
				switch p.kind {
				case memberPart:
					payload = appendMemberUpdate(payload, p.member)
				case eventPart:
					payload = appendEvent(payload, p.event, p.age)
				case bitmapPart:
					payload = appendBitmap(payload, p.firstMember, p.bitmap)
				}
			}
			if got := hex.EncodeToString(payload); got != c.want {
				t.Errorf("encoded message = %s, want %s", got, c.want)
			}
			if decoded, err := decode(payload, MaxNodes, 3); err != nil || !reflect.DeepEqual(decoded, c.in) {
				t.Errorf("decode(%x) = %+v, %v; want %+v, nil", payload, decoded, err, c.in)
			}
			for size := range payload { // a truncated message is either malformed or a shorter valid one
				if _, err := decode(payload[:size], MaxNodes, 3); err != nil && !errors.Is(err, ErrMalformed) {
					t.Errorf("decode of the first %d bytes: error %v, want none or one that wraps ErrMalformed", size, err)
				}
			}
		})
	}
}

// TestLongestPartsFitMaxSizes guards against messages longer than MaxMessageSize. The longest update, event and bitmap fit
// into the sizes that the encoder reserves for them.
func TestLongestPartsFitMaxSizes(t *testing.T) {
	if size := len(appendMemberUpdate(nil, memberUpdate{id: MaxNodes - 1, state: Dead, incarnation: integerLimit - 1})); size > maxUpdateSize {
		t.Errorf("longest member update has %d bytes, want at most %d", size, maxUpdateSize)
	}
	if size := len(appendEvent(nil, Event{Kind: 127, ID: math.MaxUint64, OK: true}, maxEventAge)); size > maxUpdateSize {
		t.Errorf("longest event has %d bytes, want at most %d", size, maxUpdateSize)
	}
	header := appendHeader(nil, header{kind: pingRequest, sequence: integerLimit - 1, target: MaxNodes - 1})
	bitmap := appendBitmap(nil, MaxNodes-1, make([]byte, maxBitmapSize))
	if size := len(header) + maxUpdateSize + len(bitmap); size > MaxMessageSize {
		t.Errorf("message with the longest bitmap has %d bytes, want at most %d", size, MaxMessageSize)
	}
}
