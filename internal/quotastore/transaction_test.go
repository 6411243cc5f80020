package quotastore

import (
	"errors"
	"math"
	"testing"

	"cherrygap/internal/quota"
)

// TestParseEntries guards against grants from a damaged reply. One invalid entry makes the whole reply malformed.
func TestParseEntries(t *testing.T) {
	for _, c := range []struct {
		field, value string
		want         quota.Commitment
		err          error
	}{
		{"0:1", "0", quota.Commitment{Sequence: 1}, nil},
		{"1234:17", "1e+21", quota.Commitment{Node: 1234, Sequence: 17, Cap: 1e21}, nil},
		{"-1:2", "+Inf", quota.Commitment{Node: -1, Sequence: 2, Cap: math.Inf(1)}, nil},
		{"", "1", quota.Commitment{}, ErrMalformedReply},
		{"1", "1", quota.Commitment{}, ErrMalformedReply},
		{"1:", "1", quota.Commitment{}, ErrMalformedReply},
		{"1:2:3", "1", quota.Commitment{}, ErrMalformedReply},
		{"1:2", "", quota.Commitment{}, ErrMalformedReply},
		{"1:2", "-0.5", quota.Commitment{}, ErrMalformedReply},
		{"1:2", "NaN", quota.Commitment{}, ErrMalformedReply},
	} {
		got, err := parseEntries(map[string]string{c.field: c.value})
		if !errors.Is(err, c.err) || err == nil && (len(got) != 1 || got[0] != c.want) || err != nil && got != nil {
			t.Errorf("parseEntries of field %q with value %q = %+v, %v; want [%+v], %v (nil with an error)", c.field, c.value, got, err, c.want, c.err)
		}
	}
	if got, err := parseEntries(nil); got != nil || err != nil {
		t.Errorf("parseEntries(nil) = %+v, %v; want nil, nil", got, err)
	}
}
