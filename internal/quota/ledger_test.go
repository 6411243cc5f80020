package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fakeStore is an in-memory store.
type fakeStore struct {
	id      StoreID                 // id that the replies carry
	entries map[string][]Commitment // entries by customer and window
}

// put adds the entry of an exchange, and returns all entries of its customer and window.
func (s *fakeStore) put(exchange Exchange) []Commitment {
	key := fmt.Sprint(exchange.Key, exchange.Window)
	s.entries[key] = append(s.entries[key], exchange.Put)
	return slices.Clone(s.entries[key])
}

// clone returns an independent copy of the store.
func (s *fakeStore) clone() *fakeStore {
	copied := &fakeStore{id: s.id, entries: map[string][]Commitment{}}
	for key, entries := range s.entries {
		copied.entries[key] = slices.Clone(entries)
	}
	return copied
}

// fault is the fault of one exchange.
type fault struct {
	noReply      bool // whether the exchange gets no reply
	lateReply    bool // whether the reply is delayed by up to 500 ms
	entryDropped bool // whether the store replies but drops the entry
}

// fleet is a fleet with one store in virtual time. The demand is uneven: node i has 2^i parts of the demand.
type fleet struct {
	random     *rand.Rand
	nodes      []*Ledger
	stores     [2]*fakeStore              // stores of the even and the odd nodes; the same store unless it is split
	now        time.Duration              // virtual time
	scheduled  map[time.Duration][]func() // actions by the time at which they are due
	customer   Customer
	spentUnits map[WindowNumber]float64 // units spent by all nodes, by window
	drawFault  func(f *fleet) fault     // draws the fault of an exchange; nil for none
}

// stepLength is the time between two steps of a fleet.
const stepLength = 5 * time.Millisecond

// newFleet returns a fleet whose store has no faults.
func newFleet(seed uint64, nodes int) *fleet {
	store := &fakeStore{id: 1, entries: map[string][]Commitment{}}
	f := &fleet{
		random:     rand.New(rand.NewPCG(seed, 1)),
		stores:     [2]*fakeStore{store, store},
		scheduled:  map[time.Duration][]func(){},
		customer:   Customer{Key: 9, Rate: 100, Burst: 400, Spread: nodes},
		spentUnits: map[WindowNumber]float64{},
	}
	for i := range nodes {
		f.nodes = append(f.nodes, New(Config{Self: NodeID(i), Nodes: nodes, Seed: seed, Timeout: 50 * time.Millisecond}, 0))
	}
	return f
}

// after schedules an action. delay is a multiple of stepLength.
func (f *fleet) after(delay time.Duration, action func()) {
	f.scheduled[f.now+delay] = append(f.scheduled[f.now+delay], action)
}

// run runs the fleet until a time. load is the demand as a ratio of the quota.
func (f *fleet) run(until time.Duration, load float64) {
	for ; f.now < until; f.now += stepLength {
		for _, action := range f.scheduled[f.now] {
			action()
		}
		delete(f.scheduled, f.now)
		parts := float64(int(1)<<len(f.nodes) - 1)
		for i, node := range f.nodes {
			mean := f.customer.Rate * load * stepLength.Seconds() * float64(int(1)<<i) / parts
			if f.random.Float64() < mean {
				node.RecordDemand(f.now, f.customer, 1)
				if node.TrySpend(f.now, f.customer, 1) {
					f.spentUnits[WindowNumber(f.now/f.customer.Window())]++
				}
			}
			for exchange, ok := node.Next(f.now); ok; exchange, ok = node.Next(f.now) {
				f.exchange(node, f.stores[i%2], exchange)
			}
		}
	}
}

// exchange carries out an exchange, with the fault that drawFault draws.
func (f *fleet) exchange(node *Ledger, store *fakeStore, exchange Exchange) {
	var drawn fault
	if f.drawFault != nil {
		drawn = f.drawFault(f)
	}
	delay := stepLength * time.Duration(1+f.random.IntN(4))
	if drawn.lateReply {
		delay += time.Duration(f.random.IntN(100)) * stepLength
	}
	if drawn.noReply {
		return
	}
	f.after(delay, func() {
		entries := []Commitment{exchange.Put}
		if !drawn.entryDropped {
			entries = store.put(exchange)
		}
		f.after(stepLength, func() { node.HandleReply(f.now, exchange.ID, Reply{Store: store.id, Entries: entries}, nil) })
		if f.random.IntN(20) == 0 { // the store carries the exchange out twice
			f.after(stepLength*time.Duration(1+f.random.IntN(200)), func() {
				node.HandleReply(f.now, exchange.ID, Reply{Store: store.id, Entries: store.put(exchange)}, nil)
			})
		}
	})
}

// quotaUse returns the largest share of a window's allowance that was spent, and the share of the quota that was spent
// overall.
func (f *fleet) quotaUse() (largestWindowShare, overallShare float64) {
	allowance := f.customer.Rate * f.customer.Window().Seconds()
	for _, spent := range f.spentUnits {
		largestWindowShare, overallShare = max(largestWindowShare, spent/allowance), overallShare+spent
	}
	return largestWindowShare, overallShare / (f.customer.Rate * f.now.Seconds())
}

// TestLeasesFollowDemandWithinTheQuota guards against overuse, and against leases that do not follow the demand. Without
// faults no window exceeds its allowance. With uneven demand, nodes with a store use more of the quota than nodes without
// one.
func TestLeasesFollowDemandWithinTheQuota(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 6)
		f.run(60*time.Second, 1.5)
		largestWindowShare, useWithStore := f.quotaUse()
		if largestWindowShare > 1 || useWithStore < 0.75 {
			t.Errorf("seed %d with a store: %.4f of the allowance spent in the largest window, %.4f of the quota overall; want at most 1 and at least 0.75",
				seed, largestWindowShare, useWithStore)
		}
		withoutStore := newFleet(seed, 6)
		withoutStore.drawFault = func(*fleet) fault { return fault{noReply: true} }
		withoutStore.run(60*time.Second, 1.5)
		largestWindowShare, useWithoutStore := withoutStore.quotaUse()
		t.Logf("seed %d: %.2f of the quota spent with a store, %.2f without", seed, useWithStore, useWithoutStore)
		if largestWindowShare > 1 || useWithoutStore > useWithStore-0.1 {
			t.Errorf("seed %d without a store: %.4f of the allowance spent in the largest window, %.4f of the quota overall; want at most 1 and at most %.4f",
				seed, largestWindowShare, useWithoutStore, useWithStore-0.1)
		}
	}
}

// faultsActive reports whether the faults are active at the time of the fleet.
func faultsActive(f *fleet) bool { return f.now > 21300*time.Millisecond && f.now < 40*time.Second }

// replaceStore replaces the store by an empty one every 4 s while the faults are active.
func replaceStore(f *fleet) fault {
	if id := StoreID(1 + f.now/(4*time.Second)); faultsActive(f) && f.stores[0].id != id {
		store := &fakeStore{id: id, entries: map[string][]Commitment{}}
		f.stores = [2]*fakeStore{store, store}
	}
	return fault{}
}

// splitStore splits the store in two while the faults are active. Afterwards all nodes use the first half again.
func splitStore(f *fleet) fault {
	if split := f.stores[0] != f.stores[1]; faultsActive(f) && !split {
		f.stores[1] = f.stores[0].clone()
	} else if !faultsActive(f) && split {
		f.stores[1] = f.stores[0]
	}
	return fault{}
}

// TestOveruseIsBoundedWithAnyStoreFault guards against overuse while the store fails. With any fault of the store a customer
// gets at most a tenth more than its quota. Unless the store drops entries or splits, no window exceeds its allowance.
func TestOveruseIsBoundedWithAnyStoreFault(t *testing.T) {
	for _, c := range []struct {
		name           string
		maxWindowShare float64 // largest allowed use of a window, as a ratio of its allowance
		fault          func(f *fleet) fault
	}{
		{"unreachable", 1, func(f *fleet) fault { return fault{noReply: faultsActive(f)} }},
		{"late replies", 1, func(f *fleet) fault { return fault{lateReply: faultsActive(f)} }},
		{"lossy", 1, func(f *fleet) fault { return fault{noReply: f.random.IntN(3) == 0, lateReply: f.random.IntN(3) == 0} }},
		{"drops entries", 1.4, func(f *fleet) fault { return fault{entryDropped: faultsActive(f) && f.random.IntN(3) == 0} }},
		{"empty", 1, replaceStore},
		{"split", 2, splitStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				f := newFleet(seed, 6)
				f.drawFault = c.fault
				f.run(60*time.Second, 2)
				largestWindowShare, overallShare := f.quotaUse()
				t.Logf("seed %d: %.3f of the allowance spent in the largest window, %.3f of the quota overall", seed, largestWindowShare, overallShare)
				if largestWindowShare > c.maxWindowShare || overallShare > 1.1 || overallShare < 0.3 {
					t.Errorf("seed %d: %.4f of the allowance spent in the largest window, %.4f of the quota overall; want at most %v, and 0.3 to 1.1",
						seed, largestWindowShare, overallShare, c.maxWindowShare)
				}
			}
		})
	}
}

// TestRestartRefillsNoQuota guards against a restart that refills a quota. A restarted node does not know its former use in
// the window, so it spends nothing until the next window.
func TestRestartRefillsNoQuota(t *testing.T) {
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2}
	l := New(Config{Nodes: 2, Timeout: time.Second}, 3*time.Second)
	if spent := l.TrySpend(3*time.Second, c, 1); spent || l.TrySpend(3900*time.Millisecond, c, 1) {
		t.Errorf("window in which the node started: TrySpend of 1 unit at 3s = %v (if false, it was true at 3.9s); want false both times", spent)
	}
	if _, ok := l.Next(3900 * time.Millisecond); ok {
		t.Error("Next returned an exchange in the window in which the node started, want none")
	}
	if spent := l.TrySpend(4*time.Second, c, 1); !spent || l.TrySpend(4*time.Second, c, 10) {
		t.Errorf("next window, with a share of 10 units: TrySpend of 1 unit = %v (if true, TrySpend of 10 more was true as well); want true, then false", spent)
	}
}

// TestUnreachableStoreGetsFewExchanges guards against load on an unreachable store. A store that does not reply gets few
// exchanges, but the node keeps trying.
func TestUnreachableStoreGetsFewExchanges(t *testing.T) {
	l := New(Config{Nodes: 4, Timeout: 100 * time.Millisecond}, 0)
	exchanges := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for key := range CustomerKey(20) {
			c := Customer{Key: key, Rate: 10, Burst: 40, Spread: 4}
			l.RecordDemand(now, c, 1)
			l.TrySpend(now, c, 1)
		}
		for _, ok := l.Next(now); ok; _, ok = l.Next(now) {
			exchanges++
		}
	}
	if c := l.Counters(); exchanges < 8 || exchanges > 60 || c.Failed < 7 {
		t.Errorf("unreachable store for a minute: %d exchanges, counters %+v; want 8 to 60 exchanges and Failed at least 7", exchanges, c)
	}
}

// TestUseReducesAvailableUnits guards against use that is not deducted. Spent and recorded use reduce the available units. A
// customer without a quota has no limit.
func TestUseReducesAvailableUnits(t *testing.T) {
	l := New(Config{Nodes: 2}, 0)
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2} // an equal share of 10 in a window of 2 s
	if got := l.Available(0, c); got != 10 {
		t.Errorf("Available in the first window = %v, want 10", got)
	}
	if spent := l.TrySpend(0, c, 4); !spent || l.TrySpend(0, c, 6.5) || l.Counters().Rejected != 1 {
		t.Errorf("TrySpend of 4 of 10 units = %v, counters after TrySpend of 6.5 more: %+v; want true, then false and Rejected 1", spent, l.Counters())
	}
	l.RecordUse(0, c, 7)
	if got := l.Available(0, c); got != 0 {
		t.Errorf("Available after the use of 11 of 10 units = %v, want 0", got)
	}
	if got := l.Available(2*time.Second, c); got != 10 {
		t.Errorf("Available in the next window = %v, want 10", got)
	}
	unlimited := Customer{Key: 2}
	l.RecordUse(0, unlimited, 7)
	if got := l.Available(0, unlimited); !math.IsInf(got, 1) || !l.TrySpend(0, unlimited, 1e9) {
		t.Errorf("Available without a quota = %v, want +Inf, and TrySpend of 1e9 units to succeed", got)
	}
}

// TestChangedAndIdleAccounts guards against accounts with an outdated quota, and against a leak of accounts. A changed quota
// resets the account, and an idle account is dropped.
func TestChangedAndIdleAccounts(t *testing.T) {
	l := New(Config{Nodes: 2}, 0)
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2}
	l.RecordDemand(0, c, 1)
	l.RecordUse(0, c, 9)
	c.Rate = 20 // halves the length of the windows
	if got := l.Available(0, c); got != 10 {
		t.Errorf("Available after the quota was doubled = %v, want 10", got)
	}
	c.Spread = 9 // larger than the fleet
	if got := l.Available(0, c); got != 10 {
		t.Errorf("Available with a node set larger than the fleet = %v, want 10", got)
	}
	for now := time.Duration(0); now < 2*idleWindows*c.Window()+time.Minute; now += time.Second {
		l.Next(now)
	}
	if len(l.accounts) != 0 || len(l.rotation) != 0 {
		t.Errorf("after the customer was idle: %d accounts, %d of them in the rotation; want 0 and 0", len(l.accounts), len(l.rotation))
	}
}
