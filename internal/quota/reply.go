package quota

// Replies of the store.
//
// Inputs: all entries of a customer and window. State: the last known commitments of the other nodes. Rule: a node may raise
// its cap to the part of the allowance that the other nodes' commitments leave. A node without an entry counts with an equal
// share. A reply without this node's last entry proves a loss, and grants nothing. Purpose: the caps do not add up to more
// than the allowance.

import (
	"slices"
	"time"

	"cherrygap/internal/numeric"
)

const (
	// borrowPauseWindows is the time for which an account does not borrow after a partial or missing grant, in windows.
	borrowPauseWindows = 0.2
)

// HandleReply processes the end of an exchange: the reply, or a non-nil error in place of the reply. A reply to an exchange
// that has timed out counts as late or as a failure. A reply for a window that has ended changes no cap. In both cases the
// store may hold the entry, but this node does not use its cap.
func (l *Ledger) HandleReply(now time.Duration, id ExchangeID, reply Reply, err error) {
	l.advance(now)
	i := slices.IndexFunc(l.pending, func(e pendingExchange) bool { return e.id == id })
	if i < 0 {
		l.counters.LateReplies++
		return
	}
	exchange := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	if err != nil || l.now >= exchange.deadline {
		l.handleFailure(exchange)
		return
	}
	l.backoff.recordSuccess()
	if reply.Store != l.storeID { // entries of the former store may be missing
		l.storeID, l.storeFirstSeenAt = reply.Store, l.now
	}
	a := l.accounts[exchange.key]
	if a == nil || a.windowNumber != exchange.window || WindowNumber(l.now/a.windowLength) != exchange.window {
		return
	}
	l.applyReply(a, exchange, reply.Entries)
}

// applyReply updates an account with the entries of a reply for its current window.
func (l *Ledger) applyReply(a *account, exchange pendingExchange, entries []Commitment) {
	lastOwnSequence := l.recordEntries(a, entries)
	if l.hasLostEntries(a, exchange, lastOwnSequence) {
		a.lastLossWindow = a.windowNumber
		a.invalidateStoredCap()
		l.counters.LossReplies++
		return
	}
	a.storedSequence, a.storedCap = lastOwnSequence, exchange.put.Cap
	if exchange.put.Cap > a.cap {
		l.borrow(a, exchange.put.Cap)
	}
}

// recordEntries records the commitments of the other nodes, and returns the highest sequence of this node. Entries with an
// invalid node or cap are ignored.
func (l *Ledger) recordEntries(a *account, entries []Commitment) (lastOwnSequence Sequence) {
	for _, entry := range entries {
		if entry.Node == l.cfg.Self {
			lastOwnSequence = max(lastOwnSequence, entry.Sequence)
			continue
		}
		isNode := entry.Node >= 0 && int(entry.Node) < l.cfg.Nodes
		if isNode && entry.Cap >= 0 && entry.Sequence > a.otherCommitments[entry.Node].Sequence {
			a.otherCommitments[entry.Node] = entry
		}
	}
	return lastOwnSequence
}

// hasLostEntries reports whether the reply shows a loss of entries. That is so if an entry of this node is missing, or if
// the store was first seen after the window had begun. Entries of other nodes may then be missing too. lastOwnSequence is
// the highest sequence of this node in the reply.
func (l *Ledger) hasLostEntries(a *account, exchange pendingExchange, lastOwnSequence Sequence) bool {
	return lastOwnSequence < max(exchange.put.Sequence, a.storedSequence) || a.windowBegin() < l.storeFirstSeenAt
}

// borrow raises the cap to wanted units, or to the units that the other nodes leave if those are fewer. In the latter case
// this node's entry in the store is too high until the next exchange puts the cap in force.
func (l *Ledger) borrow(a *account, wanted float64) {
	freeUnits := l.freeUnits(a, wanted)
	if freeUnits < wanted {
		a.borrowPausedUntil = l.now + numeric.Truncate[time.Duration](borrowPauseWindows*float64(a.windowLength))
	}
	if freeUnits > a.cap {
		l.counters.Borrowed++
		a.cap = min(freeUnits, wanted)
	}
}

// freeUnits returns the part of the allowance that the commitments of the other nodes leave. The sum begins with wanted: all
// versions of this code must round alike.
func (l *Ledger) freeUnits(a *account, wanted float64) float64 {
	sum := wanted
	for i := range a.customer.Spread {
		node := NodeID((int(a.customer.FirstNode) + i) % l.cfg.Nodes)
		if node == l.cfg.Self {
			continue
		}
		if entry, ok := a.otherCommitments[node]; ok {
			sum += entry.Cap
		} else {
			sum += a.equalShare()
		}
	}
	return a.allowance - (sum - wanted)
}
