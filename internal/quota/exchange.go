package quota

// Exchanges with the store.
//
// Inputs: caps and forecasts of the accounts, the time, replies and failures. State: the pending exchanges. Rule: the
// accounts take turns, with one exchange per account at a time. A cap above the wanted one by more than the release margin
// is lowered. A cap below the wanted one is raised by one lease of leaseAllowanceRatio at most. Protects against the loss of
// entries, because one lost entry costs one lease at most. Trade-off: a node needs several exchanges to borrow much.

import (
	"slices"
	"time"
)

const (
	// leaseAllowanceRatio is the largest increase of a cap by one exchange, as a share of the allowance.
	leaseAllowanceRatio = 0.1
	// entryLifetimeWindows is the lifetime of entries in the store, in windows.
	entryLifetimeWindows = 3
	// exchangeGapWindows is the mean time between two exchanges for one customer, in windows.
	exchangeGapWindows = 0.05
)

// pendingExchange is an exchange that has neither a reply nor failed.
type pendingExchange struct {
	id       ExchangeID
	key      CustomerKey
	window   WindowNumber
	put      Commitment
	deadline time.Duration
}

// Next returns the next exchange with the store. It returns false if there is none at the time now. The host reports the
// end of the exchange with HandleReply; without a report the exchange fails at its timeout.
func (l *Ledger) Next(now time.Duration) (Exchange, bool) {
	l.advance(now)
	l.expirePending()
	if !l.backoff.allows(l.now, len(l.pending)) || !l.rateLimit.allows(l.now) {
		return Exchange{}, false
	}
	for range l.rotation {
		if l.rotationIndex >= len(l.rotation) {
			l.rotationIndex = 0
			l.dropIdle()
		}
		if len(l.rotation) == 0 {
			break
		}
		a := l.rotation[l.rotationIndex]
		l.rotationIndex++
		if exchange, ok := l.exchange(a); ok {
			l.rateLimit.take()
			return exchange, true
		}
	}
	return Exchange{}, false
}

// expirePending handles the exchanges that have timed out as failed.
func (l *Ledger) expirePending() {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingExchange) bool {
		expired := l.now >= e.deadline
		if expired {
			l.failed(e)
		}
		return expired
	})
}

// failed handles the failure of an exchange. The store may have carried the exchange out.
func (l *Ledger) failed(e pendingExchange) {
	l.counters.Failed++
	l.backoff.failed(l.now, l.cfg.Timeout, l.random)
	if a := l.accounts[e.key]; a != nil && a.number == e.window {
		a.invalidateStored()
	}
}

// exchange returns the next exchange of an account, or false if the account needs none. A lower cap is in force at once. A
// higher cap is in force only once a reply grants it. An unchanged cap is put again if the store's entry differs or is
// unknown.
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
	case wanted > a.cap && l.mayBorrow(a):
		put = min(wanted, a.cap+leaseAllowanceRatio*a.allowance, a.allowance)
	case a.storedCap == a.cap:
		return Exchange{}, false
	}
	return l.beginExchange(a, put), true
}

// mayBorrow reports whether an account's cap may be raised now. It may not in a window with a proven loss of entries, nor in
// the window after it.
func (l *Ledger) mayBorrow(a *account) bool {
	return a.cap < a.allowance && a.number > a.lossWindow+1 && l.now >= a.deniedUntil
}

// isPending reports whether an exchange of the account is pending.
func (l *Ledger) isPending(a *account) bool {
	return slices.ContainsFunc(l.pending, func(e pendingExchange) bool { return e.key == a.customer.Key })
}

// beginExchange begins an exchange that puts a commitment to newCap units.
func (l *Ledger) beginExchange(a *account, newCap float64) Exchange {
	a.sequence++
	l.lastID++
	gap := exchangeGapWindows * float64(a.windowLength) * (0.5 + l.random.Float64())
	a.exchangeAt = l.now + time.Duration(gap)
	commitment := Commitment{Node: l.cfg.Self, Sequence: a.sequence, Cap: newCap}
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
		Keep:    entryLifetimeWindows * a.windowLength,
		Timeout: l.cfg.Timeout,
	}
}
