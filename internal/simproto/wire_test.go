package simproto

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The example of the protocol page, field by field, after an empty batch.
func TestReadBatch(t *testing.T) {
	in := fromHex(t, `00000000 5a5c800000000000
		3f000000 5b5c800000000000
		01 24000000 0300 c4913a5d 00 00000000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 01
		0a 06000000 0300 4d000000
		04 06000000 0500 192b6f0e`)
	f := NewFrames(bytes.NewReader(in))
	clock, c, err := f.Next()
	if err != nil || clock != 0x805c5a || c.More() || c.At() != 12 {
		t.Fatalf("empty: %d, %v, at %d", clock, err, c.At())
	}
	clock, c, err = f.Next()
	if err != nil || clock != 0x805c5b || !c.More() || c.At() != 24 {
		t.Fatalf("%d, %v, at %d", clock, err, c.At())
	}
	code, r, err := c.Record()
	if err != nil || code != 1 || r.At() != 29 {
		t.Fatalf("record %d, %v, at %d", code, err, r.At())
	}
	if a, b, d, e := r.U16(), r.U32(), r.U8(), r.U32(); a != 3 || b != 0x5d3a91c4 || d != 0 || e != 0 {
		t.Errorf("%d %x %d %d", a, b, d, e)
	}
	if k, left := r.U64(), r.U32(); k != 0x91f03b7c55d20a64 || left != 240000 {
		t.Errorf("%x %d", k, left)
	}
	if a, b, d, e := r.F32(), r.F32(), r.F32(), r.U8(); a != 2 || b != 3 || d != 1 || e != 1 || r.More() || r.Err() != nil {
		t.Errorf("%v %v %v %d, %v", a, b, d, e, r.Err())
	}
	if code, r, err = c.Record(); err != nil || code != 10 || r.U16() != 3 || r.U32() != 0x4d || r.More() {
		t.Errorf("record %d, %v", code, err)
	}
	if code, r, err = c.Record(); err != nil || code != 4 || r.U16() != 5 || r.U32() != 0x0e6f2b19 || r.More() || c.More() {
		t.Errorf("record %d, %v", code, err)
	}
	if _, _, err = f.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestReadLists(t *testing.T) {
	c := &Cursor{b: fromHex(t, "03 0000803f 000000bf 00000040 00 0200 6869 05")}
	if got := c.Floats(make([]float64, 9)); !slices.Equal(got, []float64{1, -0.5, 2}) {
		t.Errorf("floats %v", got)
	}
	if got := c.Floats(nil); len(got) != 0 {
		t.Errorf("no floats: %v", got)
	}
	if got := c.Bytes(uint32(c.U16())); string(got) != "hi" {
		t.Errorf("bytes %q", got)
	}
	// The first error sticks; what is read after it is zero.
	if got := c.Floats(nil); len(got) != 1 || got[0] != 0 {
		t.Errorf("floats cut off: %v", got)
	}
	const want = "byte 19: 4 bytes wanted, 0 left in the record"
	if c.U8() != 0 || c.U64() != 0 || c.More() || c.Err() == nil || c.Err().Error() != want {
		t.Errorf("%v, want %s", c.Err(), want)
	}
}

// The example reply of the protocol page, as bytes.
func TestWriteReply(t *testing.T) {
	var r Reply
	for range 2 { // a reply is emptied for the next
		r.Reset()
		r.Open(ActPassOn, 3).U32(0x5d3a91c4).U32(80000).U32(0x03124a07)
		r.Close()
		r.Open(ActWakeAt, 3).U32(500000).U32(77)
		r.Close()
		r.Open(ActNoteDown, 3).Text([]byte("two servers known"))
		r.Close()
		r.Open(ActRecall, 3).U32(0x5d3a91c4).U8(0)
		r.Close()
		want := fromHex(t, `48000000 04000000
			0a 0e000000 0300 c4913a5d 80380100 074a1203
			0d 0a000000 0300 20a10700 4d000000
			04 15000000 0300 1100 74776f2073657276657273206b6e6f776e
			02 07000000 0300 c4913a5d 00`)
		if got := r.Finish(); !bytes.Equal(got, want) {
			t.Errorf("got  %x\nwant %x", got, want)
		}
	}
	r.Reset()
	if got := r.Finish(); !bytes.Equal(got, make([]byte, 8)) {
		t.Errorf("empty: %x", got)
	}
	r.Reset()
	r.Open(ActFault, 1).Text(bytes.Repeat([]byte{'x'}, 70000)) // cut to what its length can state
	r.Close()
	if got := r.Finish(); len(got) != 8+5+2+2+65535 || !bytes.Equal(got[:17], fromHex(t, "08000100 01000000 08 03000100 0100 ffff")) {
		t.Errorf("%d bytes, %x", len(got), got[:17])
	}
}
