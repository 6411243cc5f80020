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

// Kind is a kind of fault. The values are the names in schedule files.
type Kind string

// The kinds of fault. Restart and Drain affect the whole server. Each other kind affects a share of the requests for the
// fault's duration.
const (
	Slow         Kind = "slow"    // The service time is multiplied by Factor.
	Error        Kind = "error"   // The request is executed, and the response is 500.
	Reset        Kind = "reset"   // The request is executed, and the connection is reset in the middle of the response's body.
	Malform      Kind = "spoil"   // The request is executed, and the response is 200 with the body of another request.
	Silence      Kind = "silence" // The request is read, but not executed, and gets no response.
	LoseResponse Kind = "lose"    // The request is executed, but gets no response.
	Refuse       Kind = "refuse"  // The request is rejected with 503 and protocol.HeaderRejected.
	Restart      Kind = "restart" // Connections are closed and refused for the duration. Then the server warms up.
	Drain        Kind = "drain"   // New requests are rejected, and requests in flight finish. The duration is not used.
)

// allKinds are all valid kinds of fault.
var allKinds = []Kind{Slow, Error, Reset, Malform, Silence, LoseResponse, Refuse, Restart, Drain}

// Defaults and bounds of a fault's optional keys, Probability and Factor.
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
	Server      int     `toml:"server"` // number of the server, from 0; EveryServer (-1) for all servers
	StartS      float64 `toml:"at_s"`   // start, in seconds after the emulator's start
	DurationS   float64 `toml:"for_s"`  // duration, in seconds
	Probability float64 `toml:"p"`      // probability that a request is affected, above 0 to 1 (default 1)
	Factor      float64 `toml:"x"`      // factor of the service time for Slow, 1 to 1000 (default 5)
}

// Start returns the time from the emulator's start to the fault's start.
func (f Fault) Start() time.Duration { return time.Duration(f.StartS * float64(time.Second)) }

// End returns the time from the emulator's start to the fault's end.
func (f Fault) End() time.Duration {
	return time.Duration((f.StartS + f.DurationS) * float64(time.Second))
}

// Affects reports whether the fault affects the server with the given number.
func (f Fault) Affects(server int) bool { return f.Server == EveryServer || f.Server == server }

// check returns an error for the first key whose value is invalid, or nil.
func (f Fault) check(servers int) error {
	switch {
	case !slices.Contains(allKinds, f.Kind):
		return fmt.Errorf("kind %q is unknown", f.Kind)
	case f.Server < EveryServer || f.Server >= servers:
		return fmt.Errorf("server %d is neither -1 nor in the range 0 to %d", f.Server, servers-1)
	case !(f.StartS >= 0) || !(f.DurationS > 0): // also true for NaN
		return fmt.Errorf("at_s %v or for_s %v is out of range, at_s must be 0 or more and for_s above 0", f.StartS, f.DurationS)
	case !(f.Probability > 0 && f.Probability <= 1):
		return fmt.Errorf("p %v is out of range, must be above 0 and at most 1", f.Probability)
	case !(f.Factor >= 1 && f.Factor <= maxFactor):
		return fmt.Errorf("x %v is out of range 1 to %d", f.Factor, maxFactor)
	}
	return nil
}

// FaultError is the error for an invalid entry of a schedule.
type FaultError struct {
	Index int   // index of the entry in the file, from 0
	Err   error // cause, which names the key and its value
}

// Error returns the entry's index and the cause.
func (e *FaultError) Error() string { return fmt.Sprintf("fault %d: %v", e.Index, e.Err) }

// Unwrap returns Err.
func (e *FaultError) Unwrap() error { return e.Err }

// Schedule holds the faults of a run.
type Schedule struct {
	Faults []Fault `toml:"fault"` // faults in order of their start
}

// LoadSchedule reads a schedule file (TOML, `[[fault]]` tables) for an emulator with the given number of servers. Errors name
// the file. A syntax error names the line. The error for an invalid entry wraps a *FaultError.
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

// ParseSchedule parses the text of a schedule file. Its errors are those of LoadSchedule without the file name.
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

// active returns the faults of a server that are active at a time since the emulator's start, in order of their start.
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

// HasKind reports whether any of the faults is of the given kind.
func HasKind(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
