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

// A schedule is valid as a whole, or the error names the fault.
func TestLoadSchedule(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Fault
		bad        bool
	}{
		{
			"two faults", "[[fault]]\nkind = \"cut\"\nat_s = 1.5\nfor_s = 2\n[[fault]]\nkind = \"forget\"\nat_s = 4\nchance = 0.3\n",
			[]Fault{{Kind: cut, At: 1.5, For: 2}, {Kind: forget, At: 4, Chance: 0.3}},
			false,
		},
		{"none", "", nil, false},
		{"unknown kind", "[[fault]]\nkind = \"melt\"\n", nil, true},
		{"unknown key", "[[fault]]\nkind = \"cut\"\nafter_s = 1\n", nil, true},
		{"a chance above 1", "[[fault]]\nkind = \"forget\"\nchance = 1.1\n", nil, true},
		{"a time before the start", "[[fault]]\nkind = \"cut\"\nat_s = -1\n", nil, true},
		{"no number", "[[fault]]\nkind = \"slow\"\ndelay_ms = nan\n", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "faults.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := LoadSchedule(path)
			if !reflect.DeepEqual(got, c.want) || errors.Is(err, ErrBadFault) != c.bad || (err != nil) != c.bad {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
	if _, err := LoadSchedule(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
}

// A store does not start on an address beyond loopback, or with an invalid fault.
func TestStartErrors(t *testing.T) {
	if _, err := Start("0.0.0.0:0", 1, nil); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("on all addresses: %v", err)
	}
	if _, err := Start("127.0.0.1:0", 1, []Fault{{Kind: cut, At: math.NaN()}}); !errors.Is(err, ErrBadFault) {
		t.Errorf("with a fault at no time: %v", err)
	}
	if _, err := Start("127.0.0.1:none", 1, nil); err == nil {
		t.Error("started on an invalid port")
	}
}

// A failover loses the writes after a time and no others. A clone is independent. Old writes are dropped.
func TestDataLosesRecentWrites(t *testing.T) {
	d := newData()
	if !d.setField("h", "a", "1") || !d.setField("h", "b", "1") || d.setField("h", "a", "2") {
		t.Error("setField does not report whether the field is new")
	}
	now := time.Now()
	d.recordWrites(write{now.Add(-time.Second), "h", "a", "2"}, write{now, "h", "b", "1"})
	copied := d.clone()
	if lost := d.loseWrites(now.Add(-time.Millisecond)); len(lost) != 1 || lost[0].field != "b" {
		t.Errorf("lost %v", lost)
	}
	if want := map[string]string{"a": "2"}; !reflect.DeepEqual(d.hashes["h"], want) || len(copied.hashes["h"]) != 2 {
		t.Errorf("%v, its copy %v", d.hashes, copied.hashes)
	}
	d.strings["s"], d.expires["s"] = "x", now.Add(-time.Nanosecond)
	d.expire("s")
	d.expire("h")
	if d.has("s") || !d.has("h") || len(d.expires) > 0 {
		t.Errorf("%+v", d)
	}
	for range 2 * maxRecentWrites {
		d.recordWrites(write{key: "h"})
	}
	if len(d.recent) > maxRecentWrites {
		t.Errorf("%d recent writes", len(d.recent))
	}
}
