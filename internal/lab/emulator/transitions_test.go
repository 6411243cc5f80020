package emulator

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/operatorfile"
)

// Guards against transitions that are out of order, which would run late. Transitions are sorted by time. At equal times,
// the starts of servers are last.
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
		t.Fatalf("ParseSchedule: %v", err)
	}
	f := &Fleet{}
	for id := range 2 {
		f.Servers = append(f.Servers, &Server{id: id, cfg: operatorfile.Emulator{}, schedule: schedule})
	}
	want := []transition{
		{time.Second, 1, serverStop},
		{3 * time.Second, 0, serverStop},
		{3 * time.Second, 0, serverDrain},
		{3 * time.Second, 1, serverDrain},
		{3 * time.Second, 1, serverStart},
		{4 * time.Second, 0, serverStart},
	}
	if got := f.transitions(); !slices.Equal(got, want) {
		t.Errorf("transitions() = %+v, want %+v (kinds: %d stop, %d drain, %d start)", got, want, serverStop, serverDrain, serverStart)
	}
}
