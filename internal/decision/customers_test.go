package decision

import (
	"testing"
)

// Idle customers are dropped over several intervals. A check of tens of thousands of customers in one interval would delay
// requests.
func TestManyIdleCustomersAreForgotten(t *testing.T) {
	engine := newTestEngine(3, nil)
	const customers = 5 * idleScanCustomers
	for k := range CustomerID(customers) {
		engine.customers.all[engine.customers.findOrAdd(customerRef{id: k, spread: 1}, engine.now)].lastActiveAt = engine.now
	}
	now := engine.now
	for k := range 80 {
		now += controlInterval
		engine.SetTime(now)
		takeDecisions(engine, Forward)
		if left := len(engine.customers.slots.slots); k < 59 && left < customers || k > 59 && left < customers-(k-58)*idleScanCustomers {
			t.Fatalf("%d of %d customers are left in interval %d, want at least %d",
				left, customers, k, min(customers, customers-(k-58)*idleScanCustomers))
		}
	}
	if left := len(engine.customers.slots.slots); left > 0 {
		t.Errorf("%d of %d idle customers are left after 80 intervals, want 0", left, customers)
	}
}
