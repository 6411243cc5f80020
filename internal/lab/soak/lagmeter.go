package soak

import (
	"context"
	"sync"
	"time"
)

const (
	lagInterval = 5 * time.Millisecond
	lagBuckets  = 64
	lagBucket   = 250 * time.Millisecond
)

// lagMeter measures how late this process runs what is due, so that no node is blamed for it.
type lagMeter struct {
	startedAt time.Time

	mu   sync.Mutex // guards what follows
	lags [lagBuckets]time.Duration
	of   [lagBuckets]int64 // the bucket's number
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

func (m *lagMeter) bucket(at time.Time) int64 { return int64(at.Sub(m.startedAt) / lagBucket) }

func (m *lagMeter) note(at time.Time, lag time.Duration) {
	number := m.bucket(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	i := number % lagBuckets
	if m.of[i] != number {
		m.of[i], m.lags[i] = number, 0
	}
	m.lags[i] = max(m.lags[i], lag)
}

// around is the greatest lag about a moment of the last seconds.
func (m *lagMeter) around(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	worst := time.Duration(0)
	for number := max(0, m.bucket(at)-1); number <= m.bucket(at)+1; number++ {
		if i := number % lagBuckets; m.of[i] == number {
			worst = max(worst, m.lags[i])
		}
	}
	return worst
}
