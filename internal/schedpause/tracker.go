// Package schedpause tracks spans in which the process did not run, as after SIGSTOP or on an overloaded machine. It tells since when a
// signal that is handled now may have been pending. It does no I/O and reads no clock.
package schedpause

import (
	"sync"
	"time"
)

const (
	// minPause is the lateness of a timer from which the process counts as paused.
	minPause = 50 * time.Millisecond
	// handlingTime is the longest running time between the delivery of a signal and its handler.
	handlingTime = 100 * time.Millisecond
	// maxPauses is the number of pauses that are kept. Pauses further back are longer ago than handlingTime in all usual cases.
	maxPauses = 8
)

// pause is a span in which the process did not run.
type pause struct{ start, end time.Time }

// Tracker records pauses. The zero value knows of none. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex // guards the fields below
	ranAt  time.Time  // last time at which the process is known to have run
	due    time.Time  // time at which it was to run next; zero if that is unknown
	pauses []pause    // last pauses, the latest at the end
}

// Expect records that the process runs now and has set a timer for due. It replaces the timer that was set before.
func (t *Tracker) Expect(now, due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLocked(now)
	t.due = due
}

// Ran records that the process runs now because its timer has expired.
func (t *Tracker) Ran(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLocked(now)
	t.due = time.Time{}
}

// EarliestSignal returns the earliest time at which a signal may have been sent that is not handled yet. Without a recent pause that is
// now; otherwise it is the last time at which the process is known to have run before the pause.
func (t *Tracker) EarliestSignal(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLocked(now)
	earliest, ran := now, time.Duration(0)
	for k := len(t.pauses) - 1; k >= 0; k-- {
		ran += earliest.Sub(t.pauses[k].end)
		if ran > handlingTime {
			break
		}
		earliest = t.pauses[k].start
	}
	return earliest
}

// PausedRecently reports whether the process stood still and has run for at most handlingTime since. What came meanwhile may not have been
// read yet.
func (t *Tracker) PausedRecently(now time.Time) bool { return t.EarliestSignal(now).Before(now) }

// observeLocked records that the process runs now, and a pause if its timer was to expire long before. The caller holds mu.
func (t *Tracker) observeLocked(now time.Time) {
	if !t.due.IsZero() && now.Sub(t.due) >= minPause {
		t.pauses = append(t.pauses, pause{start: t.ranAt, end: now})
		t.pauses = t.pauses[max(0, len(t.pauses)-maxPauses):]
		t.due = now // the rest of the lateness, until the timer's goroutine runs, is no further pause
	}
	t.ranAt = now
}
