// Package quota keeps customers' quotas over many edge nodes through a shared store that may stall, forget, split or be
// gone. Time is cut into windows. In each a customer has an allowance for the whole fleet, and each node of its set
// leases a part of it, its cap: an even slice, until the node commits itself to less, or borrows what others committed
// themselves not to use. Commitments stand in the store, one entry each, never overwritten. What the store does not say
// counts as a whole slice: a store that is gone, empty or split leaves each node its slice, and the caps never add up to
// more than the allowance.
//
// The package holds no I/O, no clock and no goroutine. The host passes the time with each call (of the same clock at all
// nodes), reports what came in (RecordDemand, RecordUse, HandleReply), spends from Available, and carries out the
// exchanges with the store that Next gives out. No request waits for the store. A Ledger is not safe for concurrent use.
//
// docs/design-quota.md has the options considered and the bound on what may be used beyond a quota.
package quota

import "time"

// NodeID is the number of a node of the fleet, from 0.
type NodeID int

// CustomerKey tells customers apart.
type CustomerKey uint64

// WindowNumber counts the windows of a customer's window length since the clock's origin.
type WindowNumber int64

// Sequence counts a node's commitments for a customer in one window, from 1. The highest counts.
type Sequence int

// ExchangeID tells the exchanges of one node apart.
type ExchangeID uint64

// StoreID tells stores apart: a store keeps it for as long as it keeps anything.
type StoreID uint64

// Customer is whose quota it is.
type Customer struct {
	Key       CustomerKey
	Rate      float64 // units a second; 0 or less for no quota
	Burst     float64 // units at once
	FirstNode NodeID  // its set of nodes: from this one on,
	Spread    int     // so many in a row, counted round
}

// Config is what a Ledger needs to know at its start.
type Config struct {
	Self         NodeID
	Nodes        int // nodes of the fleet, this one included
	Seed         uint64
	ExchangeRate float64       // exchanges a second at most, for all customers; 0 for no limit
	Timeout      time.Duration // an exchange is given up after so long (ExchangeTimeout)
}

// Commitment is an entry in the store: in its window Node will use no more than Cap.
type Commitment struct {
	Node     NodeID
	Sequence Sequence
	Cap      float64 // units
}

// Exchange is one call to the store: in one step add Put to the entries of that customer and window, and read them all.
type Exchange struct {
	ID      ExchangeID
	Key     CustomerKey
	Window  WindowNumber
	Put     Commitment
	Keep    time.Duration // how long the store is to keep the entries
	Timeout time.Duration // give up after so long, and report it as failed
}

// Counters count what a Ledger did since it was made.
type Counters struct {
	Exchanges int64 // begun,
	Failed    int64 // failed or timed out
	Late      int64 // replies to an exchange that had been given up
	Forgotten int64 // replies that show that the store has forgotten entries
	Borrowed  int64 // caps that were raised
	Released  int64 // caps that were lowered
	Rejected  int64 // requests that TrySpend turned down
}

const (
	timeoutShare = 0.2 // of the shortest latency objective, that an exchange may take
	minTimeout   = 20 * time.Millisecond
	maxTimeout   = minWindow / 2
)

// ExchangeTimeout is how long an exchange may take, by the shortest latency objective of a deployment's request classes.
func ExchangeTimeout(shortestObjective time.Duration) time.Duration {
	return min(max(time.Duration(timeoutShare*float64(shortestObjective)), minTimeout), maxTimeout)
}
