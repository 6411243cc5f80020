package quota

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// leased returns a ledger with one customer at node 0 of 4: 20 units per window of 2 s, a slice of 5.
func newTestLedger(t *testing.T) (*Ledger, *account) {
	t.Helper()
	l := New(Config{Nodes: 4, Seed: 1, Timeout: 100 * time.Millisecond}, 0)
	a := l.account(Customer{Key: 1, Rate: 10, Burst: 40, Spread: 4})
	a.nextExchangeAt = 0
	return l, a
}

// next returns the next exchange. Without one it fails the test.
func nextExchange(t *testing.T, l *Ledger) Exchange {
	t.Helper()
	exchange, ok := l.Next(l.now)
	if !ok {
		t.Fatal("no exchange")
	}
	return exchange
}

// A lower cap is in force before the store has its entry.
func TestReleaseIsInForceAtOnce(t *testing.T) {
	l, a := newTestLedger(t)
	a.demand = demand{forecastUnits: 1}
	exchange := nextExchange(t, l)
	if a.cap != 1.75 || exchange.Put != (Commitment{Node: 0, Sequence: 1, Cap: 1.75}) || l.Counters().Released != 1 {
		t.Errorf("cap %v, %+v", a.cap, exchange)
	}
	if exchange.TTL != 6*time.Second || exchange.Timeout != 100*time.Millisecond || exchange.Window != 0 || exchange.Key != 1 {
		t.Errorf("%+v", exchange)
	}
	if _, ok := l.Next(l.now); ok {
		t.Error("a second exchange for the customer while the first is pending")
	}
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: []Commitment{exchange.Put}}, nil)
	if a.storedCap != 1.75 || a.storedSequence != 1 {
		t.Errorf("%+v", a)
	}
	if _, ok := l.Next(time.Second); ok {
		t.Error("an exchange although the store has the cap")
	}
}

// A cap is raised by one lease at a time, after the reply, up to the units that the other nodes' commitments leave.
func TestBorrowRaisesCapUpToFreeUnits(t *testing.T) {
	for _, c := range []struct {
		name         string
		others       []Commitment
		cap          float64
		borrowPaused bool
		borrowed     bool
	}{
		{"nothing released", nil, 5, true, false},
		{"enough released", []Commitment{{Node: 1, Sequence: 1, Cap: 1}}, 7, false, true},
		{"too little released", []Commitment{{Node: 1, Sequence: 1, Cap: 4.5}}, 5.5, true, true},
		{"the last commitment counts", []Commitment{{1, 2, 5}, {1, 1, 0}}, 5, true, false},
		{"entries of unknown nodes are ignored", []Commitment{{Node: 4, Sequence: 1}, {Node: -1, Sequence: 1}}, 5, true, false},
		{"entries with invalid caps are ignored", []Commitment{{Node: 1, Sequence: 1, Cap: math.NaN()}, {Node: 2, Sequence: 1, Cap: -9}}, 5, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a := newTestLedger(t)
			a.demand = demand{forecastUnits: 12}
			exchange := nextExchange(t, l)
			if exchange.Put.Cap != 7 || a.cap != 5 {
				t.Fatalf("it puts %v with a cap of %v, want 7 and 5", exchange.Put.Cap, a.cap)
			}
			l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: append([]Commitment{exchange.Put}, c.others...)}, nil)
			if a.cap != c.cap || (a.borrowPausedUntil > 0) != c.borrowPaused || (l.Counters().Borrowed == 1) != c.borrowed {
				t.Errorf("cap %v, denied until %v, %+v", a.cap, a.borrowPausedUntil, l.Counters())
			}
		})
	}
}

// A store that lacks this node's entry, or was first seen within the window, grants nothing. Borrowing starts again after
// the next window.
func TestLostEntriesStopBorrowing(t *testing.T) {
	for _, c := range []struct {
		name             string
		storeFirstSeenAt time.Duration
		entries          []Commitment
	}{
		{"own entry is missing", 0, []Commitment{{Node: 1, Sequence: 1}}},
		{"another store", time.Second, []Commitment{{Node: 0, Sequence: 1, Cap: 7}, {Node: 1, Sequence: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a := newTestLedger(t)
			a.demand = demand{forecastUnits: 12}
			exchange := nextExchange(t, l)
			l.storeID, l.storeFirstSeenAt = 1, c.storeFirstSeenAt
			l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: c.entries}, nil)
			if a.cap != 5 || a.lastLossWindow != 0 || !math.IsNaN(a.storedCap) || l.Counters().LossReplies != 1 {
				t.Errorf("%+v, %+v", a, l.Counters())
			}
			l.advance(2 * time.Second)
			l.enterWindow(a)
			a.demand.forecastUnits = 12
			if _, ok := l.Next(3 * time.Second); ok {
				t.Error("an exchange in the next window")
			}
			l.advance(4 * time.Second)
			l.enterWindow(a)
			a.demand.forecastUnits = 12
			if exchange, ok := l.Next(5 * time.Second); !ok || exchange.Put.Cap != 7 {
				t.Errorf("%+v in the window after the next", exchange)
			}
		})
	}
}

// A failed exchange, a late reply and a reply for a former window change no cap.
func TestIgnoredRepliesChangeNoCap(t *testing.T) {
	l, a := newTestLedger(t)
	a.demand = demand{forecastUnits: 12}
	free := []Commitment{{Node: 0, Sequence: 9, Cap: 7}, {Node: 1, Sequence: 1}}
	exchange := nextExchange(t, l)
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: free}, errors.New("cut"))
	if a.cap != 5 || l.Counters().Failed != 1 || !math.IsNaN(a.storedCap) {
		t.Errorf("%+v, %+v", a, l.Counters())
	}
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().LateReplies != 1 {
		t.Errorf("after its failure: %+v, %+v", a, l.Counters())
	}
	l.advance(300 * time.Millisecond)
	exchange = nextExchange(t, l)
	l.HandleReply(l.now+100*time.Millisecond, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().Failed != 2 {
		t.Errorf("at its deadline: %+v, %+v", a, l.Counters())
	}
	l.advance(1950 * time.Millisecond)
	exchange = nextExchange(t, l)
	l.HandleReply(2*time.Second, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().Borrowed != 0 {
		t.Errorf("in the next window: %+v, %+v", a, l.Counters())
	}
}

// From the third consecutive failure on, exchanges pause, twice as long each time, and run one at a time.
func TestBackoffDoublesPause(t *testing.T) {
	var b backoff
	random := rand.New(rand.NewPCG(1, 1))
	for range failuresBeforeBackoff - 1 {
		b.recordFailure(0, 100*time.Millisecond, random)
		if !b.allows(0, 5) {
			t.Error("a pause before failuresBeforeBackoff")
		}
	}
	for i := range 12 {
		b.recordFailure(0, 100*time.Millisecond, random)
		pause := 100 * time.Millisecond << i
		if least, most := min(pause/2, 8*time.Second), min(3*pause/2, 8*time.Second); b.pausedUntil < least || b.pausedUntil > most {
			t.Errorf("failure %d: %v", i, b.pausedUntil)
		}
	}
	if b.allows(b.pausedUntil-1, 0) || b.allows(b.pausedUntil, 1) || !b.allows(b.pausedUntil, 0) {
		t.Error("after the pause exchanges do not run one at a time")
	}
	b.recordSuccess()
	if !b.allows(b.pausedUntil, 9) {
		t.Error("a success does not end the backoff")
	}
}

// Exchanges are limited to their rate, with a burst of a tenth of a second.
func TestRateLimiter(t *testing.T) {
	r := rateLimiter{rate: 100, tokens: 1}
	count := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for r.allows(now) {
			r.takeToken()
			count++
		}
	}
	if count < 990 || count > 1010 {
		t.Errorf("%d in 10 s", count)
	}
	for count = 0; r.allows(time.Hour); count++ {
		r.takeToken()
	}
	if count != 10 {
		t.Errorf("a burst of %d, want 10", count)
	}
	if r = (rateLimiter{}); !r.allows(0) {
		t.Error("rate 0 limits the exchanges")
	}
}
