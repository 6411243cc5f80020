package soak

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// testServer returns an app server without a listener. Each node counts as notified of a change at its publication.
func testServer(h *history) *appServer {
	return &appServer{
		number: 2, checker: h.checker,
		notifiedAt: func(_ int, published time.Time) time.Time { return published },
	}
}

func TestCheckerOfDrains(t *testing.T) {
	const limit = drainGrace + graceSlack + harnessSlack
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
			r := h.send(safe, "a", 0)
			a := h.attempt(r, firstByte)
			s.checkDrain(r.id, a)
			if got := violatedRules(h.checker); !slices.Equal(got, test.want) {
				t.Errorf("reports %v, want %v", got, test.want)
			}
		})
	}
}

func TestCheckerOfSlowStart(t *testing.T) {
	const capacity = 20.0 // requests a second, of a warm server
	// bound is the greatest number of attempts in a window that begins at an age of the process.
	bound := func(age time.Duration) int {
		return int(math.Floor(slowStartBound(capacity, age+overloadWindow/2)))
	}
	for _, test := range []struct {
		name       string
		age        time.Duration // of the process at the first attempt
		attempts   int
		unnotified int // of the attempts
		spacing    time.Duration
		want       []Rule
	}{
		{"as many as it bears at its start", 0, bound(0), 0, ms, nil},
		{"more than it bears at its start", 0, bound(0) + 1, 0, ms, []Rule{ruleSlowStart}},
		{"as many as it bears later", 4 * time.Second, bound(4 * time.Second), 0, ms, nil},
		{"more than it bears later", 4 * time.Second, bound(4*time.Second) + 1, 0, ms, []Rule{ruleSlowStart}},
		{"more, over a longer time", 0, 2 * bound(0), 0, 2 * overloadWindow / time.Duration(bound(0)), nil},
		{"more, a third of nodes that were not notified", 0, 3 * bound(0), bound(0), ms, nil},
		{"more, under a third of nodes that were not notified", 0, 3 * bound(0), bound(0) - 1, ms, []Rule{ruleSlowStart}},
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
				r := h.send(safe, fmt.Sprint("r", i), 0)
				if i >= test.attempts-test.unnotified {
					r.node++
				}
				s.recordSlowStart(r.id, h.start.Add(test.age+time.Duration(i)*test.spacing))
			}
			s.checkSlowStart(capacity)
			if got := violatedRules(h.checker); !slices.Equal(got, test.want) {
				t.Errorf("reports %v, want %v", got, test.want)
			}
		})
	}
}

// The bound of a server in slow start grows to overloadMultiple times its capacity, plus a random deviation.
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
			t.Errorf("capacity %v at %v: %v, want %v", test.capacity, test.age, got, test.want)
		}
	}
}
