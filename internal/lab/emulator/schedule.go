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

// Kind is the kind of a fault. The values are those in schedule files.
type Kind string

// Kinds of fault. Restart and Drain affect a whole server, the others each request with a probability.
const (
	// Slow multiplies the service time by Fault.Factor.
	Slow Kind = "slow"
	// Error responds with status 500 after the execution.
	Error Kind = "error"
	// Reset resets the connection after half of the response's body.
	Reset Kind = "reset"
	// Malform responds with status 200 and the body of another request.
	Malform Kind = "spoil"
	// Silence reads the request, and neither executes it nor responds.
	Silence Kind = "silence"
	// LoseAnswer executes the request and does not respond.
	LoseAnswer Kind = "lose"
	// Refuse rejects the request.
	Refuse Kind = "refuse"
	// Restart closes the server for the fault's duration. Afterwards the server warms up.
	Restart Kind = "restart"
	// Drain starts a graceful shutdown. It does not use Fault.DurationS.
	Drain Kind = "drain"
)

// kinds are all valid kinds.
var kinds = []Kind{Slow, Error, Reset, Malform, Silence, LoseAnswer, Refuse, Restart, Drain}

// Limits and defaults of a fault's optional keys.
const (
	defaultProbability = 1
	defaultFactor      = 5
	maxFactor          = 1000
)

// everyServer is the Fault.Server of a fault on all servers.
const everyServer = -1

// Fault is an entry of a schedule.
type Fault struct {
	Kind        Kind    `toml:"kind"`
	Server      int     `toml:"server"` // number of the server, or everyServer
	StartS      float64 `toml:"at_s"`   // seconds since the emulator's start
	DurationS   float64 `toml:"for_s"`  // seconds, above 0
	Probability float64 `toml:"p"`      // that a request is affected, above 0 to 1; defaultProbability if missing
	Factor      float64 `toml:"x"`      // of Slow, 1 to maxFactor; defaultFactor if missing
}

// Start returns the time from the emulator's start to the begin of the fault.
func (f Fault) Start() time.Duration { return time.Duration(f.StartS * float64(time.Second)) }

// End returns the time from the emulator's start to the end of the fault.
func (f Fault) End() time.Duration {
	return time.Duration((f.StartS + f.DurationS) * float64(time.Second))
}

// hits reports whether a fault affects a server.
func (f Fault) hits(server int) bool { return f.Server == everyServer || f.Server == server }

// check returns an error for the first key with an invalid value. servers is the number of servers.
func (f Fault) check(servers int) error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind %q is unknown", f.Kind)
	case f.Server < everyServer || f.Server >= servers:
		return fmt.Errorf("server %d is not one of 0 to %d (or -1)", f.Server, servers-1)
	case !(f.StartS >= 0) || !(f.DurationS > 0): // also true for NaN
		return errors.New("at_s must be 0 or more and for_s above 0")
	case !(f.Probability > 0 && f.Probability <= 1):
		return fmt.Errorf("p %v is out of range (0, 1]", f.Probability)
	case !(f.Factor >= 1 && f.Factor <= maxFactor):
		return fmt.Errorf("x %v is out of range 1 to %d", f.Factor, maxFactor)
	}
	return nil
}

// FaultError is the error for an invalid entry of a schedule.
type FaultError struct {
	Index int   // number of the entry, from 0
	Err   error // names the key and its value
}

// Error returns the number of the entry and the text of Err.
func (e *FaultError) Error() string { return fmt.Sprintf("fault %d: %v", e.Index, e.Err) }

// Unwrap returns Err.
func (e *FaultError) Unwrap() error { return e.Err }

// Schedule is the faults of a run. The zero value has none.
type Schedule struct {
	Faults []Fault `toml:"fault"` // by start
}

// LoadSchedule reads a schedule file for an emulator with a number of servers: TOML with a `[[fault]]` table for each fault.
// An error contains the path, and the line of a syntax error. For an invalid entry it wraps a *FaultError.
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

// ParseSchedule parses the text of a schedule file. Its errors are those of LoadSchedule without the path.
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

// active returns the faults of a server at a time since the emulator's start, in the schedule's order.
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

// hasKind reports whether one of the faults has a kind.
func hasKind(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
