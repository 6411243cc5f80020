package quota

import (
	"slices"
	"time"
)

// HandleReply reports how an exchange ended: which store answered, and all its entries of that customer and window; or,
// with err, that nothing came that can be relied on. A reply to an exchange that was given up meanwhile, or of a window
// that is over, says nothing: its entry may stand in the store, but the cap that it asked for was never used.
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
	if store != l.store { // another in its place: what the former one was told, this one does not know
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

// takeEntries takes over the other nodes' commitments, and returns the sequence of this node's last one.
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

// hasForgotten tells whether the store has lost what it had, or what was put just now, or was not there when the window
// began. Others may have entries then that it does not know, and nothing that it says can be borrowed on.
func (l *Ledger) hasForgotten(a *account, exchange pendingExchange, own Sequence) bool {
	return own < max(exchange.put.Sequence, a.stored) || a.begin() < l.storeMet
}

// borrow raises the cap to the one that was put, as far as the other nodes' commitments leave it.
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
		a.deniedUntil = l.now + time.Duration(deniedFor*float64(a.windowLength)) // its entry is put right first
	}
	if free > a.cap { // perhaps less than was put: whoever looks meanwhile sees more than is used
		l.counters.Borrowed++
		a.cap = min(free, wanted)
	}
}
