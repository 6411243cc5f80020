package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

const (
	// stallInterval is the time between two checks of whether the test's process runs.
	stallInterval = 5 * time.Millisecond
	// minStall is the lag from which the process counts as stalled, as for schedpause in the node.
	minStall = 50 * time.Millisecond
)

// stallMeter records the spans in which no goroutine of the test's own process ran: what clients in this process see late then, the node
// may have sent in time.
type stallMeter struct {
	end  chan struct{}
	done chan struct{} // closed once the meter has ended

	mu     sync.Mutex // guards the fields below
	due    time.Time  // time at which the meter is to run next
	stalls []timeSpan
	worst  time.Duration // worst lag, also below minStall
}

// timeSpan is a span of time.
type timeSpan struct{ from, to time.Time }

// overlap returns the length of what two spans have in common.
func (s timeSpan) overlap(other timeSpan) time.Duration {
	from, to := s.from, s.to
	if other.from.After(from) {
		from = other.from
	}
	if other.to.Before(to) {
		to = other.to
	}
	return max(0, to.Sub(from))
}

// startStallMeter starts a meter, which runs until stop.
func startStallMeter() *stallMeter {
	m := &stallMeter{end: make(chan struct{}), done: make(chan struct{}), due: time.Now().Add(stallInterval)}
	go m.run() // ends on stop
	return m
}

// run records stalls until stop.
func (m *stallMeter) run() {
	defer close(m.done)
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.observe(time.Now())
		case <-m.end:
			return
		}
	}
}

// observe records that the process runs now, and a stall if it was to run long before.
func (m *stallMeter) observe(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lag := now.Sub(m.due)
	m.worst = max(m.worst, lag)
	if lag >= minStall {
		m.stalls = append(m.stalls, timeSpan{m.due, now})
	}
	m.due = now.Add(stallInterval)
}

// within returns for how long the process was stalled in a span that ends now or earlier.
func (m *stallMeter) within(span timeSpan) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum time.Duration
	for _, stall := range m.stalls {
		sum += stall.overlap(span)
	}
	if pending := (timeSpan{m.due, time.Now()}); pending.to.Sub(pending.from) >= minStall {
		sum += pending.overlap(span)
	}
	return sum
}

// running returns the time since a moment without the stalls.
func (m *stallMeter) running(since time.Time) time.Duration {
	now := time.Now()
	return now.Sub(since) - m.within(timeSpan{since, now})
}

// stop ends the meter and returns the worst lag.
func (m *stallMeter) stop() time.Duration {
	close(m.end)
	<-m.done
	return m.worst
}

// stallTolerantReader reads from a connection until a limit has passed since a moment, not counting stalls.
type stallTolerantReader struct {
	conn  net.Conn
	meter *stallMeter
	since time.Time
	limit time.Duration
}

// Read reads once.
func (r *stallTolerantReader) Read(p []byte) (int, error) {
	for {
		left := r.limit - r.meter.running(r.since)
		_ = r.conn.SetReadDeadline(time.Now().Add(left)) // fails only for a closed connection
		n, err := r.conn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) || r.meter.running(r.since) >= r.limit {
			return n, err
		}
	}
}

func TestStallMeterCountsOnlyTheTimeInWhichTheProcessDidNotRun(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	m := &stallMeter{due: at(0)}
	m.observe(at(20))  // a lag below minStall
	m.observe(at(425)) // due at 25 ms
	m.due = time.Now().Add(time.Minute)
	for _, c := range []struct{ from, to, want int }{{0, 1000, 400}, {125, 225, 100}, {0, 25, 0}, {325, 1000, 100}, {425, 1000, 0}} {
		if got := m.within(timeSpan{at(c.from), at(c.to)}); got != time.Duration(c.want)*time.Millisecond {
			t.Errorf("stalled from %d to %d ms: %v, want %d ms", c.from, c.to, got, c.want)
		}
	}
	m.due = time.Now().Add(-time.Second)
	if got := m.running(m.due.Add(-time.Second)); got < 900*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("running time of 2 s whose second half is a stall that lasts = %v, want 1 s", got)
	}
}
