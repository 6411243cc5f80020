package soak

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// testServer returns an app server without a listener. Each node counts as notified of a change when discovery publishes it.
func testServer(h *history) *appServer {
	return &appServer{
		number: 2, checker: h.checker,
		notifiedAt: func(_ int, published time.Time) time.Time { return published },
	}
}

// A node that keeps sending attempts to a draining server loses them when the server exits. The checker reports each attempt
// whose first byte arrives after the grace, which begins when the node is notified.
func TestCheckerOfDrains(t *testing.T) {
	const limit = drainGrace + graceTolerance + harnessTolerance
	for _, test := range []struct {
		name   string
		record func(h *history, s *appServer) (firstByte time.Duration)
		want   []Rule
	}{
		{"in service", func(*history, *appServer) time.Duration { return time.Second }, nil},
		{"at the end of the grace", func(h *history, s *appServer) time.Duration {
			s.setDraining(h.start)
			return limit
		}, nil},
		{"after the grace", func(h *history, s *appServer) time.Duration {
			s.setDraining(h.start)
			return limit + ms
		}, []Rule{ruleDraining}},
		{"a node that was notified later", func(h *history, s *appServer) time.Duration {
			s.notifiedAt = func(_ int, published time.Time) time.Time { return published.Add(time.Second) }
			s.setDraining(h.start)
			return time.Second + limit
		}, nil},
		{"a node that was notified later, after the grace", func(h *history, s *appServer) time.Duration {
			s.notifiedAt = func(_ int, published time.Time) time.Time { return published.Add(time.Second) }
			s.setDraining(h.start)
			return time.Second + limit + ms
		}, []Rule{ruleDraining}},
		{"in service again", func(h *history, s *appServer) time.Duration {
			s.setDraining(h.start)
			s.setInService(h.start.Add(100 * ms))
			return limit + ms
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			s := testServer(h)
			firstByte := test.record(h, s)
			r := h.send(safeClass, "a", 0)
			a := h.beginAttempt(r, firstByte)
			s.checkDrain(r.id, a)
			if got := violatedRules(h.checker); !slices.Equal(got, test.want) {
				t.Errorf("violated rules = %v, want %v; violations are %+v", got, test.want, h.checker.violations)
			}
		})
	}
}

// Nodes overload a server in slow start if they send it more attempts in a window than the bound for its age. The checker must
// not report attempts from nodes that do not know of the start yet, or attempts at a warm server.
func TestCheckerOfSlowStart(t *testing.T) {
	const capacity = 20.0 // capacity of a warm server in requests a second
	// bound returns the greatest allowed number of attempts in a window that begins at an age of the process.
	bound := func(age time.Duration) int {
		return int(math.Floor(slowStartBound(capacity, age+overloadSpan/2)))
	}
	for _, test := range []struct {
		name       string
		age        time.Duration // age of the process at the first attempt
		attempts   int
		unnotified int // number of attempts that come from nodes that were not notified
		spacing    time.Duration
		want       []Rule
	}{
		{"the bound at its start", 0, bound(0), 0, ms, nil},
		{"more than the bound at its start", 0, bound(0) + 1, 0, ms, []Rule{ruleSlowStart}},
		{"the bound of a later age", 4 * time.Second, bound(4 * time.Second), 0, ms, nil},
		{"more than the bound of a later age", 4 * time.Second, bound(4*time.Second) + 1, 0, ms, []Rule{ruleSlowStart}},
		{"more than the bound, spread over several windows", 0, 2 * bound(0), 0, 2 * overloadSpan / time.Duration(bound(0)), nil},
		{"more than the bound, a third from nodes that were not notified", 0, 3 * bound(0), bound(0), ms, nil},
		{
			"more than the bound, under a third from nodes that were not notified", 0, 3 * bound(0), bound(0) - 1, ms,
			[]Rule{ruleSlowStart},
		},
		{"a warm server", slowStartSpan, 10 * bound(0), 0, ms, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			s := testServer(h)
			s.processStartedAt = h.start
			s.setInService(h.start.Add(-time.Second))
			s.notifiedAt = func(node int, published time.Time) time.Time {
				if node == testNode {
					return published
				}
				return published.Add(time.Hour)
			}
			for i := range test.attempts {
				r := h.send(safeClass, fmt.Sprint("r", i), 0)
				if i >= test.attempts-test.unnotified {
					r.node++
				}
				s.recordSlowStart(r.id, h.start.Add(test.age+time.Duration(i)*test.spacing))
			}
			s.checkSlowStart(capacity)
			if got := violatedRules(h.checker); !slices.Equal(got, test.want) {
				t.Errorf("violated rules = %v, want %v; violations are %+v", got, test.want, h.checker.violations)
			}
		})
	}
}

// A wrong bound makes the checker miss an overload or report a random deviation. The bound grows with the age to overloadMultiple
// times the capacity over overloadSpan, plus the random deviation.
func TestSlowStartBound(t *testing.T) {
	for _, test := range []struct {
		capacity float64
		age      time.Duration
		want     float64
	}{
		{10, 0, 8 + 3*math.Sqrt(8) + 3},
		{10, slowStartSpan, 40 + 2*math.Sqrt(40) + 2},
		{10, 2 * slowStartSpan, 40 + 2*math.Sqrt(40) + 2},
		{7.5, slowStartSpan, 30 + 2*math.Sqrt(30) + 2},
	} {
		if got := slowStartBound(test.capacity, test.age); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("slowStartBound(%v, %v) = %v, want %v", test.capacity, test.age, got, test.want)
		}
	}
}
