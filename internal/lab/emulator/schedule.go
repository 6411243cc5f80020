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

// Kind is a kind of fault, by its name in schedule files.
type Kind string

// The kinds of fault. Restart and Drain affect the whole server. Each of the others affects a share of the requests for
// the fault's duration.
const (
	Slow       Kind = "slow"    // the service time is multiplied by Factor
	Error      Kind = "error"   // the request is executed, the response is 500
	Reset      Kind = "reset"   // the request is executed, the connection reset in the middle of the response's body
	Malform    Kind = "spoil"   // the request is executed, the response is 200 with the body of another request
	Silence    Kind = "silence" // the request is read, but neither executed nor answered
	LoseAnswer Kind = "lose"    // the request is executed, but not answered
	Refuse     Kind = "refuse"  // the request is rejected: 503 with protocol.HeaderRejected
	Restart    Kind = "restart" // connections are closed and refused for the duration, then the server warms up
	Drain      Kind = "drain"   // new requests are rejected, those in flight finish; the duration is not used
)

var kinds = []Kind{Slow, Error, Reset, Malform, Silence, LoseAnswer, Refuse, Restart, Drain}

// Defaults and bounds of a fault's optional keys.
const (
	defaultProbability = 1
	defaultFactor      = 5
	maxFactor          = 1000
)

// EveryServer is the Server of a fault that affects all servers.
const EveryServer = -1

// Fault is one entry of a schedule.
type Fault struct {
	Kind        Kind    `toml:"kind"`
	Server      int     `toml:"server"` // number from 0; -1 for every server
	StartS      float64 `toml:"at_s"`   // seconds after the emulator's start
	DurationS   float64 `toml:"for_s"`  // seconds
	Probability float64 `toml:"p"`      // share of the requests that are affected, above 0 to 1 (default 1)
	Factor      float64 `toml:"x"`      // of Slow: 1 to 1000 (default 5)
}

// Start returns the time from the emulator's start to the fault's begin.
func (f Fault) Start() time.Duration { return time.Duration(f.StartS * float64(time.Second)) }

// End returns the time from the emulator's start to the fault's end.
func (f Fault) End() time.Duration {
	return time.Duration((f.StartS + f.DurationS) * float64(time.Second))
}

// Affects reports whether the fault affects the server with a number.
func (f Fault) Affects(server int) bool { return f.Server == EveryServer || f.Server == server }

// check returns an error that names the first key whose value is out of range.
func (f Fault) check(servers int) error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind %q is unknown", f.Kind)
	case f.Server < EveryServer || f.Server >= servers:
		return fmt.Errorf("server %d is not one of 0 to %d (or -1)", f.Server, servers-1)
	case !(f.StartS >= 0) || !(f.DurationS > 0): // true for a NaN as well
		return errors.New("at_s must be 0 or more and for_s above 0")
	case !(f.Probability > 0 && f.Probability <= 1):
		return fmt.Errorf("p %v is out of range (0, 1]", f.Probability)
	case !(f.Factor >= 1 && f.Factor <= maxFactor):
		return fmt.Errorf("x %v is out of range 1 to %d", f.Factor, maxFactor)
	}
	return nil
}

// FaultError is the error of an invalid entry of a schedule.
type FaultError struct {
	Index int   // of the entry, from 0
	Err   error // names the key and its value
}

// Error returns the entry's number and the cause.
func (e *FaultError) Error() string { return fmt.Sprintf("fault %d: %v", e.Index, e.Err) }

// Unwrap returns Err.
func (e *FaultError) Unwrap() error { return e.Err }

// Schedule holds the faults of a run.
type Schedule struct {
	Faults []Fault `toml:"fault"` // by start
}

// LoadSchedule reads a schedule file (TOML, `[[fault]]` tables) for an emulator of the given number of servers. Errors name
// the file and the line of a syntax error, or wrap a *FaultError that names the entry.
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

// ParseSchedule parses the text of a schedule file; see LoadSchedule.
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

// active returns the faults of a server at a time since the emulator's start, by their start.
func (s Schedule) active(server int, since time.Duration) (out []Fault) {
	for _, f := range s.Faults {
		if f.Start() > since {
			break
		}
		if f.Affects(server) && since < f.End() {
			out = append(out, f)
		}
	}
	return out
}

// HasKind reports whether one of the faults is of a kind.
func HasKind(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
