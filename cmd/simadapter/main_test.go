package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

func frame(clock uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint64(out, clock)
	return append(out, body...)
}

func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			f = []byte(s)
		}
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return append(binary.LittleEndian.AppendUint32([]byte{code}, uint32(b.Len())), b.Bytes()...)
}

const testSettings = "services.count=1\nservices.0.slo=600000\nservices.0.semantics=idempotent\n" +
	"tiers_of_service.count=1\ntiers_of_service.0.units_per_s=5\ntiers_of_service.0.depth=10\n" +
	"replicas_of_me=1\ntick=4000\nlimits.attempts_cap=2\nsome.new.key=7\n"

// begin starts instance 3.
func begin() []byte {
	return record(11, uint16(3), uint64(9), uint32(len(testSettings)), testSettings)
}

func fleet(inst uint16) []byte {
	return record(2, inst, uint32(1), uint8(1), uint32(1),
		uint32(77), uint8(0), uint16(0), uint16(0), uint8(1), float32(1), uint64(0))
}

func request(inst uint16, id uint32) []byte {
	return record(1, inst, id, uint8(0), uint32(0), uint64(3), uint32(900000), float32(1), float32(1), float32(0), uint8(0))
}

// A request gets an attempt, and an empty batch an empty reply.
func TestRequestIsForwarded(t *testing.T) {
	var out bytes.Buffer
	in := bytes.Join([][]byte{
		frame(1e9), frame(1000004000, begin(), fleet(3)),
		frame(1000008000, request(3, 500), request(3, 501)),
	}, nil)
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := record(10, uint16(3), uint32(500))
	binary.LittleEndian.PutUint32(want[1:], 14) // the timeout and the server follow
	if !bytes.Contains(out.Bytes(), want) {
		t.Fatalf("no attempt in the reply: %x", out.Bytes())
	}
	if empty := make([]byte, 8); !bytes.HasPrefix(out.Bytes(), empty) {
		t.Fatalf("the reply to an empty batch is not empty: %x", out.Bytes())
	}
}

// The error for malformed input contains its offset.
func TestMalformedInputErrors(t *testing.T) {
	long := request(3, 1)
	long[1] = 0xff
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"header cut off":    {frame(1)[:5], "byte 0: batch header is truncated after 5 bytes"},
		"frame cut off":     {frame(1, begin())[:40], "byte 40: batch at byte 0 states"},
		"huge length":       {[]byte{255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 1}, "states 4294967295 bytes of records, but the input ends early"},
		"record overruns":   {frame(1, long), "byte 12: record with code 1 states 255 bytes"},
		"record header cut": {frame(1, []byte{1, 2}), "byte 12: record header is truncated"},
		"unknown event":     {frame(1, begin(), record(99, uint16(3))), "unknown event code 99"},
		"fields too short":  {frame(1, begin(), record(4, uint16(3), uint8(1))), "field needs 4 bytes, but the record has 1 left"},
		"list too short":    {frame(1, begin(), record(2, uint16(3), uint32(1), uint8(1), uint32(1<<31))), "bytes, but the record has 0 left"},
		"never begun":       {frame(1, request(8, 1)), "instance 8, which has not started"},
		"kill, never begun": {frame(1, record(8, uint16(8))), "instance 8, which has not started"},
		"unknown outcome":   {frame(1, begin(), record(7, uint16(3), uint32(1), uint8(0), uint32(7), uint16(9), uint32(1), uint8(0), uint16(0), uint16(0), uint8(0))), "unknown outcome code 9"},
	} {
		err := run(bytes.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}
