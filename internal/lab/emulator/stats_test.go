package emulator

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The counts in the last line of `lab emulate` have the keys of testdata/stats.json.
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
		t.Errorf("got\n%s", raw)
	}
}
