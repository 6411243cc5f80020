package cpubudget

import "time"

// Work is work whose cost is taken in advance, because it comes after work of the same kind has been allowed.
type Work int

// The kinds of work that are reserved.
const (
	Connection Work = iota // reading and parsing what an accepted connection sends, and closing it, without a forwarded or rejected request
	Close                  // closing a connection after a rejection
	Parse                  // parsing what a turn of a request that costs much to parse allows

	works // number of kinds
)

// First expected costs. That of a connection is low, so that usual clients that connect together after a restart don't wait.
const (
	firstConnectionCost = 20 * time.Microsecond
	firstCloseCost      = 100 * time.Microsecond
	firstParseCost      = 100 * time.Microsecond
)

// costWeight is the weight of the latest cost in an expected cost.
const costWeight = 0.1

// expectedCost is what work will probably cost.
type expectedCost struct {
	kind Kind          // kind of work that the cost belongs to
	mean time.Duration // exponentially weighted mean of the costs so far
}

// newExpectedCosts returns the expected costs before the first cost is known.
func newExpectedCosts() [works]expectedCost {
	return [works]expectedCost{
		Connection: {Accept, firstConnectionCost},
		Close:      {Reject, firstCloseCost},
		Parse:      {Reject, firstParseCost},
	}
}

// Reserve takes the expected cost of work in advance, and returns it.
func (b *Budget) Reserve(now time.Time, work Work) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := b.expected[work]
	b.chargeLocked(now, expected.kind, expected.mean)
	return expected.mean
}

// Return gives back what Reserve took, because the work was not done or is charged otherwise.
func (b *Budget) Return(now time.Time, work Work, reserved time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chargeLocked(now, b.expected[work].kind, -reserved)
}

// Settle takes the cost of work that was done, less what Reserve took for it.
func (b *Budget) Settle(now time.Time, work Work, cost Cost, reserved time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := &b.expected[work]
	spent := b.scaledLocked(cost)
	b.chargeLocked(now, expected.kind, spent-reserved)
	expected.mean += time.Duration(costWeight * float64(spent-expected.mean))
}
