package quota

import (
	"slices"
	"time"
)

const (
	leaseShare  = 0.1 // of an allowance, that is borrowed at once: also the overuse that one lost entry can cause
	keepWindows = 3   // for which the store keeps the entries of a window
)

// pendingExchange is an exchange that Next returned and whose reply is awaited.
type pendingExchange struct {
	id       ExchangeID
	key      CustomerKey
	window   WindowNumber
	put      Commitment
	deadline time.Duration
}

// Next returns the next exchange with the store, or false if there is none now. The customers take turns.
func (l *Ledger) Next(now time.Duration) (Exchange, bool) {
	l.advance(now)
	l.expirePending()
	if !l.backoff.allows(l.now, len(l.pending)) || !l.rateLimit.allows(l.now) {
		return Exchange{}, false
	}
	for range l.turns {
		if l.nextTurn >= len(l.turns) {
			l.nextTurn = 0
			l.forgetIdle()
		}
		if len(l.turns) == 0 {
			break
		}
		a := l.turns[l.nextTurn]
		l.nextTurn++
		if exchange, ok := l.exchange(a); ok {
			l.rateLimit.take()
			return exchange, true
		}
	}
	return Exchange{}, false
}

// expirePending fails the exchanges that have timed out.
func (l *Ledger) expirePending() {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingExchange) bool {
		expired := l.now >= e.deadline
		if expired {
			l.failed(e)
		}
		return expired
	})
}

// failed handles the failure of an exchange, which the store may have carried out all the same.
func (l *Ledger) failed(e pendingExchange) {
	l.counters.Failed++
	l.backoff.failed(l.now, l.cfg.Timeout, l.random)
	if a := l.accounts[e.key]; a != nil && a.number == e.window {
		a.doubtStored()
	}
}

// exchange returns an account's next exchange, or false if it needs none. A lower cap is in force at once, before the store
// has it; a higher one only once the reply grants it.
func (l *Ledger) exchange(a *account) (Exchange, bool) {
	if a.customer.Rate <= 0 || a.customer.Spread <= 1 {
		return Exchange{}, false
	}
	l.enterWindow(a)
	if l.now < a.exchangeAt || l.startedWithin(a) || l.isPending(a) {
		return Exchange{}, false
	}
	wanted, put := a.wantedCap(), a.cap
	switch {
	case wanted < a.cap-a.releaseMargin():
		a.cap, put = wanted, wanted
		l.counters.Released++
	case wanted > a.cap && a.cap < a.allowance && a.number > a.forgottenIn+1 && l.now >= a.deniedUntil:
		// One lease at a time: it is what one lost entry can cost.
		put = min(wanted, a.cap+leaseShare*a.allowance, a.allowance)
	case a.storedCap == a.cap:
		return Exchange{}, false
	}
	return l.begin(a, put), true
}

func (l *Ledger) isPending(a *account) bool {
	return slices.ContainsFunc(l.pending, func(e pendingExchange) bool { return e.key == a.customer.Key })
}

// begin starts an exchange that puts a cap.
func (l *Ledger) begin(a *account, put float64) Exchange {
	a.sequence++
	l.lastID++
	gap := exchangeGap * float64(a.windowLength) * (0.5 + l.random.Float64())
	a.exchangeAt = l.now + time.Duration(gap)
	commitment := Commitment{Node: l.cfg.Self, Sequence: a.sequence, Cap: put}
	l.pending = append(l.pending, pendingExchange{
		id:       l.lastID,
		key:      a.customer.Key,
		window:   a.number,
		put:      commitment,
		deadline: l.now + l.cfg.Timeout,
	})
	l.counters.Exchanges++
	return Exchange{
		ID:      l.lastID,
		Key:     a.customer.Key,
		Window:  a.number,
		Put:     commitment,
		Keep:    keepWindows * a.windowLength,
		Timeout: l.cfg.Timeout,
	}
}
