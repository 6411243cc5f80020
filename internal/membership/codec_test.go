package membership

import (
	"encoding/hex"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"
)

// Nodes of different versions share a fleet, so every kind of message keeps its bytes. The message is also decoded again.
func TestDatagramWireFormat(t *testing.T) {
	for _, c := range []struct {
		name string
		in   message
		want string // hexadecimal
	}{
		{"ping", message{header: header{kind: ping, sequence: 1, deadHash: 0xdb052768}}, "d00101db052768"},
		{
			"ack with a large sequence",
			message{header: header{kind: ack, sequence: integerLimit - 1}},
			"d002ffffffffffffffff3f00000000",
		},
		{"ping request", message{header: header{kind: pingRequest, sequence: 255, target: 300}}, "d003ff0100000000ac02"},
		{"correct", message{header: header{kind: correction}, parts: []part{
			{kind: memberPart, member: memberUpdate{id: 5, state: Suspect, incarnation: 300}},
			{kind: memberPart, member: memberUpdate{id: MaxNodes - 1, state: Dead}},
		}}, "d004000000000001" + "15ac02" + "01feff0f00"},
		{"object with events", message{header: header{kind: dispute}, parts: []part{
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
				t.Errorf("%s, want %s", got, c.want)
			}
			if decoded, err := decode(payload, MaxNodes, 3); err != nil || !reflect.DeepEqual(decoded, c.in) {
				t.Errorf("%+v, %v, want %+v", decoded, err, c.in)
			}
			for size := range payload { // a truncated message is either a shorter valid one or malformed
				if _, err := decode(payload[:size], MaxNodes, 3); err != nil && !errors.Is(err, ErrMalformed) {
					t.Errorf("%d bytes: %v", size, err)
				}
			}
		})
	}
}

// The longest update, event and bitmap fit into the sizes that the encoder reserves for them.
func TestLongestPartsFitMaxSizes(t *testing.T) {
	if size := len(appendMemberUpdate(nil, memberUpdate{id: MaxNodes - 1, state: Dead, incarnation: integerLimit - 1})); size > maxUpdateSize {
		t.Errorf("the longest update has %d bytes", size)
	}
	if size := len(appendEvent(nil, Event{Kind: 127, ID: math.MaxUint64, OK: true}, maxEventAge)); size > maxUpdateSize {
		t.Errorf("the longest event has %d bytes", size)
	}
	header := appendHeader(nil, header{kind: pingRequest, sequence: integerLimit - 1, target: MaxNodes - 1})
	bitmap := appendBitmap(nil, MaxNodes-1, make([]byte, maxBitmapSize))
	if size := len(header) + maxUpdateSize + len(bitmap); size > MaxMessageSize {
		t.Errorf("a message with the longest bitmap has %d bytes", size)
	}
}
