package quota

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// leased makes a ledger with one customer at node 0 of 4: 20 units a window of 2 s, a slice of 5.
func leased(t *testing.T) (*Ledger, *account) {
	t.Helper()
	l := New(Config{Nodes: 4, Seed: 1, Timeout: 100 * time.Millisecond}, 0)
	a := l.account(Customer{Key: 1, Rate: 10, Burst: 40, Spread: 4})
	a.exchangeAt = 0
	return l, a
}

// next is the next exchange, which there must be.
func next(t *testing.T, l *Ledger) Exchange {
	t.Helper()
	x, ok := l.Next(l.now)
	if !ok {
		t.Fatal("no exchange")
	}
	return x
}

// What is not needed is released at once, before the store has it.
func TestReleaseHoldsAtOnce(t *testing.T) {
	l, a := leased(t)
	a.demand = demand{forecast: 1}
	x := next(t, l)
	if a.cap != 1.75 || x.Put != (Commitment{Node: 0, Sequence: 1, Cap: 1.75}) || l.Counters().Released != 1 {
		t.Errorf("cap %v, %+v", a.cap, x)
	}
	if x.Keep != 6*time.Second || x.Timeout != 100*time.Millisecond || x.Window != 0 || x.Key != 1 {
		t.Errorf("%+v", x)
	}
	if _, ok := l.Next(l.now); ok {
		t.Error("two exchanges for one customer at once")
	}
	l.HandleReply(l.now, x.ID, 1, []Commitment{x.Put}, nil)
	if a.storedCap != 1.75 || a.stored != 1 {
		t.Errorf("%+v", a)
	}
	if _, ok := l.Next(time.Second); ok {
		t.Error("an exchange without need")
	}
}

// A cap is raised in steps of a lease, once the store has granted it, as far as the others' commitments leave it.
func TestBorrow(t *testing.T) {
	for _, c := range []struct {
		name    string
		others  []Commitment
		cap     float64
		denied  bool
		granted bool
	}{
		{"nothing released", nil, 5, true, false},
		{"enough released", []Commitment{{Node: 1, Sequence: 1, Cap: 1}}, 7, false, true},
		{"too little released", []Commitment{{Node: 1, Sequence: 1, Cap: 4.5}}, 5.5, true, true},
		{"the last commitment counts", []Commitment{{1, 2, 5}, {1, 1, 0}}, 5, true, false},
		{"a node beyond the last does not", []Commitment{{Node: 4, Sequence: 1}, {Node: -1, Sequence: 1}}, 5, true, false},
		{"nor a cap that is none", []Commitment{{Node: 1, Sequence: 1, Cap: math.NaN()}, {Node: 2, Sequence: 1, Cap: -9}}, 5, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a := leased(t)
			a.demand = demand{forecast: 12}
			x := next(t, l)
			if x.Put.Cap != 7 || a.cap != 5 {
				t.Fatalf("it asks for %v and uses %v", x.Put.Cap, a.cap)
			}
			l.HandleReply(l.now, x.ID, 1, append([]Commitment{x.Put}, c.others...), nil)
			if a.cap != c.cap || (a.deniedUntil > 0) != c.denied || (l.Counters().Borrowed == 1) != c.granted {
				t.Errorf("cap %v, denied until %v, %+v", a.cap, a.deniedUntil, l.Counters())
			}
		})
	}
}

// A store that does not have what was put, or that was not there when the window began, grants nothing, and is
// borrowed from again only after the next window.
func TestForgottenEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		met     time.Duration
		entries []Commitment
	}{
		{"its own is missing", 0, []Commitment{{Node: 1, Sequence: 1}}},
		{"another store", time.Second, []Commitment{{Node: 0, Sequence: 1, Cap: 7}, {Node: 1, Sequence: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a := leased(t)
			a.demand = demand{forecast: 12}
			x := next(t, l)
			l.store, l.storeMet = 1, c.met
			l.HandleReply(l.now, x.ID, 1, c.entries, nil)
			if a.cap != 5 || a.forgottenIn != 0 || !math.IsNaN(a.storedCap) || l.Counters().Forgotten != 1 {
				t.Errorf("%+v, %+v", a, l.Counters())
			}
			l.advance(2 * time.Second)
			l.enterWindow(a)
			a.demand.forecast = 12
			if _, ok := l.Next(3 * time.Second); ok {
				t.Error("it borrows in the next window")
			}
			l.advance(4 * time.Second)
			l.enterWindow(a)
			a.demand.forecast = 12
			if x, ok := l.Next(5 * time.Second); !ok || x.Put.Cap != 7 {
				t.Errorf("%+v in the one after it", x)
			}
		})
	}
}

// A reply that fails, comes too late, or belongs to a window that is over changes no cap.
func TestRepliesThatSayNothing(t *testing.T) {
	l, a := leased(t)
	a.demand = demand{forecast: 12}
	free := []Commitment{{Node: 0, Sequence: 9, Cap: 7}, {Node: 1, Sequence: 1}}
	x := next(t, l)
	l.HandleReply(l.now, x.ID, 1, free, errors.New("cut"))
	if a.cap != 5 || l.Counters().Failed != 1 || !math.IsNaN(a.storedCap) {
		t.Errorf("%+v, %+v", a, l.Counters())
	}
	l.HandleReply(l.now, x.ID, 1, free, nil)
	if a.cap != 5 || l.Counters().Late != 1 {
		t.Errorf("after its failure: %+v, %+v", a, l.Counters())
	}
	l.advance(300 * time.Millisecond)
	x = next(t, l)
	l.HandleReply(l.now+100*time.Millisecond, x.ID, 1, free, nil)
	if a.cap != 5 || l.Counters().Failed != 2 {
		t.Errorf("at its deadline: %+v, %+v", a, l.Counters())
	}
	l.advance(1950 * time.Millisecond)
	x = next(t, l)
	l.HandleReply(2*time.Second, x.ID, 1, free, nil)
	if a.cap != 5 || l.Counters().Borrowed != 0 {
		t.Errorf("in the next window: %+v, %+v", a, l.Counters())
	}
}

// A store that fails is left alone after some failures, for twice as long each time, and asked one thing at a time.
func TestBackoff(t *testing.T) {
	var b backoff
	random := rand.New(rand.NewPCG(1, 1))
	for range failuresAllowed - 1 {
		b.failed(0, 100*time.Millisecond, random)
		if !b.allows(0, 5) {
			t.Error("it is left alone at once")
		}
	}
	for i := range 12 {
		b.failed(0, 100*time.Millisecond, random)
		pause := 100 * time.Millisecond << i
		if least, most := min(pause/2, 8*time.Second), min(3*pause/2, 8*time.Second); b.until < least || b.until > most {
			t.Errorf("failure %d: %v", i, b.until)
		}
	}
	if b.allows(b.until-1, 0) || b.allows(b.until, 1) || !b.allows(b.until, 0) {
		t.Error("not one at a time, once the pause is over")
	}
	b.succeeded()
	if !b.allows(b.until, 9) {
		t.Error("it is not back to normal")
	}
}

// Exchanges are limited to their rate, with a tenth of a second's worth at once.
func TestRateLimiter(t *testing.T) {
	r := rateLimiter{rate: 100, tokens: 1}
	count := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for r.allows(now) {
			r.take()
			count++
		}
	}
	if count < 990 || count > 1010 {
		t.Errorf("%d in 10 s", count)
	}
	for count = 0; r.allows(time.Hour); count++ {
		r.take()
	}
	if count != 10 {
		t.Errorf("%d at once", count)
	}
	if r = (rateLimiter{}); !r.allows(0) {
		t.Error("no limit is one")
	}
}
