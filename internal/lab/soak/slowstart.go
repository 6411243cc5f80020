package soak

import (
	"math"
	"time"
)

// slowStartAttempt is an attempt at a server in slow start.
type slowStartAttempt struct {
	at       time.Time
	notified bool // its node counts as notified of the server's start by then
}

// recordSlowStart records an attempt, if the server's process is in slow start.
func (s *appServer) recordSlowStart(id string, at time.Time) {
	node := s.checker.nodeOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processStartedAt.IsZero() || node < 0 || at.Sub(s.processStartedAt) >= slowStartSpan {
		return
	}
	notified := !s.listedAt.IsZero() && s.notifiedAt(node, s.listedAt).Before(at)
	s.slowStarts = append(s.slowStarts, slowStartAttempt{at, notified})
}

// checkSlowStart reports the first window in which the server's present process got more attempts than slowStartBound. A window counts if over two thirds of the attempts came from notified nodes. capacity is that of a warm server, in
// requests a second.
func (s *appServer) checkSlowStart(capacity float64) {
	s.mu.Lock()
	startedAt, attempts := s.processStartedAt, s.slowStarts
	s.mu.Unlock()
	for i, first := range attempts {
		window := countWindow(attempts[i:])
		sinceStart := first.at.Sub(startedAt)
		bound := slowStartBound(capacity, sinceStart+overloadWindow/2)
		if float64(window.attempts) > bound && 3*window.notified > 2*window.attempts {
			s.checker.report(ruleSlowStart, -1, "", "server %d got %d requests within %v, %v after its start, and bears %.0f",
				s.number, window.attempts, overloadWindow, sinceStart, bound)
			return
		}
	}
}

// windowCounts counts the attempts within one overloadWindow.
type windowCounts struct {
	attempts int
	notified int // those of them that came from notified nodes
}

// countWindow counts the attempts within overloadWindow from the first one on. attempts must not be empty.
func countWindow(attempts []slowStartAttempt) windowCounts {
	var window windowCounts
	from := attempts[0].at
	for _, a := range attempts {
		if a.at.Sub(from) >= overloadWindow {
			continue
		}
		window.attempts++
		if a.notified {
			window.notified++
		}
	}
	return window
}

// slowStartBound returns the number of requests that a server bears within overloadWindow, at an age of its process. The
// nodes keep to the expected number on average only, so random deviations of two to three sigma are allowed.
func slowStartBound(capacity float64, age time.Duration) float64 {
	share := min(1, slowStartShare+(1-slowStartShare)*float64(age)/float64(slowStartSpan))
	return allowDeviation(overloadMultiple * capacity * share * overloadWindow.Seconds())
}

// allowDeviation returns the greatest count that is no evidence against an expected one.
func allowDeviation(expected float64) float64 {
	const smallCount = 30
	if expected < smallCount {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}
