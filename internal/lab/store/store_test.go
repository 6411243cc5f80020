package store

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// Guards against an invalid schedule that is accepted, and against a valid one that is read wrongly. The error for an invalid
// schedule wraps ErrInvalidFault.
func TestLoadSchedule(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Fault
		invalid    bool
	}{
		{
			"two faults", "[[fault]]\nkind = \"cut\"\nat_s = 1.5\nfor_s = 2\n[[fault]]\nkind = \"forget\"\nat_s = 4\nchance = 0.3\n",
			[]Fault{{Kind: faultCut, StartS: 1.5, DurationS: 2}, {Kind: faultForget, StartS: 4, LossProbability: 0.3}},
			false,
		},
		{"none", "", nil, false},
		{"unknown kind", "[[fault]]\nkind = \"melt\"\n", nil, true},
		{"unknown key", "[[fault]]\nkind = \"cut\"\nafter_s = 1\n", nil, true},
		{"a chance above 1", "[[fault]]\nkind = \"forget\"\nchance = 1.1\n", nil, true},
		{"a time before the start", "[[fault]]\nkind = \"cut\"\nat_s = -1\n", nil, true},
		{"not a number", "[[fault]]\nkind = \"slow\"\ndelay_ms = nan\n", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "faults.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := LoadSchedule(path)
			if !reflect.DeepEqual(got, c.want) || errors.Is(err, ErrInvalidFault) != c.invalid || (err != nil) != c.invalid {
				t.Errorf("LoadSchedule of %q = %+v, %v, want %+v and an error that wraps ErrInvalidFault: %v", c.text, got, err, c.want, c.invalid)
			}
		})
	}
	if _, err := LoadSchedule(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("LoadSchedule of a missing file: got error %v, want %v", err, os.ErrNotExist)
	}
}

// Guards against a store that other machines can reach, or that starts with an invalid fault or port.
func TestStartErrors(t *testing.T) {
	if _, err := Start("0.0.0.0:0", 1, nil); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("Start on all addresses: got error %v, want %v", err, ErrNotLoopback)
	}
	if _, err := Start("127.0.0.1:0", 1, []Fault{{Kind: faultCut, StartS: math.NaN()}}); !errors.Is(err, ErrInvalidFault) {
		t.Errorf("Start with a fault at time NaN: got error %v, want %v", err, ErrInvalidFault)
	}
	if _, err := Start("127.0.0.1:none", 1, nil); err == nil {
		t.Error("Start on an invalid port: got no error, want one")
	}
}

// Guards against a failover that loses older writes, and against a clone that shares data with its original. Also guards
// against an expiry that removes other keys, and against a list of recent writes that grows without bound.
func TestDataLosesRecentWrites(t *testing.T) {
	d := newData()
	if a, b, again := d.setField("h", "a", "1"), d.setField("h", "b", "1"), d.setField("h", "a", "2"); !a || !b || again {
		t.Errorf("setField of the new fields a and b, then of a again = %v, %v, %v, want true, true, false", a, b, again)
	}
	now := time.Now()
	d.recordWrites(write{now.Add(-time.Second), "h", "a", "2"}, write{now, "h", "b", "1"})
	copied := d.clone()
	if lost := d.loseWrites(now.Add(-time.Millisecond)); len(lost) != 1 || lost[0].field != "b" {
		t.Errorf("loseWrites = %v, want one write, of field b", lost)
	}
	if want := map[string]string{"a": "2"}; !reflect.DeepEqual(d.hashes["h"], want) || len(copied.hashes["h"]) != 2 {
		t.Errorf("after loseWrites: hash h is %v, in the earlier clone %v; want %v, and two fields in the clone", d.hashes["h"], copied.hashes["h"], want)
	}
	d.strings["s"], d.expires["s"] = "x", now.Add(-time.Nanosecond)
	d.removeIfExpired("s")
	d.removeIfExpired("h")
	if d.has("s") || !d.has("h") || len(d.expires) > 0 {
		t.Errorf("after removeIfExpired: has(\"s\") = %v, has(\"h\") = %v, %d keys with an expiry; want false, true, 0",
			d.has("s"), d.has("h"), len(d.expires))
	}
	for range 2 * maxRecentWrites {
		d.recordWrites(write{key: "h"})
	}
	if len(d.recentWrites) > maxRecentWrites {
		t.Errorf("%d recent writes are kept after %d more writes, want at most %d", len(d.recentWrites), 2*maxRecentWrites, maxRecentWrites)
	}
}
