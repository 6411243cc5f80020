package quota

// Exchanges with the store.
//
// Inputs: the accounts' caps and forecasts, the time, replies and failures. State: the pending exchanges. Rule: the accounts
// take turns, with at most one pending exchange per account. A cap above the wanted one by more than the release margin is
// lowered. A cap below the wanted one is raised by at most maxCapIncreaseRatio of the allowance. Purpose: a lost entry costs
// at most one such increase. Trade-off: a node needs several exchanges to borrow much.

import (
	"slices"
	"time"

	"cherrygap/internal/numeric"
)

const (
	// maxCapIncreaseRatio is the largest increase of a cap by one exchange, as a ratio of the allowance.
	maxCapIncreaseRatio = 0.1
	// entryTTLWindows is the time to live of entries in the store, in windows.
	entryTTLWindows = 3
	// exchangeGapWindows is the mean of the minimum time between two exchanges for one customer, in windows. The minimum is
	// drawn for each exchange.
	exchangeGapWindows = 0.05
)

// pendingExchange is an exchange that has neither got a reply nor failed.
type pendingExchange struct {
	id       ExchangeID
	key      CustomerKey
	window   WindowNumber
	put      Commitment
	deadline time.Duration // time at which the exchange fails
}

// Next returns the next exchange with the store, or false if no exchange is due at the time now. The host reports the end of
// the exchange with HandleReply. Without a report the exchange fails at its timeout.
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
		if exchange, ok := l.nextExchangeOf(a); ok {
			l.rateLimit.takeToken()
			return exchange, true
		}
	}
	return Exchange{}, false
}

// expirePending treats exchanges that have timed out as failed.
func (l *Ledger) expirePending() {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingExchange) bool {
		expired := l.now >= e.deadline
		if expired {
			l.handleFailure(e)
		}
		return expired
	})
}

// handleFailure records the failure of an exchange. The store may have carried the exchange out, so the store's entry is unknown.
func (l *Ledger) handleFailure(e pendingExchange) {
	l.counters.Failed++
	l.backoff.recordFailure(l.now, l.cfg.Timeout, l.random)
	if a := l.accounts[e.key]; a != nil && a.windowNumber == e.window {
		a.invalidateStoredCap()
	}
}

// nextExchangeOf returns the next exchange of an account, or false if the account needs none or has to wait. A lower cap is
// in force at once. A higher cap is in force only once a reply grants it. An unchanged cap is put again if the store's entry
// differs or is unknown.
func (l *Ledger) nextExchangeOf(a *account) (Exchange, bool) {
	if a.customer.Rate <= 0 || a.customer.Spread <= 1 {
		return Exchange{}, false
	}
	l.enterWindow(a)
	if l.now < a.nextExchangeAt || l.startedWithin(a) || l.isPending(a) {
		return Exchange{}, false
	}
	wanted, newCap := a.wantedCap(), a.cap
	switch {
	case wanted < a.cap-a.releaseMargin():
		a.cap, newCap = wanted, wanted
		l.counters.Released++
	case wanted > a.cap && l.mayBorrow(a):
		newCap = min(wanted, a.cap+maxCapIncreaseRatio*a.allowance, a.allowance)
	case a.storedCap == a.cap:
		return Exchange{}, false
	}
	return l.beginExchange(a, newCap), true
}

// mayBorrow reports whether an account's cap may be raised now. Borrowing is not allowed in a window with a proven loss of
// entries, nor in the window after it.
func (l *Ledger) mayBorrow(a *account) bool {
	return a.cap < a.allowance && a.windowNumber > a.lastLossWindow+1 && l.now >= a.borrowPausedUntil
}

// isPending reports whether an exchange of the account is pending.
func (l *Ledger) isPending(a *account) bool {
	return slices.ContainsFunc(l.pending, func(e pendingExchange) bool { return e.key == a.customer.Key })
}

// beginExchange begins an exchange that puts a commitment to newCap units.
func (l *Ledger) beginExchange(a *account, newCap float64) Exchange {
	a.lastSequence++
	l.lastExchangeID++
	untilNext := exchangeGapWindows * float64(a.windowLength) * (0.5 + l.random.Float64())
	a.nextExchangeAt = l.now + numeric.Truncate[time.Duration](untilNext)
	commitment := Commitment{Node: l.cfg.Self, Sequence: a.lastSequence, Cap: newCap}
	l.pending = append(l.pending, pendingExchange{
		id:       l.lastExchangeID,
		key:      a.customer.Key,
		window:   a.windowNumber,
		put:      commitment,
		deadline: l.now + l.cfg.Timeout,
	})
	l.counters.Exchanges++
	return Exchange{
		ID:      l.lastExchangeID,
		Key:     a.customer.Key,
		Window:  a.windowNumber,
		Put:     commitment,
		TTL:     entryTTLWindows * a.windowLength,
		Timeout: l.cfg.Timeout,
	}
}
