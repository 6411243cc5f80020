package soak

import (
	"math"
	"time"
)

// slowStartAttempt is an attempt at a server in slow start.
type slowStartAttempt struct {
	receivedAt time.Time
	notified   bool // whether its node counted as notified of the server's start at that time
}

// recordSlowStart records an attempt if the server's process is in slow start.
func (s *appServer) recordSlowStart(id string, at time.Time) {
	node := s.checker.nodeOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processStartedAt.IsZero() || node < 0 || at.Sub(s.processStartedAt) >= slowStartSpan {
		return
	}
	notified := !s.publishedAt.IsZero() && s.notifiedAt(node, s.publishedAt).Before(at)
	s.slowStartAttempts = append(s.slowStartAttempts, slowStartAttempt{at, notified})
}

// checkSlowStart records a violation for the first window in which the server's current process got more attempts than
// slowStartBound. A window counts only if more than two thirds of its attempts came from notified nodes. capacity is that of a
// warm server, in requests a second.
func (s *appServer) checkSlowStart(capacity float64) {
	s.mu.Lock()
	startedAt, attempts := s.processStartedAt, s.slowStartAttempts
	s.mu.Unlock()
	for i, first := range attempts {
		window := countWindow(attempts[i:])
		sinceStart := first.receivedAt.Sub(startedAt)
		bound := slowStartBound(capacity, sinceStart+overloadSpan/2)
		if float64(window.attempts) > bound && 3*window.fromNotified > 2*window.attempts {
			s.checker.recordViolation(ruleSlowStart, -1, "",
				"server %d received %d attempts within %v, %v after its start, want at most %.0f",
				s.number, window.attempts, overloadSpan, sinceStart, bound)
			return
		}
	}
}

// windowCounts counts the attempts within one overloadSpan.
type windowCounts struct {
	attempts     int
	fromNotified int // attempts that came from notified nodes
}

// countWindow counts the attempts within overloadSpan after the first attempt, which it includes. attempts must not be empty.
func countWindow(attempts []slowStartAttempt) windowCounts {
	var window windowCounts
	from := attempts[0].receivedAt
	for _, a := range attempts {
		if a.receivedAt.Sub(from) >= overloadSpan {
			continue
		}
		window.attempts++
		if a.notified {
			window.fromNotified++
		}
	}
	return window
}

// slowStartBound returns the greatest number of attempts that a server may get within overloadSpan at an age of its process.
// The nodes keep to the expected number only on average, so the bound includes random deviations of two to three sigma.
func slowStartBound(capacity float64, age time.Duration) float64 {
	share := min(1, slowStartShare+(1-slowStartShare)*float64(age)/float64(slowStartSpan))
	return withRandomDeviation(overloadMultiple * capacity * share * overloadSpan.Seconds())
}

// withRandomDeviation returns the greatest count that does not contradict an expected count.
func withRandomDeviation(expected float64) float64 {
	const smallCount = 30 // below this count the bound is three sigma instead of two
	if expected < smallCount {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}
