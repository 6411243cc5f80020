package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault, by their names in schedule files.
const (
	stall    FaultKind = "stall"    // replies wait for the end of the fault
	slow     FaultKind = "slow"     // each reply is delayed
	cut      FaultKind = "cut"      // connections are closed and refused
	empty    FaultKind = "empty"    // the data is replaced by empty data, and connections are closed
	failover FaultKind = "failover" // the last writes are lost, and connections are closed; some writes return at the end
	forget   FaultKind = "forget"   // some writes are lost
	full     FaultKind = "full"     // writes are rejected
	split    FaultKind = "split"    // clients use two copies of the data; the first one remains at the end
)

// Kinds lists the kinds of fault.
var Kinds = []FaultKind{stall, slow, cut, empty, failover, forget, full, split}

// ErrBadFault is the error of an invalid fault or schedule.
var ErrBadFault = errors.New("bad fault")

// Fault is a fault of the store.
type Fault struct {
	Kind        FaultKind `toml:"kind"`
	StartS      float64   `toml:"at_s"`     // seconds after the store's start
	DurationS   float64   `toml:"for_s"`    // seconds
	DelayMs     float64   `toml:"delay_ms"` // slow: delay of each reply
	Probability float64   `toml:"chance"`   // forget: of losing a write
	LoseMs      float64   `toml:"lose_ms"`  // failover: age of the writes that are lost; half of them return at the end
}

// Check returns an error that wraps ErrBadFault if the fault is invalid.
func (f Fault) Check() error {
	if !slices.Contains(Kinds, f.Kind) {
		return fmt.Errorf("%w: kind %q is none of %v", ErrBadFault, f.Kind, Kinds)
	}
	inRange := f.StartS >= 0 && f.DurationS >= 0 && f.DelayMs >= 0 && f.LoseMs >= 0 && f.Probability >= 0 && f.Probability <= 1
	if !inRange { // true for a NaN as well
		return fmt.Errorf("%w: %s at %v s: a figure is out of range", ErrBadFault, f.Kind, f.StartS)
	}
	return nil
}

// LoadSchedule reads the faults of a schedule file (TOML, `[[fault]]` tables). The error of an unknown key or an invalid
// fault wraps ErrBadFault.
func LoadSchedule(path string) ([]Fault, error) {
	var file struct {
		Fault []Fault `toml:"fault"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, fmt.Errorf("fault schedule: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: %s: %s: no such key", ErrBadFault, path, unknown[0])
	}
	for i, fault := range file.Fault {
		if err := fault.Check(); err != nil {
			return nil, fmt.Errorf("%s: fault %d: %w", path, i, err)
		}
	}
	return file.Fault, nil
}

// isActive reports whether a fault of a kind is active. The caller holds mu.
func (s *Server) isActive(kind FaultKind) bool {
	_, on := s.faults[kind]
	return on
}

// runFault begins and ends a fault at its times. It returns after the fault's end, or at Close.
func (s *Server) runFault(f Fault) {
	if !s.waitUntil(f.StartS) {
		return
	}
	lost := s.beginFault(f)
	if s.waitUntil(f.StartS + f.DurationS) {
		s.endFault(f, lost)
	}
}

// waitUntil waits until a time in seconds after the store's start. It returns false if Close is called before.
func (s *Server) waitUntil(seconds float64) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(time.Until(s.started.Add(time.Duration(seconds * float64(time.Second))))):
		return true
	}
}

// beginFault begins a fault and returns the writes that it loses.
func (s *Server) beginFault(f Fault) (lost []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f.Kind] = f
	switch f.Kind {
	case empty:
		d := newData()
		s.halves = [2]*data{d, d}
	case split:
		s.halves[1] = s.halves[0].clone()
	case failover:
		lost = s.halves[0].loseWrites(time.Now().Add(-time.Duration(f.LoseMs * float64(time.Millisecond))))
	}
	if f.Kind == cut || f.Kind == empty || f.Kind == failover { // a new process in the store's place has no connections
		for c := range s.conns {
			_ = c.NetConn().Close() // fails if the connection is closed already
		}
	}
	return lost
}

// endFault ends a fault; lost are the writes that beginFault returned.
func (s *Server) endFault(f Fault, lost []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, f.Kind)
	switch f.Kind {
	case split:
		s.halves[1] = s.halves[0]
	case failover:
		for _, w := range lost {
			if s.random.IntN(2) == 0 {
				s.halves[0].setField(w.key, w.field, w.value)
			}
		}
	}
}

// delay waits for the delay of a reply by the faults slow and stall.
func (s *Server) delay() {
	const pollInterval = 10 * time.Millisecond
	for {
		s.mu.Lock()
		slowness, isSlow := s.faults[slow]
		stalled := s.isActive(stall)
		s.mu.Unlock()
		if isSlow {
			time.Sleep(time.Duration(slowness.DelayMs * float64(time.Millisecond)))
		}
		if !stalled {
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}
