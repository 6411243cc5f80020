package simproto

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

// fromHex decodes hexadecimal digits. It ignores blanks.
func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatalf("decoding the test's hexadecimal digits: %v", err)
	}
	return raw
}

// A wrong size or order of fields would break the simulator's protocol. The Reader parses an empty batch and the example
// batch of the protocol documentation. The names in the messages are those of the documentation.
func TestBatchWireFormat(t *testing.T) {
	reader := NewReader(bytes.NewReader(fromHex(t, `00000000 5a5c800000000000
		3f000000 5b5c800000000000
		01 24000000 0300 c4913a5d 00 00000000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 01
		0a 06000000 0300 4d000000
		04 06000000 0500 192b6f0e`)))
	batch, err := reader.Next()
	c := batch.Records
	checkRead(t, "empty batch", err, "0x805c5a at 12, more: false", fmt.Sprintf("%#x at %d, more: %v", batch.ClockMicros, c.Offset(), c.More()))
	batch, err = reader.Next()
	c = batch.Records
	checkRead(t, "batch", err, "0x805c5b at 24, more: true", fmt.Sprintf("%#x at %d, more: %v", batch.ClockMicros, c.Offset(), c.More()))

	record, err := c.Next()
	r := record.Fields
	got := fmt.Sprintf("%d at %d:", record.Code, r.Offset())
	got += fmt.Sprintf(" %d %#x %d %d", r.Uint16(), r.Uint32(), r.Uint8(), r.Uint32())
	got += fmt.Sprintf(" %#x %d", r.Uint64(), r.Uint32())
	got += fmt.Sprintf(" %v %v %v %d, more: %v, %v", r.Float32(), r.Float32(), r.Float32(), r.Uint8(), r.More(), r.Err())
	checkRead(t, "request", err, "1 at 29: 3 0x5d3a91c4 0 0 0x91f03b7c55d20a64 240000 2 3 1 1, more: false, <nil>", got)
	record, err = c.Next()
	r = record.Fields
	got = fmt.Sprintf("%d: %d %#x, more: %v, %v", record.Code, r.Uint16(), r.Uint32(), r.More(), c.More())
	checkRead(t, "elapsed", err, "10: 3 0x4d, more: false, true", got)
	record, err = c.Next()
	r = record.Fields
	got = fmt.Sprintf("%d: %d %#x, more: %v, %v", record.Code, r.Uint16(), r.Uint32(), r.More(), c.More())
	checkRead(t, "lapsed", err, "4: 5 0xe6f2b19, more: false, false", got)

	if _, err = reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("Next at the end of the input: error %v, want io.EOF", err)
	}
}

// checkRead fails the test unless err is nil and got equals want. item names the input that was read.
func checkRead(t *testing.T, item string, err error, want, got string) {
	t.Helper()
	if err != nil || got != want {
		t.Fatalf("%s: read %s (error %v), want %s", item, got, err, want)
	}
}

// The offset locates the fault in the simulator's output. Truncated input must give a FormatError with the offset, and no
// panic.
func TestTruncatedInputIsFormatError(t *testing.T) {
	for name, c := range map[string]struct {
		in     string
		offset int64
		want   string
	}{
		"truncated batch header":          {"0000000001", 0, "byte 0: batch header is truncated after 5 bytes"},
		"truncated batch":                 {"04000000 0000000000000000 0102", 14, "byte 14: batch at byte 0 states 4 bytes of records, but the input ends early"},
		"truncated record header":         {"02000000 0000000000000000 0102", 12, "byte 12: record header is truncated"},
		"record longer than its batch":    {"06000000 0000000000000000 01 02000000 03", 12, "byte 12: record with code 1 states 2 bytes, but the batch has 1 left"},
		"fields longer than their record": {"06000000 0000000000000000 01 01000000 03", 17, "byte 17: field needs 2 bytes, but the record has 1 left"},
	} {
		t.Run(name, func(t *testing.T) {
			batch, err := NewReader(bytes.NewReader(fromHex(t, c.in))).Next()
			if err == nil {
				var record Record
				if record, err = batch.Records.Next(); err == nil {
					record.Fields.Uint16()
					err = record.Fields.Err()
				}
			}
			var formatErr *FormatError
			if !errors.As(err, &formatErr) || formatErr.Offset != c.offset || err.Error() != c.want {
				t.Errorf("reading %s: error %v, want a FormatError at offset %d: %s", c.in, err, c.offset, c.want)
			}
		})
	}
}

// A caller checks only the first error, after it has read all fields. A Cursor reads lists of numbers and bytes, and only
// zero values after the first error.
func TestCursorReadsListsAndKeepsFirstError(t *testing.T) {
	c := &Cursor{data: fromHex(t, "03 0000803f 000000bf 00000040 00 0200 6869 05")}
	if got := c.Float32s(make([]float64, 9)); !slices.Equal(got, []float64{1, -0.5, 2}) {
		t.Errorf("Float32s of three numbers = %v, want [1 -0.5 2]", got)
	}
	if got := c.Float32s(nil); len(got) != 0 {
		t.Errorf("Float32s of no numbers = %v, want none", got)
	}
	if got := c.Bytes(uint32(c.Uint16())); string(got) != "hi" {
		t.Errorf("Bytes = %q, want \"hi\"", got)
	}
	if got := c.Float32s(nil); len(got) != 1 || got[0] != 0 {
		t.Errorf("Float32s of truncated numbers = %v, want [0]", got)
	}
	const want = "byte 19: field needs 4 bytes, but the record has 0 left"
	if short, long := c.Uint8(), c.Uint64(); short != 0 || long != 0 || c.More() || c.Err() == nil || c.Err().Error() != want {
		t.Errorf("after truncated numbers: Uint8 = %d, Uint64 = %d, More = %v, error %v; want 0, 0, false, error %s", short, long, c.More(), c.Err(), want)
	}
}

// A wrong size or order of fields would break the simulator's protocol. A Reply has the bytes of the example in the protocol
// documentation.
func TestReplyWireFormat(t *testing.T) {
	var r Reply
	for range 2 { // Reset discards the actions of the first round.
		r.Reset()
		r.Begin(ActionForward, 3).Uint32(0x5d3a91c4).Uint32(80000).Uint32(0x03124a07)
		r.End()
		r.Begin(ActionSetTimer, 3).Uint32(500000).Uint32(77)
		r.End()
		r.Begin(ActionLog, 3).Bytes([]byte("two servers known"))
		r.End()
		r.Begin(ActionCancelAttempt, 3).Uint32(0x5d3a91c4).Uint8(0)
		r.End()
		want := fromHex(t, `48000000 04000000
			0a 0e000000 0300 c4913a5d 80380100 074a1203
			0d 0a000000 0300 20a10700 4d000000
			04 15000000 0300 1100 74776f2073657276657273206b6e6f776e
			02 07000000 0300 c4913a5d 00`)
		if got := r.Finish(); !bytes.Equal(got, want) {
			t.Errorf("Finish after four actions:\ngot  %x\nwant %x", got, want)
		}
	}
	r.Reset()
	if got := r.Finish(); !bytes.Equal(got, make([]byte, 8)) {
		t.Errorf("Finish without actions = %x, want 8 zero bytes", got)
	}
	r.Reset()
	r.Begin(ActionFault, 1).Bytes(bytes.Repeat([]byte{'x'}, 70000)) // truncated to 65535 bytes
	r.End()
	if got := r.Finish(); len(got) != 8+5+2+2+65535 || !bytes.Equal(got[:17], fromHex(t, "08000100 01000000 08 03000100 0100 ffff")) {
		t.Errorf("Finish after an action with 70000 bytes: %d bytes that start with %x, want 65552 bytes that start with 080001000100000008030001000100ffff", len(got), got[:17])
	}
}
