package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// FaultKind is the kind of a fault. The values are those in schedule files.
type FaultKind string

const (
	// stall delays all replies until the fault ends.
	stall FaultKind = "stall"
	// slow delays each reply by Fault.DelayMs.
	slow FaultKind = "slow"
	// cut closes all connections and accepts none.
	cut FaultKind = "cut"
	// empty replaces the store by an empty one, and closes all connections.
	empty FaultKind = "empty"
	// failover loses the last writes and closes all connections. At the end half of the lost writes return.
	failover FaultKind = "failover"
	// forget loses writes with probability Fault.Chance.
	forget FaultKind = "forget"
	// full rejects writes.
	full FaultKind = "full"
	// split splits the store in two halves. At the end the data of the first half remains.
	split FaultKind = "split"
)

// Kinds are all valid kinds of fault.
var Kinds = []FaultKind{stall, slow, cut, empty, failover, forget, full, split}

// ErrBadFault is wrapped by the error for an invalid fault or schedule.
var ErrBadFault = errors.New("bad fault")

// Fault is a fault of the store.
type Fault struct {
	Kind    FaultKind `toml:"kind"`
	At      float64   `toml:"at_s"`     // begin, in seconds since the store's start
	For     float64   `toml:"for_s"`    // duration, in seconds
	DelayMs float64   `toml:"delay_ms"` // slow: delay of each reply, in milliseconds
	Chance  float64   `toml:"chance"`   // forget: probability that a write is lost, 0 to 1
	LoseMs  float64   `toml:"lose_ms"`  // failover: time before the fault whose writes are lost, in milliseconds
}

// Check validates a fault. An error wraps ErrBadFault.
func (f Fault) Check() error {
	if !slices.Contains(Kinds, f.Kind) {
		return fmt.Errorf("%w: kind %q is none of %v", ErrBadFault, f.Kind, Kinds)
	}
	inRange := f.At >= 0 && f.For >= 0 && f.DelayMs >= 0 && f.LoseMs >= 0 && f.Chance >= 0 && f.Chance <= 1
	if !inRange { // also true for NaN
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

// isOn reports whether a fault of a kind is active. The caller holds s.mu.
func (s *Server) isOn(kind FaultKind) bool {
	_, on := s.faults[kind]
	return on
}

// runFault begins and ends a fault at its times. It returns at the end of the fault, or with Close.
func (s *Server) runFault(f Fault) {
	if !s.waitUntil(f.At) {
		return
	}
	lost := s.beginFault(f)
	if s.waitUntil(f.At + f.For) {
		s.endFault(f, lost)
	}
}

// waitUntil waits until a time in seconds since the start. It returns false if Close is called before.
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
	if f.Kind == cut || f.Kind == empty || f.Kind == failover {
		for c := range s.conns {
			_ = c.NetConn().Close() // redcon's goroutine of the connection handles the error
		}
	}
	return lost
}

// endFault ends a fault. lost are the writes that beginFault returned.
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

// delay waits as long as the faults slow and stall delay a reply.
func (s *Server) delay() {
	const pollInterval = 10 * time.Millisecond // between two checks for the end of a stall
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
