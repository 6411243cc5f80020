package emulator

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Guards against a renamed or reordered JSON key in the last line of `lab emulate`, which reports read. testdata/stats.json has
// the expected line.
func TestStatsJSONFormat(t *testing.T) {
	var s Stats
	for i := range reflect.TypeOf(s).NumField() {
		reflect.ValueOf(&s).Elem().Field(i).SetInt(int64(i + 1))
	}
	raw, err := json.Marshal(map[string]any{"stats": []Stats{s}})
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/stats.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(raw, '\n'), want) {
		t.Errorf("Marshal: got\n%s\nwant\n%s", raw, want)
	}
}
