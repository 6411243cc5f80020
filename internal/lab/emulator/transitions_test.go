package emulator

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/operatorfile"
)

// Restarts and drains are sorted by time. At equal times, servers that come up are last.
func TestTransitionsInOrder(t *testing.T) {
	schedule, err := ParseSchedule(`
[[fault]]
kind = "restart"
server = 1
at_s = 1
for_s = 2
[[fault]]
kind = "slow"
server = -1
at_s = 2
for_s = 9
[[fault]]
kind = "restart"
server = 0
at_s = 3
for_s = 1
[[fault]]
kind = "drain"
server = -1
at_s = 3
for_s = 1
`, 2)
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{}
	for id := range 2 {
		f.Servers = append(f.Servers, &Server{id: id, cfg: operatorfile.Emulator{}, schedule: schedule})
	}
	want := []transition{
		{time.Second, 1, goDown},
		{3 * time.Second, 0, goDown},
		{3 * time.Second, 0, startDrain},
		{3 * time.Second, 1, startDrain},
		{3 * time.Second, 1, comeUp},
		{4 * time.Second, 0, comeUp},
	}
	if got := f.transitions(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
