package soak

import (
	"context"
	"sync"
	"time"
)

const (
	lagInterval    = 5 * time.Millisecond // sleep time of each measurement
	lagBucketCount = 64
	lagBucketSpan  = 250 * time.Millisecond
)

// lagMeter measures the scheduling delays of this process, so that no check attributes them to a node. It keeps the delays of
// the last lagBucketCount*lagBucketSpan. It is safe for concurrent use.
type lagMeter struct {
	startedAt time.Time

	mu            sync.Mutex // guards the fields below
	maxLags       [lagBucketCount]time.Duration
	bucketNumbers [lagBucketCount]int64 // number of the bucket at each index of maxLags
}

func newLagMeter() *lagMeter { return &lagMeter{startedAt: time.Now()} }

// run measures delays until ctx ends.
func (m *lagMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleepStart := time.Now()
		time.Sleep(lagInterval)
		m.record(time.Now(), time.Since(sleepStart)-lagInterval)
	}
}

// bucketNumber returns the number of the bucket that contains a moment.
func (m *lagMeter) bucketNumber(at time.Time) int64 {
	return int64(at.Sub(m.startedAt) / lagBucketSpan)
}

// record records a delay that was measured at a moment.
func (m *lagMeter) record(at time.Time, lag time.Duration) {
	number := m.bucketNumber(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	i := number % lagBucketCount
	if m.bucketNumbers[i] != number {
		m.bucketNumbers[i], m.maxLags[i] = number, 0
	}
	m.maxLags[i] = max(m.maxLags[i], lag)
}

// maxAround returns the greatest delay in the bucket of a moment and the two adjacent buckets. It returns 0 if the meter no
// longer keeps them.
func (m *lagMeter) maxAround(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	for number := max(0, m.bucketNumber(at)-1); number <= m.bucketNumber(at)+1; number++ {
		if i := number % lagBucketCount; m.bucketNumbers[i] == number {
			longest = max(longest, m.maxLags[i])
		}
	}
	return longest
}
