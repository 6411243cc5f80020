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

// The kinds of fault.
const (
	stall    FaultKind = "stall"    // no reply until it is over
	slow     FaultKind = "slow"     // each reply is late
	cut      FaultKind = "cut"      // no connection
	empty    FaultKind = "empty"    // another, empty store in its place
	failover FaultKind = "failover" // another that lacks the last writes; some of them come late
	forget   FaultKind = "forget"   // some writes are lost
	full     FaultKind = "full"     // no writes
	split    FaultKind = "split"    // two halves, of which the first one lasts
)

// Kinds lists the kinds of fault.
var Kinds = []FaultKind{stall, slow, cut, empty, failover, forget, full, split}

// ErrBadFault is returned for an invalid fault or schedule.
var ErrBadFault = errors.New("bad fault")

// Fault is a fault from At seconds after the start, for For seconds.
type Fault struct {
	Kind    FaultKind `toml:"kind"`
	At      float64   `toml:"at_s"`
	For     float64   `toml:"for_s"`
	DelayMs float64   `toml:"delay_ms"` // slow: of each answer
	Chance  float64   `toml:"chance"`   // forget: of each write
	LoseMs  float64   `toml:"lose_ms"`  // failover: writes of so long before it are gone; half come back at its end
}

// Check validates a fault. An error wraps ErrBadFault.
func (f Fault) Check() error {
	if !slices.Contains(Kinds, f.Kind) {
		return fmt.Errorf("%w: kind %q is none of %v", ErrBadFault, f.Kind, Kinds)
	}
	inRange := f.At >= 0 && f.For >= 0 && f.DelayMs >= 0 && f.LoseMs >= 0 && f.Chance >= 0 && f.Chance <= 1
	if !inRange { // or not a number
		return fmt.Errorf("%w: %s at %v s: a figure is out of range", ErrBadFault, f.Kind, f.At)
	}
	return nil
}

// LoadSchedule reads the faults of a schedule file (TOML, one [[fault]] table each). For unknown keys and invalid faults the
// error wraps ErrBadFault.
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

// isOn reports whether a fault is on; the lock is held.
func (s *Server) isOn(kind FaultKind) bool {
	_, on := s.faults[kind]
	return on
}

// runFault begins and ends a fault at its times. It returns once the fault is over, or with Close.
func (s *Server) runFault(f Fault) {
	if !s.waitUntil(f.At) {
		return
	}
	lost := s.beginFault(f)
	if s.waitUntil(f.At + f.For) {
		s.endFault(f, lost)
	}
}

// waitUntil waits until so many seconds after the start, and reports whether the server still runs then.
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
	if f.Kind == cut || f.Kind == empty || f.Kind == failover { // another process: no connection outlives it
		for c := range s.conns {
			_ = c.NetConn().Close() // its own goroutine notices
		}
	}
	return lost
}

func (s *Server) endFault(f Fault, lost []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, f.Kind)
	switch f.Kind {
	case split: // the first half's data prevails
		s.halves[1] = s.halves[0]
	case failover: // some of the lost writes arrive late
		for _, w := range lost {
			if s.random.IntN(2) == 0 {
				s.halves[0].setField(w.key, w.field, w.value)
			}
		}
	}
}

// delay waits for as long as the faults delay a reply.
func (s *Server) delay() {
	const pollInterval = 10 * time.Millisecond // of whether a stall is over
	for {
		s.mu.Lock()
		slowness, isSlow := s.faults[slow]
		stalled := s.isOn(stall)
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
