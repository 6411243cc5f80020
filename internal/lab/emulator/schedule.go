package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Kind is a fault that an emulated server can be made to show.
type Kind string

// The faults. Each holds from its start for its length, on one server or all, for a share of the requests. Restart and
// Drain take the whole server.
const (
	Slow       Kind = "slow"    // the service time is multiplied by Factor
	Error      Kind = "error"   // 500 after the work: it may have run
	Reset      Kind = "reset"   // the answer's head and half its body, then a reset: it has run
	Malform    Kind = "spoil"   // 200 with a body that is not this request's
	Silence    Kind = "silence" // the request is read and never answered; the work is not done
	LoseAnswer Kind = "lose"    // the work is done, the answer never sent
	Refuse     Kind = "refuse"  // 503 with protocol.HeaderRejected at once: never run
	Restart    Kind = "restart" // every connection reset, the address refused for the length, then cold again
	Drain      Kind = "drain"   // from its start on, rejects new work and finishes what it holds (for_s unused)
)

var kinds = []Kind{Slow, Error, Reset, Malform, Silence, LoseAnswer, Refuse, Restart, Drain}

// Defaults of a fault's optional keys.
const (
	defaultProbability = 1
	defaultFactor      = 5
	maxFactor          = 1000
)

// everyServer as a fault's Server is all of them.
const everyServer = -1

// Fault is one entry of a schedule.
type Fault struct {
	Kind        Kind    `toml:"kind"`
	Server      int     `toml:"server"` // its number from 0; -1 for every server
	StartS      float64 `toml:"at_s"`   // seconds after the emulator's start
	DurationS   float64 `toml:"for_s"`  // seconds
	Probability float64 `toml:"p"`      // share of requests that it hits, above 0 to 1 (default 1)
	Factor      float64 `toml:"x"`      // for slow: 1 to 1000 (default 5)
}

// Start gives the start as a duration.
func (f Fault) Start() time.Duration { return time.Duration(f.StartS * float64(time.Second)) }

// End gives the end as a duration.
func (f Fault) End() time.Duration {
	return time.Duration((f.StartS + f.DurationS) * float64(time.Second))
}

// hits tells whether a fault is one of a server.
func (f Fault) hits(server int) bool { return f.Server == everyServer || f.Server == server }

// check returns an error that names the first key whose value is out of range.
func (f Fault) check(servers int) error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind %q is unknown", f.Kind)
	case f.Server < everyServer || f.Server >= servers:
		return fmt.Errorf("server %d is not one of 0 to %d (or -1)", f.Server, servers-1)
	case !(f.StartS >= 0) || !(f.DurationS > 0): // so that a NaN is one too
		return errors.New("at_s must be 0 or more and for_s above 0")
	case !(f.Probability > 0 && f.Probability <= 1):
		return fmt.Errorf("p %v is out of range (0, 1]", f.Probability)
	case !(f.Factor >= 1 && f.Factor <= maxFactor):
		return fmt.Errorf("x %v is out of range 1 to %d", f.Factor, maxFactor)
	}
	return nil
}

// FaultError is an entry of a schedule that can't be played.
type FaultError struct {
	Index int // in the schedule, from 0
	Err   error
}

func (e *FaultError) Error() string { return fmt.Sprintf("fault %d: %v", e.Index, e.Err) }

// Unwrap gives what is wrong with the entry.
func (e *FaultError) Unwrap() error { return e.Err }

// Schedule is the faults of a run, by start.
type Schedule struct {
	Faults []Fault `toml:"fault"`
}

// LoadSchedule reads a schedule file (TOML, `[[fault]]` tables). Errors name the file, the entry (FaultError) and, for
// syntax, the line. A schedule with any error in it is not played at all.
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
	meta, err := toml.Decode(text, &s)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return Schedule{}, fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
		}
		return Schedule{}, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Schedule{}, fmt.Errorf("%s: no such key", unknown[0])
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.Probability == 0 {
			f.Probability = defaultProbability
		}
		if f.Factor == 0 {
			f.Factor = defaultFactor
		}
		if err := f.check(servers); err != nil {
			return Schedule{}, &FaultError{Index: i, Err: err}
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.StartS, b.StartS) })
	return s, nil
}

// active gives the faults of a server at a time since the start, in the schedule's order.
func (s Schedule) active(server int, since time.Duration) (out []Fault) {
	for _, f := range s.Faults {
		if f.Start() > since {
			break
		}
		if f.hits(server) && since < f.End() {
			out = append(out, f)
		}
	}
	return out
}

func hasKind(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
