package decision

import (
	"encoding/hex"
	"fmt"
	"math"
	"testing"
)

// TestPeerMessageWireFormat checks the bytes of each kind of message between nodes. Nodes of different versions exchange
// messages, and would misread each other's reports if the format changed.
func TestPeerMessageWireFormat(t *testing.T) {
	const aboveLargest = 1 << 40
	for _, c := range []struct {
		kind   byte
		report customerReport
		want   string
	}{
		{kindUse, customerReport{}, "c800000000000000000000"},
		{kindUse, customerReport{customer: 1, demand: 1, use: 1, plan: 1, spread: 1, firstNode: 1, request: 1, class: 1, ended: 1}, "c80164c80101010101010100"},
		{kindUse, customerReport{customer: math.MaxUint64, demand: 0.004, use: -0.004}, "c8ffffffffffffffffff01000000000000000000"},
		{kindUse, customerReport{customer: 1 << 32, demand: 0.005, use: -0.005}, "c88080808010010000000000000000"},
		{kindUse, customerReport{customer: 300, demand: 12.345, use: -12.345, plan: 3, spread: 40, firstNode: 829}, "c8ac02d309a3130328bd0600000000"},
		{kindUse, customerReport{customer: 300, demand: -5, use: 0.999}, "c8ac0200c60100000000000000"},
		{kindUse, customerReport{demand: aboveLargest, use: aboveLargest}, "c800ffffffff0ffeffffff1f00000000000000"},
		{kindUse, customerReport{demand: aboveLargest, use: -aboveLargest}, "c800ffffffff0ffdffffff1f00000000000000"},
		{kindUse, customerReport{demand: math.MaxUint32 / 100.0, use: -math.MaxUint32 / 100.0}, "c800ffffffff0ffdffffff1f00000000000000"},
		{kindUse, customerReport{
			plan: math.MaxUint32, spread: math.MaxUint32, firstNode: math.MaxUint32, request: math.MaxUint32,
			class: math.MaxUint32, ended: math.MaxUint32,
		}, "c8000000ffffffff0fffffffff0fffffffff0fffffffff0fffffffff0fffffffff0f00"},
		{kindUse, customerReport{plan: -1}, "c8000000ffffffffffffffffff01000000000000"},
		{kindQuery, customerReport{customer: 77, use: 1.25, demand: 3.75, plan: 2, spread: 12, firstNode: 5, request: 1<<24 | 9, class: 4}, "cb4df702fa01020c0589808008040000"},
		{kindGrant, customerReport{customer: 77, demand: 0.01, plan: 2, spread: 12, firstNode: 5, request: 7, response: responseGranted}, "c94d0100020c0507000002"},
		{kindGrant, customerReport{customer: 77, demand: 1, plan: 2, spread: 12, firstNode: 5, request: 7, response: responseDenied}, "c94d6400020c0507000004"},
		{kindGrant, customerReport{customer: 77, demand: 1, plan: 2, spread: 12, firstNode: 5, response: responsePending, optimistic: true}, "c94d6400020c0500000001"},
		{kindGrant, customerReport{customer: 77, demand: 1, spread: 1, response: responseGranted, optimistic: true}, "c94d640000010000000003"},
		{kindGrant, customerReport{customer: 77, demand: 1, spread: 1, response: responseDenied, optimistic: true}, "c94d640000010000000005"},
	} {
		if got := hex.EncodeToString(appendReport([]byte{c.kind}, c.report)); got != c.want {
			t.Errorf("appendReport of kind %x and %+v = %s, want %s", c.kind, c.report, got, c.want)
		}
	}
	for _, c := range []struct {
		suspicion suspicion
		want      string
	}{
		{suspicion{}, "ca000000"},
		{suspicion{1, 1, 1}, "ca010101"},
		{suspicion{7919, 3, 48000}, "caef3d0380f702"},
		{suspicion{math.MaxUint32, math.MaxUint32, math.MaxUint32}, "caffffffff0fffffffff0fffffffff0f"},
	} {
		if got := hex.EncodeToString(appendSuspicion([]byte{kindSuspicion}, c.suspicion)); got != c.want {
			t.Errorf("appendSuspicion(%+v) = %s, want %s", c.suspicion, got, c.want)
		}
	}
}

// TestPeerMessageDecoding checks the decoding of valid and malformed messages, with 3 plans and 50 nodes. A malformed
// message must be rejected as a whole: its numbers could name a plan or a node that does not exist.
func TestPeerMessageDecoding(t *testing.T) {
	const max32, over32, max64, over64 = "ffffffff0f", "8080808010", "ffffffffffffffffff01", "ffffffffffffffffff02"
	for _, c := range []struct{ name, payload, want string }{
		{"an empty payload", "", "malformed"},
		{"another protocol", "c7", "malformed"},
		{"an unknown kind", "cc", "malformed"},
		{"a use without reports", "c8", "c8"},
		{"a grant without reports", "c9", "c9"},
		{"a message without suspicions", "ca", "ca"},
		{"a query without reports", "cb", "cb"},
		{"a use with an extra number", "c8" + "01" + "6400" + "c801" + "02" + "05" + "06" + "07" + "08" + "09" + "00", "malformed"},
		{"a complete use", "c8" + "01" + "64" + "c801" + "02" + "05" + "06" + "07" + "08" + "09" + "00", "c8 1 1 1 2 5 6 7 8 9 0 false;"},
		{"two uses", "c8" + "0164c80102050607080900" + "026400010a0000000003", "c8 1 1 1 2 5 6 7 8 9 0 false; 2 1 0 1 10 0 0 0 0 1 true;"},
		{"a use and part of another", "c8" + "0164c80102050607080900" + "026400010a00000000", "malformed"},
		{"a query", "cb" + "ac02" + "e807" + "b10f" + "01" + "28" + "0a" + "ffff03" + "04" + "00" + "00", "cb 300 10 -9.85 1 40 10 65535 4 0 0 false;"},
		{"a grant", "c9" + "ac02" + "01" + "00" + "01" + "28" + "0a" + "ffff03" + "00" + "00" + "03", "c9 300 0.01 0 1 40 10 65535 0 0 1 true;"},
		{"a denial with optimistic admission", "c9" + "ac02" + "01" + "00" + "01" + "28" + "0a" + "ffff03" + "00" + "00" + "05", "c9 300 0.01 0 1 40 10 65535 0 0 2 true;"},
		{"an unknown response", "c9" + "ac02" + "01" + "00" + "01" + "28" + "0a" + "ffff03" + "00" + "00" + "06", "malformed"},
		{"the largest valid numbers", "c8" + max64 + max32 + "ffffffff1f" + "02" + "32" + "31" + max32 + max32 + max32 + "05", "c8 18446744073709551615 4.294967295e+07 -4.294967296e+07 2 50 49 4294967295 4294967295 4294967295 2 true;"},
		{"a customer too large", "c8" + over64 + "00" + "00" + "00" + "01" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"a demand too large", "c8" + "00" + over32 + "00" + "00" + "01" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"the lowest use", "c8" + "00" + "00" + "feffffff1f" + "00" + "01" + "00" + "00" + "00" + "00" + "00", "c8 0 0 4.294967295e+07 0 1 0 0 0 0 0 false;"},
		{"a use too large", "c8" + "00" + "00" + "8080808020" + "00" + "01" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"an unknown plan", "c8" + "00" + "00" + "00" + "03" + "01" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"no spread", "c8" + "00" + "00" + "00" + "00" + "00" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"a spread beyond the fleet", "c8" + "00" + "00" + "00" + "00" + "33" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"a first node beyond the fleet", "c8" + "00" + "00" + "00" + "00" + "01" + "32" + "00" + "00" + "00" + "00", "malformed"},
		{"a plan too large", "c8" + "00" + "00" + "00" + over32 + "01" + "00" + "00" + "00" + "00" + "00", "malformed"},
		{"a request too large", "c8" + "00" + "00" + "00" + "00" + "01" + "00" + over32 + "00" + "00" + "00", "malformed"},
		{"a class too large", "c8" + "00" + "00" + "00" + "00" + "01" + "00" + "00" + over32 + "00" + "00", "malformed"},
		{"an ended field too large", "c8" + "00" + "00" + "00" + "00" + "01" + "00" + "00" + "00" + over32 + "00", "malformed"},
		{"numbers longer than needed", "c8" + "8000" + "8000" + "8000" + "8000" + "8100" + "8000" + "8000" + "8000" + "8000" + "8000", "c8 0 0 0 0 1 0 0 0 0 0 false;"},
		{"an endless number", "c8" + "ffffffffffffffffffffffff", "malformed"},
		{"a suspicion", "ca" + "ef3d" + "03" + "80f702", "ca 7919 3 48000;"},
		{"two suspicions", "ca" + "ef3d0380f702" + "010000", "ca 7919 3 48000; 1 0 0;"},
		{"a suspicion and part of another", "ca" + "ef3d0380f702" + "0100", "malformed"},
		{"the largest suspicion", "ca" + max32 + max32 + max32, "ca 4294967295 4294967295 4294967295;"},
		{"a suspicion's server too large", "ca" + over32 + "00" + "00", "malformed"},
		{"a suspicion's class too large", "ca" + "00" + over32 + "00", "malformed"},
		{"a suspicion's time too large", "ca" + "00" + "00" + over32, "malformed"},
	} {
		payload, err := hex.DecodeString(c.payload)
		if err != nil {
			t.Fatalf("%s: decoding the hexadecimal payload %q: %v", c.name, c.payload, err)
		}
		m, ok := decodeMessage(payload, 3, 50)
		got := "malformed"
		if ok {
			got = fmt.Sprintf("%x", m.kind)
			for _, v := range m.reports {
				got += fmt.Sprint(" ", v.customer, " ", v.demand, " ", v.use, " ", v.plan, " ", v.spread, " ", v.firstNode, " ",
					v.request, " ", v.class, " ", v.ended, " ", uint8(v.response), " ", v.optimistic, ";")
			}
			for _, v := range m.suspicions {
				got += fmt.Sprint(" ", v.server, " ", v.class, " ", int64(v.ejectedFor), ";")
			}
		}
		if got != c.want {
			t.Errorf("%s: decodeMessage(%s) = %q, want %q", c.name, c.payload, got, c.want)
		}
	}
}
