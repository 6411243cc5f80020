package quota

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// newTestLedger returns the ledger of node 0 of 4 and the account of one customer. The windows have 2 s and 20 units, so an
// equal share is 5 units.
func newTestLedger(t *testing.T) (*Ledger, *account) {
	t.Helper()
	l := New(Config{Nodes: 4, Seed: 1, Timeout: 100 * time.Millisecond}, 0)
	a := l.account(Customer{Key: 1, Rate: 10, Burst: 40, Spread: 4})
	a.nextExchangeAt = 0
	return l, a
}

// nextExchange returns the next exchange, and fails the test if there is none.
func nextExchange(t *testing.T, l *Ledger) Exchange {
	t.Helper()
	exchange, ok := l.Next(l.now)
	if !ok {
		t.Fatalf("Next(%v) returned no exchange, want one", l.now)
	}
	return exchange
}

// TestReleaseIsInForceAtOnce guards against overuse after a release. Other nodes may borrow the released units as soon as
// the store has the entry. Hence the lower cap is in force before the exchange begins.
func TestReleaseIsInForceAtOnce(t *testing.T) {
	l, a := newTestLedger(t)
	a.demand = demand{forecastUnits: 1}
	exchange := nextExchange(t, l)
	if a.cap != 1.75 || exchange.Put != (Commitment{Node: 0, Sequence: 1, Cap: 1.75}) || l.Counters().Released != 1 {
		t.Errorf("release: cap %v, exchange %+v, counters %+v; want cap 1.75, Put {Node:0 Sequence:1 Cap:1.75} and Released 1",
			a.cap, exchange, l.Counters())
	}
	if exchange.TTL != 6*time.Second || exchange.Timeout != 100*time.Millisecond || exchange.Window != 0 || exchange.Key != 1 {
		t.Errorf("exchange = %+v, want TTL 6s, Timeout 100ms, Window 0 and Key 1", exchange)
	}
	if _, ok := l.Next(l.now); ok {
		t.Error("Next returned a second exchange for the customer while the first is pending, want none")
	}
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: []Commitment{exchange.Put}}, nil)
	if a.storedCap != 1.75 || a.storedSequence != 1 {
		t.Errorf("account after the reply = %+v, want storedCap 1.75 and storedSequence 1", a)
	}
	if _, ok := l.Next(time.Second); ok {
		t.Error("Next returned an exchange although the store has the cap, want none")
	}
}

// TestBorrowRaisesCapUpToFreeUnits guards against caps that add up to more than the allowance. A cap is raised only after
// the reply, by at most maxCapIncreaseRatio of the allowance. The other nodes' commitments must leave the units.
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
		{"the commitment with the highest sequence counts", []Commitment{{1, 2, 5}, {1, 1, 0}}, 5, true, false},
		{"entries of unknown nodes are ignored", []Commitment{{Node: 4, Sequence: 1}, {Node: -1, Sequence: 1}}, 5, true, false},
		{"entries with invalid caps are ignored", []Commitment{{Node: 1, Sequence: 1, Cap: math.NaN()}, {Node: 2, Sequence: 1, Cap: -9}}, 5, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a := newTestLedger(t)
			a.demand = demand{forecastUnits: 12}
			exchange := nextExchange(t, l)
			if exchange.Put.Cap != 7 || a.cap != 5 {
				t.Fatalf("first exchange puts a cap of %v while cap %v is in force, want 7 and 5", exchange.Put.Cap, a.cap)
			}
			l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: append([]Commitment{exchange.Put}, c.others...)}, nil)
			if a.cap != c.cap || (a.borrowPausedUntil > 0) != c.borrowPaused || (l.Counters().Borrowed == 1) != c.borrowed {
				t.Errorf("after the reply: cap %v, borrowing paused = %v (until %v), Borrowed = 1: %v (Borrowed is %d); want cap %v, paused = %v, Borrowed = 1: %v",
					a.cap, a.borrowPausedUntil > 0, a.borrowPausedUntil, l.Counters().Borrowed == 1, l.Counters().Borrowed, c.cap, c.borrowPaused, c.borrowed)
			}
		})
	}
}

// TestLostEntriesStopBorrowing guards against borrowing from a store that lost entries. A store that lacks this node's
// entry, or was first seen within the window, grants nothing. Borrowing starts again after the next window.
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
				t.Errorf("after the reply: account %+v, counters %+v; want cap 5, lastLossWindow 0, storedCap NaN and LossReplies 1", a, l.Counters())
			}
			l.advance(2 * time.Second)
			l.enterWindow(a)
			a.demand.forecastUnits = 12
			if _, ok := l.Next(3 * time.Second); ok {
				t.Error("Next returned an exchange in the window after the loss, want none")
			}
			l.advance(4 * time.Second)
			l.enterWindow(a)
			a.demand.forecastUnits = 12
			if exchange, ok := l.Next(5 * time.Second); !ok || exchange.Put.Cap != 7 {
				t.Errorf("exchange in the second window after the loss: %+v, returned %v; want Put.Cap 7 and true", exchange, ok)
			}
		})
	}
}

// TestIgnoredRepliesChangeNoCap guards against a cap raised by a reply that must not count. A failed exchange, a late reply
// and a reply for a former window change no cap.
func TestIgnoredRepliesChangeNoCap(t *testing.T) {
	l, a := newTestLedger(t)
	a.demand = demand{forecastUnits: 12}
	free := []Commitment{{Node: 0, Sequence: 9, Cap: 7}, {Node: 1, Sequence: 1}}
	exchange := nextExchange(t, l)
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: free}, errors.New("cut"))
	if a.cap != 5 || l.Counters().Failed != 1 || !math.IsNaN(a.storedCap) {
		t.Errorf("after a failed exchange: account %+v, counters %+v; want cap 5, storedCap NaN and Failed 1", a, l.Counters())
	}
	l.HandleReply(l.now, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().LateReplies != 1 {
		t.Errorf("after a reply to a failed exchange: account %+v, counters %+v; want cap 5 and LateReplies 1", a, l.Counters())
	}
	l.advance(300 * time.Millisecond)
	exchange = nextExchange(t, l)
	l.HandleReply(l.now+100*time.Millisecond, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().Failed != 2 {
		t.Errorf("after a reply at the deadline: account %+v, counters %+v; want cap 5 and Failed 2", a, l.Counters())
	}
	l.advance(1950 * time.Millisecond)
	exchange = nextExchange(t, l)
	l.HandleReply(2*time.Second, exchange.ID, Reply{Store: 1, Entries: free}, nil)
	if a.cap != 5 || l.Counters().Borrowed != 0 {
		t.Errorf("after a reply in the next window: account %+v, counters %+v; want cap 5 and Borrowed 0", a, l.Counters())
	}
}

// TestBackoffDoublesPause guards against load on a failing store. From the third consecutive failure on, exchanges pause,
// twice as long each time, and run one at a time.
func TestBackoffDoublesPause(t *testing.T) {
	var b backoff
	random := rand.New(rand.NewPCG(1, 1))
	for range failuresBeforeBackoff - 1 {
		b.recordFailure(0, 100*time.Millisecond, random)
		if !b.allows(0, 5) {
			t.Errorf("backoff paused the exchanges after %d failures, want no pause before %d", b.failures, failuresBeforeBackoff)
		}
	}
	for i := range 12 {
		b.recordFailure(0, 100*time.Millisecond, random)
		pause := 100 * time.Millisecond << i
		if least, most := min(pause/2, 8*time.Second), min(3*pause/2, 8*time.Second); b.pausedUntil < least || b.pausedUntil > most {
			t.Errorf("failure %d: pause ends at %v, want %v to %v", failuresBeforeBackoff+i, b.pausedUntil, least, most)
		}
	}
	if b.allows(b.pausedUntil-1, 0) || b.allows(b.pausedUntil, 1) || !b.allows(b.pausedUntil, 0) {
		t.Errorf("backoff allows an exchange within the pause = %v, a second one at the end of the pause = %v, a single one then = %v; want false, false, true",
			b.allows(b.pausedUntil-1, 0), b.allows(b.pausedUntil, 1), b.allows(b.pausedUntil, 0))
	}
	b.recordSuccess()
	if !b.allows(b.pausedUntil, 9) {
		t.Error("backoff refused an exchange after a success, want it to allow exchanges again")
	}
}

// TestRateLimiter guards against more exchanges per second than the limit. The token bucket allows a burst of a tenth of a
// second.
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
		t.Errorf("rate limiter at 100 per second allowed %d exchanges in 10s, want 990 to 1010", count)
	}
	for count = 0; r.allows(time.Hour); count++ {
		r.takeToken()
	}
	if count != 10 {
		t.Errorf("rate limiter allowed a burst of %d exchanges, want 10", count)
	}
	if r = (rateLimiter{}); !r.allows(0) {
		t.Error("rate limiter with rate 0 refused an exchange, want no limit")
	}
}
