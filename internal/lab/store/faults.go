package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// FaultKind is the kind of a fault. The values are the names in schedule files.
type FaultKind string

const (
	// faultStall delays the execution of all commands and transactions until the fault ends.
	faultStall FaultKind = "stall"
	// faultSlow delays the execution of each command or transaction by Fault.DelayMs.
	faultSlow FaultKind = "slow"
	// faultCut closes all connections and accepts no new ones.
	faultCut FaultKind = "cut"
	// faultEmpty deletes all data and closes all connections.
	faultEmpty FaultKind = "empty"
	// faultFailover loses the most recent writes and closes all connections. At its end each lost write returns with
	// probability 1/2.
	faultFailover FaultKind = "failover"
	// faultForget loses each write, except that of SETNX, with probability Fault.LossProbability.
	faultForget FaultKind = "forget"
	// faultFull rejects writes and all transactions.
	faultFull FaultKind = "full"
	// faultSplit splits the store into two halves with equal data. At its end only the data of the first half remains.
	faultSplit FaultKind = "split"
)

// FaultKinds are all valid kinds of fault.
var FaultKinds = []FaultKind{faultStall, faultSlow, faultCut, faultEmpty, faultFailover, faultForget, faultFull, faultSplit}

// ErrInvalidFault is wrapped by the error for an invalid fault or schedule.
var ErrInvalidFault = errors.New("invalid fault")

// Fault is a scheduled fault of the store.
type Fault struct {
	Kind            FaultKind `toml:"kind"`
	StartS          float64   `toml:"at_s"`     // start, in seconds since the store's start
	DurationS       float64   `toml:"for_s"`    // duration, in seconds
	DelayMs         float64   `toml:"delay_ms"` // delay of each command or transaction under the fault slow, in milliseconds
	LossProbability float64   `toml:"chance"`   // probability that the fault forget loses a write, 0 to 1
	LossWindowMs    float64   `toml:"lose_ms"`  // span before the fault failover whose writes are lost, in milliseconds
}

// Check returns an error that wraps ErrInvalidFault if the fault is invalid.
func (f Fault) Check() error {
	if !slices.Contains(FaultKinds, f.Kind) {
		return fmt.Errorf("%w: kind %q is none of %v", ErrInvalidFault, f.Kind, FaultKinds)
	}
	inRange := f.StartS >= 0 && f.DurationS >= 0 && f.DelayMs >= 0 && f.LossWindowMs >= 0 && f.LossProbability >= 0 && f.LossProbability <= 1
	if !inRange { // also true for NaN
		return fmt.Errorf("%w: at_s %v, for_s %v, delay_ms %v or lose_ms %v is not 0 or more, or chance %v is not 0 to 1",
			ErrInvalidFault, f.StartS, f.DurationS, f.DelayMs, f.LossWindowMs, f.LossProbability)
	}
	return nil
}

// LoadSchedule reads the faults of a schedule file (TOML, one [[fault]] table for each). For an unknown key or an invalid fault
// the error wraps ErrInvalidFault.
func LoadSchedule(path string) ([]Fault, error) {
	var file struct {
		Fault []Fault `toml:"fault"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, fmt.Errorf("fault schedule %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: %s: %s: no such key", ErrInvalidFault, path, unknown[0])
	}
	for i, fault := range file.Fault {
		if err := fault.Check(); err != nil {
			return nil, fmt.Errorf("%s: fault %d: %w", path, i, err)
		}
	}
	return file.Fault, nil
}

// isActive reports whether a fault of the given kind is active. The caller holds s.mu.
func (s *Server) isActive(kind FaultKind) bool {
	_, active := s.faults[kind]
	return active
}

// runFault begins and ends a fault at its scheduled times. It returns at the end of the fault or after Close.
func (s *Server) runFault(f Fault) {
	if !s.waitUntil(f.StartS) {
		return
	}
	lost := s.beginFault(f)
	if s.waitUntil(f.StartS + f.DurationS) {
		s.endFault(f, lost)
	}
}

// waitUntil waits until a time in seconds since the store's start. It returns false if Close is called before that time.
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
	case faultEmpty:
		d := newData()
		s.halves = [2]*data{d, d}
	case faultSplit:
		s.halves[1] = s.halves[0].clone()
	case faultFailover:
		lost = s.halves[0].loseWrites(time.Now().Add(-time.Duration(f.LossWindowMs * float64(time.Millisecond))))
	}
	if f.Kind == faultCut || f.Kind == faultEmpty || f.Kind == faultFailover {
		for c := range s.conns {
			_ = c.NetConn().Close() // The connection's goroutine in redcon handles the closed connection.
		}
	}
	return lost
}

// endFault ends a fault. lost has the writes that beginFault returned.
func (s *Server) endFault(f Fault, lost []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, f.Kind)
	switch f.Kind {
	case faultSplit:
		s.halves[1] = s.halves[0]
	case faultFailover:
		for _, w := range lost {
			if s.random.IntN(2) == 0 {
				s.halves[0].setField(w.key, w.field, w.value)
			}
		}
	}
}

// delay delays a command or transaction according to the faults slow and stall. It returns early if Close is called during a
// stall.
func (s *Server) delay() {
	const pollInterval = 10 * time.Millisecond // time between two checks whether the fault stall has ended
	for {
		s.mu.Lock()
		slowFault, slow := s.faults[faultSlow]
		stalled := s.isActive(faultStall)
		s.mu.Unlock()
		if slow {
			time.Sleep(time.Duration(slowFault.DelayMs * float64(time.Millisecond)))
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
