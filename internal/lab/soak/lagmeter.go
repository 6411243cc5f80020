package soak

import (
	"context"
	"sync"
	"time"
)

const (
	lagInterval = 5 * time.Millisecond // between two measurements
	lagBuckets  = 64
	lagBucket   = 250 * time.Millisecond
)

// lagMeter measures the scheduling delays of this process, so that no check blames a node for them. It keeps the last
// lagBuckets*lagBucket of time, and is safe for concurrent use.
type lagMeter struct {
	startedAt time.Time

	mu      sync.Mutex // guards the fields below
	lags    [lagBuckets]time.Duration
	numbers [lagBuckets]int64 // number of the bucket at each index of lags
}

func newLagMeter() *lagMeter { return &lagMeter{startedAt: time.Now()} }

// run measures until ctx ends.
func (m *lagMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		time.Sleep(lagInterval)
		m.note(time.Now(), time.Since(begun)-lagInterval)
	}
}

// bucket returns the number of the bucket with a moment.
func (m *lagMeter) bucket(at time.Time) int64 { return int64(at.Sub(m.startedAt) / lagBucket) }

// note records a delay.
func (m *lagMeter) note(at time.Time, lag time.Duration) {
	number := m.bucket(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	i := number % lagBuckets
	if m.numbers[i] != number {
		m.numbers[i], m.lags[i] = number, 0
	}
	m.lags[i] = max(m.lags[i], lag)
}

// around returns the greatest delay in the bucket of a moment and its neighbours. For a moment that is no longer kept it
// returns 0.
func (m *lagMeter) around(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	worst := time.Duration(0)
	for number := max(0, m.bucket(at)-1); number <= m.bucket(at)+1; number++ {
		if i := number % lagBuckets; m.numbers[i] == number {
			worst = max(worst, m.lags[i])
		}
	}
	return worst
}
