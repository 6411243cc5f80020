package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// shared is a store that a test plays: entries by customer and window, in up to two halves.
type shared struct {
	id   uint64
	data map[string][]Entry
}

func (s *shared) put(x Exchange) []Entry {
	key := fmt.Sprint(x.Key, x.Window)
	s.data[key] = append(s.data[key], x.Put)
	return append([]Entry(nil), s.data[key]...)
}

func (s *shared) copy() *shared {
	c := &shared{id: s.id, data: map[string][]Entry{}}
	for k, v := range s.data {
		c.data[k] = append([]Entry(nil), v...)
	}
	return c
}

// day is some nodes at one store, in virtual time. Demand is uneven: node k asks 2^k parts of it, and over the quota.
type day struct {
	rng    *rand.Rand
	nodes  []*Ledger
	stores [2]*shared // the same twice, unless split
	now    time.Duration
	later  map[time.Duration][]func()
	c      Customer
	spent  map[int64]float64
	asked  float64
	fault  func(d *day, node int) (lost, late, forget bool)
}

func newDay(seed uint64, nodes int) *day {
	s := &shared{id: 1, data: map[string][]Entry{}}
	d := &day{
		rng: rand.New(rand.NewPCG(seed, 1)), stores: [2]*shared{s, s}, later: map[time.Duration][]func(){},
		c: Customer{Key: 9, Rate: 100, Burst: 400, Spread: nodes}, spent: map[int64]float64{},
	}
	for k := range nodes {
		d.nodes = append(d.nodes, New(Config{Self: k, Nodes: nodes, Seed: seed, Timeout: 50 * time.Millisecond}, 0))
	}
	return d
}

func (d *day) play(until time.Duration, load float64) {
	const step = 5 * time.Millisecond
	for ; d.now < until; d.now += step {
		for _, f := range d.later[d.now] {
			f()
		}
		delete(d.later, d.now)
		parts := float64(int(1)<<len(d.nodes) - 1)
		for k, n := range d.nodes {
			if mean := d.c.Rate * load * step.Seconds() * float64(int(1)<<k) / parts; d.rng.Float64() < mean {
				n.RecordDemand(d.now, d.c, 1)
				d.asked++
				if n.TrySpend(d.now, d.c, 1) {
					d.spent[int64(d.now/d.c.Window())]++
				}
			}
			for x, ok := n.Next(d.now); ok; x, ok = n.Next(d.now) {
				lost, late, forget := false, false, false
				if d.fault != nil {
					lost, late, forget = d.fault(d, k)
				}
				s := d.stores[k%2]
				at := d.now + step*time.Duration(1+d.rng.IntN(4))
				if late {
					at += time.Duration(d.rng.IntN(100)) * step
				}
				if lost {
					continue
				}
				d.later[at] = append(d.later[at], func() {
					entries := []Entry{x.Put}
					if !forget {
						entries = s.put(x)
					}
					back := d.now + step
					d.later[back] = append(d.later[back], func() { n.HandleReply(d.now, x.ID, s.id, entries, true) })
					if d.rng.IntN(20) == 0 { // the answer comes twice, and what was put is put again
						again := d.now + step*time.Duration(1+d.rng.IntN(200))
						d.later[again] = append(d.later[again], func() { n.HandleReply(d.now, x.ID, s.id, s.put(x), true) })
					}
				})
			}
		}
	}
}

// over is the largest part of a window's allowance that was spent, and what was spent over the whole day, of its quota.
func (d *day) over() (window, whole float64) {
	allowed := d.c.Rate * d.c.Window().Seconds()
	for _, s := range d.spent {
		window, whole = max(window, s/allowed), whole+s
	}
	return window, whole / (d.c.Rate * d.now.Seconds())
}

// While the store is well no window passes its allowance, and uneven demand gets what even slices would leave unused.
func TestLeasesFollowDemandAndNeverPassTheQuota(t *testing.T) {
	for seed := range uint64(5) {
		d := newDay(seed, 6)
		d.play(60*time.Second, 1.5)
		if window, whole := d.over(); window > 1 || whole < 0.75 {
			t.Errorf("seed %d: %.3f of a window's allowance, %.2f of the quota used", seed, window, whole)
		}
		alone := newDay(seed, 6)
		alone.fault = func(*day, int) (bool, bool, bool) { return true, false, false }
		alone.play(60*time.Second, 1.5)
		window, whole := alone.over()
		_, used := d.over()
		t.Logf("seed %d: %.2f of the quota used with a store, %.2f without", seed, used, whole)
		if _, with := d.over(); window > 1 || whole > with-0.1 {
			t.Errorf("seed %d without a store: %.3f of a window, %.2f of the quota, %.2f with one", seed, window, whole, with)
		}
	}
}

// What a store loses, answers late or twice, forgets, splits or comes back without: no customer gets over a tenth more
// than its quota, and where nothing is forgotten or split no window passes its allowance at all.
func TestOverageIsBoundedWhateverTheStoreDoes(t *testing.T) {
	mid := func(d *day) bool { return d.now > 21300*time.Millisecond && d.now < 40*time.Second }
	for name, c := range map[string]struct {
		window float64
		fault  func(d *day, node int) (lost, late, forget bool)
	}{
		"gone":    {1, func(d *day, _ int) (bool, bool, bool) { return mid(d), false, false }},
		"stalls":  {1, func(d *day, _ int) (bool, bool, bool) { return false, mid(d), false }},
		"lossy":   {1, func(d *day, _ int) (bool, bool, bool) { return d.rng.IntN(3) == 0, d.rng.IntN(3) == 0, false }},
		"forgets": {1.4, func(d *day, _ int) (bool, bool, bool) { return false, false, mid(d) && d.rng.IntN(3) == 0 }},
		"empty": {1, func(d *day, _ int) (bool, bool, bool) { // another, empty one every 4 s
			if id := uint64(1 + d.now/(4*time.Second)); mid(d) && d.stores[0].id != id {
				s := &shared{id: id, data: map[string][]Entry{}}
				d.stores = [2]*shared{s, s}
			}
			return false, false, false
		}},
		"split": {2, func(d *day, _ int) (bool, bool, bool) {
			if split := d.stores[0] != d.stores[1]; mid(d) && !split {
				d.stores[1] = d.stores[0].copy()
			} else if !mid(d) && split {
				d.stores[1] = d.stores[0]
			}
			return false, false, false
		}},
	} {
		for seed := range uint64(6) {
			d := newDay(seed, 6)
			d.fault = c.fault
			d.play(60*time.Second, 2)
			window, whole := d.over()
			t.Logf("%s, seed %d: most %.3f of a window's allowance, %.3f of the quota", name, seed, window, whole)
			if window > c.window || whole > 1.1 || whole < 0.3 {
				t.Errorf("%s, seed %d: %.3f of a window's allowance, %.3f of the quota", name, seed, window, whole)
			}
		}
	}
}

// A node that starts again does not know what it spent before: it waits for the next window.
func TestARestartFillsNothing(t *testing.T) {
	c := Customer{Key: 1, Rate: 10, Burst: 40, Spread: 2}
	n := New(Config{Nodes: 2, Timeout: time.Second}, 3*time.Second)
	if n.TrySpend(3*time.Second, c, 1) || n.TrySpend(3900*time.Millisecond, c, 1) {
		t.Error("it spent in the window in which it started")
	}
	if _, ok := n.Next(3900 * time.Millisecond); ok {
		t.Error("it wrote over an earlier life's entries")
	}
	if !n.TrySpend(4*time.Second, c, 1) || n.TrySpend(4*time.Second, c, 10) {
		t.Error("its slice of the next window is not 10")
	}
}

// A store that does not answer is left alone for longer and longer, and tried again.
func TestADeadStoreIsLeftAlone(t *testing.T) {
	n := New(Config{Nodes: 4, Timeout: 100 * time.Millisecond}, 0)
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for k := range uint64(20) {
			c := Customer{Key: k, Rate: 10, Burst: 40, Spread: 4}
			n.RecordDemand(now, c, 1)
			n.TrySpend(now, c, 1)
		}
		for _, ok := n.Next(now); ok; _, ok = n.Next(now) {
			calls++
		}
	}
	if c := n.Count(); calls < 8 || calls > 60 || c.Failed < 7 {
		t.Errorf("%d calls in a minute, %+v", calls, c)
	}
}
