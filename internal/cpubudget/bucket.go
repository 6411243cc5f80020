package cpubudget

import "time"

// bucket is a token bucket of processor time. It holds burst at most, and goes below 0, by work whose cost was not known in
// advance or that does not wait, at most as far as it recovers within maxRecovery.
type bucket struct {
	rate      float64 // processor time that is added in one unit of time
	balance   time.Duration
	updatedAt time.Time // time of balance
}

// refill adds the time that has become due.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.balance = min(burst, b.balance+time.Duration(b.rate*float64(elapsed)))
		b.updatedAt = now
	}
}

// take takes processor time, or gives it back if spent is negative.
func (b *bucket) take(now time.Time, spent time.Duration) {
	b.refill(now)
	maxDebt := time.Duration(b.rate * float64(maxRecovery))
	b.balance = max(b.balance-spent, -maxDebt)
}

// delay returns the time until the balance reaches floor, rounded up, and 0 if it has.
func (b *bucket) delay(now time.Time, floor time.Duration) time.Duration {
	b.refill(now)
	if b.balance >= floor {
		return 0
	}
	return time.Duration(float64(floor-b.balance)/b.rate) + 1
}
