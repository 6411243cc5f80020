package quota

import (
	"slices"
	"time"
)

// HandleReply processes the reply to an exchange: the store that answered and all its entries of the customer and window, or
// an error. A reply to an exchange that has timed out, or of a window that is over, is ignored: its entry may be in the
// store, but the cap that it asked for is never used.
func (l *Ledger) HandleReply(now time.Duration, id ExchangeID, store StoreID, entries []Commitment, err error) {
	l.advance(now)
	i := slices.IndexFunc(l.pending, func(e pendingExchange) bool { return e.id == id })
	if i < 0 {
		l.counters.Late++
		return
	}
	exchange := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	if err != nil || l.now >= exchange.deadline {
		l.failed(exchange)
		return
	}
	l.backoff.succeeded()
	if store != l.store { // it may lack what the former one had
		l.store, l.storeMet = store, l.now
	}
	a := l.accounts[exchange.key]
	if a == nil || a.number != exchange.window || WindowNumber(l.now/a.windowLength) != exchange.window {
		return
	}
	own := l.takeEntries(a, entries)
	if l.hasForgotten(a, exchange, own) {
		a.forgottenIn = a.number
		a.doubtStored()
		l.counters.Forgotten++
		return
	}
	a.stored, a.storedCap = own, exchange.put.Cap
	if exchange.put.Cap > a.cap {
		l.borrow(a, exchange.put.Cap)
	}
}

// takeEntries records the other nodes' commitments, and returns the sequence of this node's last one.
func (l *Ledger) takeEntries(a *account, entries []Commitment) (own Sequence) {
	for _, entry := range entries {
		if entry.Node == l.cfg.Self {
			own = max(own, entry.Sequence)
			continue
		}
		isNode := entry.Node >= 0 && int(entry.Node) < l.cfg.Nodes
		if isNode && entry.Cap >= 0 && entry.Sequence > a.others[entry.Node].Sequence {
			a.others[entry.Node] = entry
		}
	}
	return own
}

// hasForgotten reports whether the store has lost an entry of this node, or did not exist when the window began. Then it may
// lack other nodes' entries as well, and nothing may be borrowed on the strength of its replies.
func (l *Ledger) hasForgotten(a *account, exchange pendingExchange, own Sequence) bool {
	return own < max(exchange.put.Sequence, a.stored) || a.begin() < l.storeMet
}

// borrow raises the cap up to the one that was put, as far as the other nodes' commitments allow.
func (l *Ledger) borrow(a *account, wanted float64) {
	sum := wanted
	for i := range a.customer.Spread {
		node := NodeID((int(a.customer.FirstNode) + i) % l.cfg.Nodes)
		if node == l.cfg.Self {
			continue
		}
		if entry, ok := a.others[node]; ok {
			sum += entry.Cap
		} else {
			sum += a.slice()
		}
	}
	free := a.allowance - (sum - wanted) // rounded as by the nodes of earlier versions
	if free < wanted {
		a.deniedUntil = l.now + time.Duration(deniedFor*float64(a.windowLength)) // the entry is corrected first
	}
	if free > a.cap { // if it is less than was put, the other nodes count too much until the next exchange
		l.counters.Borrowed++
		a.cap = min(free, wanted)
	}
}
