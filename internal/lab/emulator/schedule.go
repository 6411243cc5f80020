package emulator

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
)

// Kind is a fault an emulated server can be made to show.
type Kind string

// The faults. Each holds from its start for its length, on one server or all, for a share P of the requests
// it sees (restart and silence take the whole server).
const (
	Slow    Kind = "slow"    // service time times X
	Error   Kind = "error"   // 500 after the work: it may have run
	Reset   Kind = "reset"   // the answer's head and half its body, then a reset: it has run
	Spoil   Kind = "spoil"   // 200 with a body that is not this ticket's
	Silence Kind = "silence" // the request is read and never answered; the work is not done
	Lose    Kind = "lose"    // the work is done, the answer never sent
	Refuse  Kind = "refuse"  // 503 with X-Rejected: 1 at once: never run
	Restart Kind = "restart" // every connection reset, the address refused for the length, then cold again
	Drain   Kind = "drain"   // from its start on, turns new work away and finishes what it holds (for_s unused)
)

var kinds = map[Kind]bool{
	Slow: true, Error: true, Reset: true, Spoil: true, Silence: true, Lose: true,
	Refuse: true, Restart: true, Drain: true,
}

// Fault is one entry of a schedule.
type Fault struct {
	Kind   Kind    `toml:"kind"`
	Server int     `toml:"server"` // its number from 0; -1 for every server
	AtS    float64 `toml:"at_s"`   // start, seconds after the emulator's start
	ForS   float64 `toml:"for_s"`  // length, s
	P      float64 `toml:"p"`      // share of requests it touches, 0 to 1 (default 1)
	X      float64 `toml:"x"`      // for slow: the multiplier (default 5)
}

// Schedule is the faults of a run, by start.
type Schedule struct {
	Faults []Fault `toml:"fault"`
}

// At gives the start as a duration.
func (f Fault) At() time.Duration { return time.Duration(f.AtS * float64(time.Second)) }

// End gives the end as a duration.
func (f Fault) End() time.Duration { return time.Duration((f.AtS + f.ForS) * float64(time.Second)) }

// LoadSchedule reads a schedule file (TOML, `[[fault]]` tables). Errors name the file, the entry and, for
// syntax, the line; a schedule with any fault in it is refused whole.
func LoadSchedule(path string, servers int) (Schedule, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, err
	}
	s, err := ParseSchedule(string(raw), servers)
	if err != nil {
		return Schedule{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseSchedule reads a schedule's text for an emulator of so many servers.
func ParseSchedule(text string, servers int) (Schedule, error) {
	var s Schedule
	md, err := toml.Decode(text, &s)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return Schedule{}, fmt.Errorf("line %d: %s", pe.Position.Line, pe.Message)
		}
		return Schedule{}, err
	}
	if u := md.Undecoded(); len(u) > 0 {
		return Schedule{}, fmt.Errorf("%s: no such key", u[0])
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if !md.IsDefined("fault") {
			break
		}
		if f.P == 0 {
			f.P = 1
		}
		if f.X == 0 {
			f.X = 5
		}
		switch {
		case !kinds[f.Kind]:
			return Schedule{}, fmt.Errorf("fault %d: kind %q is unknown", i, f.Kind)
		case f.Server < -1 || f.Server >= servers:
			return Schedule{}, fmt.Errorf("fault %d: server %d is not one of 0 to %d (or -1)", i, f.Server, servers-1)
		case !(f.AtS >= 0) || !(f.ForS > 0):
			return Schedule{}, fmt.Errorf("fault %d: at_s must be 0 or more and for_s above 0", i)
		case !(f.P > 0 && f.P <= 1):
			return Schedule{}, fmt.Errorf("fault %d: p %v is out of range (0, 1]", i, f.P)
		case !(f.X >= 1 && f.X <= 1000):
			return Schedule{}, fmt.Errorf("fault %d: x %v is out of range 1 to 1000", i, f.X)
		}
	}
	sort.SliceStable(s.Faults, func(i, j int) bool { return s.Faults[i].AtS < s.Faults[j].AtS })
	return s, nil
}

// active gives the faults on server at offset since the start, in schedule order.
func (s Schedule) active(server int, since time.Duration, out []Fault) []Fault {
	out = out[:0]
	for _, f := range s.Faults {
		if f.At() > since {
			break
		}
		if (f.Server == -1 || f.Server == server) && since < f.End() {
			out = append(out, f)
		}
	}
	return out
}
