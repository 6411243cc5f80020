package schedpause

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// runUntil lets a tracker's timer expire every 10 ms.
func runUntil(t *Tracker, fromMs, toMs int) {
	for ms := fromMs; ms <= toMs; ms += 10 {
		t.Ran(at(ms))
		t.Expect(at(ms), at(ms+10))
	}
}

// Protects against a drain whose time counts from the end of a pause, though SIGTERM was sent at its start (review/8).
func TestEarliestSignal(t *testing.T) {
	for _, c := range []struct {
		name   string
		pauses [][2]int // begin and end in ms; the process runs meanwhile
		now    int
		want   int
	}{
		{"no pause", nil, 500, 500},
		{"right after a pause", [][2]int{{500, 1700}}, 1701, 500},
		{"within the handling time", [][2]int{{500, 1700}}, 1790, 500},
		{"later", [][2]int{{500, 1700}}, 1850, 1850},
		{"two pauses", [][2]int{{500, 1100}, {1150, 1700}}, 1710, 500},
		{"two pauses far apart", [][2]int{{500, 1100}, {1300, 1700}}, 1710, 1300},
		{"a short delay", [][2]int{{500, 540}}, 541, 541},
	} {
		tracker, ranUntil := &Tracker{}, 0
		for _, p := range c.pauses {
			runUntil(tracker, ranUntil, p[0])
			ranUntil = p[1]
		}
		runUntil(tracker, ranUntil, c.now-c.now%10)
		if got := tracker.EarliestSignal(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: EarliestSignal at %d ms = %v after the start, want %d ms", c.name, c.now, got.Sub(start), c.want)
		}
	}
}

// The first goroutine to run after a pause may be one that reads a request, before the timer's.
func TestPauseIsSeenBeforeTheTimerRuns(t *testing.T) {
	tracker := &Tracker{}
	runUntil(tracker, 0, 500)
	if got := tracker.EarliestSignal(at(1700)); !got.Equal(at(500)) {
		t.Errorf("EarliestSignal at 1700 ms = %v, want 500 ms", got.Sub(start))
	}
	tracker.Ran(at(1702))
	if got := tracker.EarliestSignal(at(1703)); !got.Equal(at(500)) {
		t.Errorf("EarliestSignal at 1703 ms = %v, want 500 ms", got.Sub(start))
	}
}

func TestLongTimerIsNoPause(t *testing.T) {
	tracker := &Tracker{}
	tracker.Ran(at(0))
	tracker.Expect(at(0), at(2000))
	tracker.Ran(at(2001))
	if got := tracker.EarliestSignal(at(2002)); !got.Equal(at(2002)) {
		t.Errorf("EarliestSignal at 2002 ms = %v, want 2002 ms", got.Sub(start))
	}
}
