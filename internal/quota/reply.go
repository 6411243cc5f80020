package quota

// Replies of the store.
//
// Inputs: all entries of a customer and window. State: the last known commitments of the other nodes. Rule: a node may
// raise its cap to the part of the allowance that the other nodes' commitments leave. A node without an entry counts with a
// slice. A reply without this node's last entry proves a loss, and grants nothing. Protects against caps that add up to more
// than the allowance.

import (
	"slices"
	"time"
)

const (
	// deniedWindows is the time for which an account does not borrow after a partial or missing grant, in windows.
	deniedWindows = 0.2
)

// HandleReply processes the end of an exchange: the reply, or a non-nil error in place of the reply. A reply to an exchange
// that has timed out is ignored, and so is a reply for a window that has ended. The store may hold the entry of an ignored
// reply, but this node does not use its cap.
func (l *Ledger) HandleReply(now time.Duration, id ExchangeID, reply Reply, err error) {
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
	if reply.Store != l.store { // entries of the former store may be missing
		l.store, l.storeSince = reply.Store, l.now
	}
	a := l.accounts[exchange.key]
	if a == nil || a.number != exchange.window || WindowNumber(l.now/a.windowLength) != exchange.window {
		return
	}
	l.applyReply(a, exchange, reply.Entries)
}

// applyReply updates an account by the entries of a reply for its current window.
func (l *Ledger) applyReply(a *account, exchange pendingExchange, entries []Commitment) {
	lastOwn := l.recordEntries(a, entries)
	if l.hasLostEntries(a, exchange, lastOwn) {
		a.lossWindow = a.number
		a.invalidateStored()
		l.counters.Forgotten++
		return
	}
	a.stored, a.storedCap = lastOwn, exchange.put.Cap
	if exchange.put.Cap > a.cap {
		l.borrow(a, exchange.put.Cap)
	}
}

// recordEntries records the commitments of the other nodes, and returns the highest sequence of this node. Entries with an
// invalid node or cap are ignored.
func (l *Ledger) recordEntries(a *account, entries []Commitment) (lastOwn Sequence) {
	for _, entry := range entries {
		if entry.Node == l.cfg.Self {
			lastOwn = max(lastOwn, entry.Sequence)
			continue
		}
		isNode := entry.Node >= 0 && int(entry.Node) < l.cfg.Nodes
		if isNode && entry.Cap >= 0 && entry.Sequence > a.others[entry.Node].Sequence {
			a.others[entry.Node] = entry
		}
	}
	return lastOwn
}

// hasLostEntries reports whether an entry of this node is missing, or the store was first seen after the window had begun.
// Entries of other nodes may then be missing too. lastOwn is the highest sequence of this node in the reply.
func (l *Ledger) hasLostEntries(a *account, exchange pendingExchange, lastOwn Sequence) bool {
	return lastOwn < max(exchange.put.Sequence, a.stored) || a.windowBegin() < l.storeSince
}

// borrow raises the cap to wanted units, or to the units that the other nodes leave. If those are fewer than wanted, the
// store's entry of this node is too high until the next exchange puts the cap in force.
func (l *Ledger) borrow(a *account, wanted float64) {
	free := l.freeUnits(a, wanted)
	if free < wanted {
		a.deniedUntil = l.now + time.Duration(deniedWindows*float64(a.windowLength))
	}
	if free > a.cap {
		l.counters.Borrowed++
		a.cap = min(free, wanted)
	}
}

// freeUnits returns the part of the allowance that the commitments of the other nodes leave. The sum begins with wanted so
// that all versions of this code round it alike.
func (l *Ledger) freeUnits(a *account, wanted float64) float64 {
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
	return a.allowance - (sum - wanted)
}
