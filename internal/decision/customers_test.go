package decision

import (
	"testing"
)

// Idle customers are dropped over several intervals: no interval checks all of tens of thousands.
func TestManyIdleCustomersAreForgotten(t *testing.T) {
	n := plain(3, nil)
	const many = 5 * idleScanCustomers
	for k := range CustomerID(many) {
		n.customers.all[n.customers.findOrAdd(customerRef{id: k, spread: 1}, n.now)].lastRequest = n.now
	}
	now := n.now
	for k := range 80 {
		now += controlInterval
		n.SetTime(now)
		pull(n, Forward)
		if left := len(n.customers.slots.slots); k < 59 && left < many || k > 59 && left < many-(k-58)*idleScanCustomers {
			t.Fatalf("%d of %d customers left after %d intervals", left, many, k)
		}
	}
	if left := len(n.customers.slots.slots); left > 0 {
		t.Errorf("%d of %d idle customers left", left, many)
	}
}
