package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// batch returns a batch of records at a time in microseconds.
func batch(clock uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint64(out, clock)
	return append(out, body...)
}

// record returns a record with an event or action code. Its fields are fixed-size values, or strings without their length.
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

// testSettings are the settings of a node with one class and one plan.
const testSettings = "services.count=1\nservices.0.slo=600000\nservices.0.semantics=idempotent\n" +
	"tiers_of_service.count=1\ntiers_of_service.0.units_per_s=5\ntiers_of_service.0.depth=10\n" +
	"replicas_of_me=1\ntick=4000\nlimits.attempts_cap=2\nsome.new.key=7\n"

// startRecord returns the event that starts instance 3.
func startRecord() []byte {
	return record(11, uint16(3), uint64(9), uint32(len(testSettings)), testSettings)
}

// endpointListRecord returns an endpoint list with one app server in service.
func endpointListRecord(instance uint16) []byte {
	return record(2, instance, uint32(1), uint8(1), uint32(1),
		uint32(77), uint8(0), uint16(0), uint16(0), uint8(1), float32(1), uint64(0))
}

// requestRecord returns a client's request.
func requestRecord(instance uint16, id uint32) []byte {
	return record(1, instance, id, uint8(0), uint32(0), uint64(3), uint32(900000), float32(1), float32(1), float32(0), uint8(0))
}

// The simulator waits for one reply to each batch. A request must get an attempt, and an empty batch an empty reply.
func TestRequestIsForwarded(t *testing.T) {
	var out bytes.Buffer
	in := bytes.Join([][]byte{
		batch(1e9), batch(1000004000, startRecord(), endpointListRecord(3)),
		batch(1000008000, requestRecord(3, 500), requestRecord(3, 501)),
	}, nil)
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatalf("run: %v", err)
	}
	want := record(10, uint16(3), uint32(500))
	binary.LittleEndian.PutUint32(want[1:], 14) // size of the fields; the timeout and the server follow
	if !bytes.Contains(out.Bytes(), want) {
		t.Fatalf("the replies %x do not contain the attempt %x", out.Bytes(), want)
	}
	if empty := make([]byte, 8); !bytes.HasPrefix(out.Bytes(), empty) {
		t.Fatalf("the replies %x do not start with %x, the reply to an empty batch", out.Bytes(), empty)
	}
}

// The error must lead to the fault in the simulator's output. It contains the offset, or the code or instance at fault.
func TestMalformedInputErrors(t *testing.T) {
	long := requestRecord(3, 1)
	long[1] = 0xff
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated batch header":          {batch(1)[:5], "byte 0: batch header is truncated after 5 bytes"},
		"truncated batch":                 {batch(1, startRecord())[:40], "byte 40: batch at byte 0 states"},
		"too large size":                  {[]byte{255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 1}, "states 4294967295 bytes of records, but the input ends early"},
		"record longer than its batch":    {batch(1, long), "byte 12: record with code 1 states 255 bytes"},
		"truncated record header":         {batch(1, []byte{1, 2}), "byte 12: record header is truncated"},
		"unknown event":                   {batch(1, startRecord(), record(99, uint16(3))), "unknown event code 99"},
		"truncated fields":                {batch(1, startRecord(), record(4, uint16(3), uint8(1))), "field needs 4 bytes, but the record has 1 left"},
		"truncated list":                  {batch(1, startRecord(), record(2, uint16(3), uint32(1), uint8(1), uint32(1<<31))), "bytes, but the record has 0 left"},
		"instance not started":            {batch(1, requestRecord(8, 1)), "instance 8, which has not started"},
		"kill of an instance not started": {batch(1, record(8, uint16(8))), "instance 8, which has not started"},
		"unknown outcome":                 {batch(1, startRecord(), record(7, uint16(3), uint32(1), uint8(0), uint32(7), uint16(9), uint32(1), uint8(0), uint16(0), uint16(0), uint8(0))), "unknown outcome code 9"},
	} {
		err := run(bytes.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("run with %s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}
