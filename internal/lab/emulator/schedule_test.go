package emulator

import (
	"reflect"
	"testing"
)

// Guards against a change of the format of schedule files, such as a renamed kind or key or another default.
func TestScheduleFileFormat(t *testing.T) {
	const text = `
[[fault]]
kind = "slow"
server = -1
at_s = 1
for_s = 2
x = 3
[[fault]]
kind = "error"
server = 1
at_s = 2
for_s = 2
p = 0.5
[[fault]]
kind = "reset"
at_s = 3
for_s = 2
[[fault]]
kind = "spoil"
at_s = 4
for_s = 2
[[fault]]
kind = "silence"
at_s = 5
for_s = 2
[[fault]]
kind = "lose"
at_s = 6
for_s = 2
[[fault]]
kind = "refuse"
at_s = 7
for_s = 2
[[fault]]
kind = "restart"
at_s = 8
for_s = 2
[[fault]]
kind = "drain"
at_s = 9
for_s = 2
`
	s, err := ParseSchedule(text, 2)
	if err != nil {
		t.Fatalf("ParseSchedule: %v", err)
	}
	want := []Fault{
		{Slow, -1, 1, 2, 1, 3},
		{Error, 1, 2, 2, 0.5, 5},
		{Reset, 0, 3, 2, 1, 5},
		{Malform, 0, 4, 2, 1, 5},
		{Silence, 0, 5, 2, 1, 5},
		{LoseResponse, 0, 6, 2, 1, 5},
		{Refuse, 0, 7, 2, 1, 5},
		{Restart, 0, 8, 2, 1, 5},
		{Drain, 0, 9, 2, 1, 5},
	}
	if !reflect.DeepEqual(s.Faults, want) {
		t.Errorf("ParseSchedule: got faults %+v, want %+v", s.Faults, want)
	}
}
