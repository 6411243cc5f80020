package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fakeStore is a store that a test plays: entries by customer and window.
type fakeStore struct {
	id      StoreID
	entries map[string][]Commitment
}

func (s *fakeStore) put(x Exchange) []Commitment {
	key := fmt.Sprint(x.Key, x.Window)
	s.entries[key] = append(s.entries[key], x.Put)
	return slices.Clone(s.entries[key])
}

func (s *fakeStore) clone() *fakeStore {
	c := &fakeStore{id: s.id, entries: map[string][]Commitment{}}
	for key, entries := range s.entries {
		c.entries[key] = slices.Clone(entries)
	}
	return c
}

// fault is what goes wrong with one exchange.
type fault struct {
	lost, late, forgotten bool
}

// fleet is some nodes at one store, in virtual time. Demand is uneven: node i asks for 2^i parts of it, and over the
// quota.
type fleet struct {
	random   *rand.Rand
	nodes    []*Ledger
	stores   [2]*fakeStore // the same twice, unless split
	now      time.Duration
	later    map[time.Duration][]func()
	customer Customer
	spent    map[WindowNumber]float64
	fault    func(f *fleet) fault // of an exchange; nil for none
}

const playStep = 5 * time.Millisecond

func newFleet(seed uint64, nodes int) *fleet {
	store := &fakeStore{id: 1, entries: map[string][]Commitment{}}
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		stores:   [2]*fakeStore{store, store},
		later:    map[time.Duration][]func(){},
		customer: Customer{Key: 9, Rate: 100, Burst: 400, Spread: nodes},
		spent:    map[WindowNumber]float64{},
	}
	for i := range nodes {
		f.nodes = append(f.nodes, New(Config{Self: NodeID(i), Nodes: nodes, Seed: seed, Timeout: 50 * time.Millisecond}, 0))
	}
	return f
}

func (f *fleet) after(delay time.Duration, do func()) {
	f.later[f.now+delay] = append(f.later[f.now+delay], do)
}

func (f *fleet) play(until time.Duration, load float64) {
	for ; f.now < until; f.now += playStep {
		for _, do := range f.later[f.now] {
			do()
		}
		delete(f.later, f.now)
		parts := float64(int(1)<<len(f.nodes) - 1)
		for i, node := range f.nodes {
			mean := f.customer.Rate * load * playStep.Seconds() * float64(int(1)<<i) / parts
			if f.random.Float64() < mean {
				node.RecordDemand(f.now, f.customer, 1)
				if node.TrySpend(f.now, f.customer, 1) {
					f.spent[WindowNumber(f.now/f.customer.Window())]++
				}
			}
			for x, ok := node.Next(f.now); ok; x, ok = node.Next(f.now) {
				f.exchange(node, f.stores[i%2], x)
			}
		}
	}
}

// exchange carries out an exchange, with what goes wrong.
func (f *fleet) exchange(node *Ledger, store *fakeStore, x Exchange) {
	var wrong fault
	if f.fault != nil {
		wrong = f.fault(f)
	}
	delay := playStep * time.Duration(1+f.random.IntN(4))
	if wrong.late {
		delay += time.Duration(f.random.IntN(100)) * playStep
	}
	if wrong.lost {
		return
	}
	f.after(delay, func() {
		entries := []Commitment{x.Put}
		if !wrong.forgotten {
			entries = store.put(x)
		}
		f.after(playStep, func() { node.HandleReply(f.now, x.ID, store.id, entries, nil) })
		if f.random.IntN(20) == 0 { // the answer comes twice, and what was put is put again
			f.after(playStep*time.Duration(1+f.random.IntN(200)), func() {
				node.HandleReply(f.now, x.ID, store.id, store.put(x), nil)
			})
		}
	})
}

// used is the largest part of a window's allowance that was spent, and what was spent over the whole play, of the quota.
func (f *fleet) used() (window, whole float64) {
	allowance := f.customer.Rate * f.customer.Window().Seconds()
	for _, spent := range f.spent {
		window, whole = max(window, spent/allowance), whole+spent
	}
	return window, whole / (f.customer.Rate * f.now.Seconds())
}

// While the store is well no window passes its allowance, and uneven demand gets what even slices would leave unused.
func TestLeasesFollowDemandAndNeverPassTheQuota(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 6)
		f.play(60*time.Second, 1.5)
		window, with := f.used()
		if window > 1 || with < 0.75 {
			t.Errorf("seed %d: %.3f of a window's allowance, %.2f of the quota used", seed, window, with)
		}
		alone := newFleet(seed, 6)
		alone.fault = func(*fleet) fault { return fault{lost: true} }
		alone.play(60*time.Second, 1.5)
		window, without := alone.used()
		t.Logf("seed %d: %.2f of the quota used with a store, %.2f without", seed, with, without)
		if window > 1 || without > with-0.1 {
			t.Errorf("seed %d without a store: %.3f of a window, %.2f of the quota, %.2f with one", seed, window, without, with)
		}
	}
}

// inTheMiddle reports whether it is the time of the faults.
func inTheMiddle(f *fleet) bool { return f.now > 21300*time.Millisecond && f.now < 40*time.Second }

// replaceStore puts another, empty one in place of the store every 4 s.
func replaceStore(f *fleet) fault {
	if id := StoreID(1 + f.now/(4*time.Second)); inTheMiddle(f) && f.stores[0].id != id {
		store := &fakeStore{id: id, entries: map[string][]Commitment{}}
		f.stores = [2]*fakeStore{store, store}
	}
	return fault{}
}

// splitStore splits the store in two, of which the first half lasts.
func splitStore(f *fleet) fault {
	if split := f.stores[0] != f.stores[1]; inTheMiddle(f) && !split {
		f.stores[1] = f.stores[0].clone()
	} else if !inTheMiddle(f) && split {
		f.stores[1] = f.stores[0]
	}
	return fault{}
}

// What a store loses, answers late or twice, forgets, splits or comes back without: no customer gets over a tenth more
// than its quota, and where nothing is forgotten or split no window passes its allowance at all.
func TestOverageIsBoundedWhateverTheStoreDoes(t *testing.T) {
	for _, c := range []struct {
		name   string
		window float64 // the most that may be used of a window's allowance
		fault  func(f *fleet) fault
	}{
		{"gone", 1, func(f *fleet) fault { return fault{lost: inTheMiddle(f)} }},
		{"stalls", 1, func(f *fleet) fault { return fault{late: inTheMiddle(f)} }},
		{"lossy", 1, func(f *fleet) fault { return fault{lost: f.random.IntN(3) == 0, late: f.random.IntN(3) == 0} }},
		{"forgets", 1.4, func(f *fleet) fault { return fault{forgotten: inTheMiddle(f) && f.random.IntN(3) == 0} }},
		{"empty", 1, replaceStore},
		{"split", 2, splitStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				f := newFleet(seed, 6)
				f.fault = c.fault
				f.play(60*time.Second, 2)
				window, whole := f.used()
				t.Logf("seed %d: most %.3f of a window's allowance, %.3f of the quota", seed, window, whole)
				if window > c.window || whole > 1.1 || whole < 0.3 {
					t.Errorf("seed %d: %.3f of a window's allowance, %.3f of the quota", seed, window, whole)
				}
			}
		})
	}
}

// A node that starts again does not know what it spent before: it waits for the next window.
func TestARestartFillsNothing(t *testing.T) {
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2}
	l := New(Config{Nodes: 2, Timeout: time.Second}, 3*time.Second)
	if l.TrySpend(3*time.Second, c, 1) || l.TrySpend(3900*time.Millisecond, c, 1) {
		t.Error("it spent in the window in which it started")
	}
	if _, ok := l.Next(3900 * time.Millisecond); ok {
		t.Error("it wrote over an earlier life's entries")
	}
	if !l.TrySpend(4*time.Second, c, 1) || l.TrySpend(4*time.Second, c, 10) {
		t.Error("its slice of the next window is not 10")
	}
}

// A store that does not answer is left alone for longer and longer, and tried again.
func TestADeadStoreIsLeftAlone(t *testing.T) {
	l := New(Config{Nodes: 4, Timeout: 100 * time.Millisecond}, 0)
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for key := range CustomerKey(20) {
			c := Customer{Key: key, Rate: 10, Burst: 40, Spread: 4}
			l.RecordDemand(now, c, 1)
			l.TrySpend(now, c, 1)
		}
		for _, ok := l.Next(now); ok; _, ok = l.Next(now) {
			calls++
		}
	}
	if c := l.Counters(); calls < 8 || calls > 60 || c.Failed < 7 {
		t.Errorf("%d calls in a minute, %+v", calls, c)
	}
}

// What is available shrinks with use, whether it was asked for or not; a customer without a quota has no bound.
func TestAvailable(t *testing.T) {
	l := New(Config{Nodes: 2}, 0)
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2} // a slice of 10 in a window of 2 s
	if got := l.Available(0, c); got != 10 {
		t.Errorf("%v available", got)
	}
	if !l.TrySpend(0, c, 4) || l.TrySpend(0, c, 6.5) || l.Counters().Rejected != 1 {
		t.Errorf("%+v", l.Counters())
	}
	l.RecordUse(0, c, 7)
	if got := l.Available(0, c); got != 0 {
		t.Errorf("%v available after more was used", got)
	}
	if got := l.Available(2*time.Second, c); got != 10 {
		t.Errorf("%v available in the next window", got)
	}
	unlimited := Customer{Key: 2}
	l.RecordUse(0, unlimited, 7)
	if got := l.Available(0, unlimited); !math.IsInf(got, 1) || !l.TrySpend(0, unlimited, 1e9) {
		t.Errorf("%v available without a quota", got)
	}
}

// A quota that changes begins anew; a customer that nobody asks for is forgotten.
func TestChangedAndIdleCustomers(t *testing.T) {
	l := New(Config{Nodes: 2}, 0)
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2}
	l.RecordDemand(0, c, 1)
	l.RecordUse(0, c, 9)
	c.Rate = 20 // in windows of half the length now
	if got := l.Available(0, c); got != 10 {
		t.Errorf("%v available after the quota was doubled", got)
	}
	c.Spread = 9 // more than there are nodes
	if got := l.Available(0, c); got != 10 {
		t.Errorf("%v available with too wide a set", got)
	}
	for now := time.Duration(0); now < 2*idleWindows*c.Window()+time.Minute; now += time.Second {
		l.Next(now)
	}
	if len(l.accounts) != 0 || len(l.turns) != 0 {
		t.Errorf("%d customers, %d turns", len(l.accounts), len(l.turns))
	}
}
