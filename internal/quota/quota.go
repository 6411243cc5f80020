// Package quota enforces customers' quotas over many edge nodes by leases from a shared store that may stall, lose data,
// split or be unreachable. Time is divided into windows. In each window a customer has an allowance for the whole fleet, of
// which every node of the customer's set holds a lease, its cap: an even slice, until the node commits to less or borrows
// what others committed not to use. Commitments are entries in the store that are never overwritten. A node without an entry
// counts with a whole slice: with a store that is unreachable, empty or split each node keeps its slice, and the caps never
// add up to more than the allowance.
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

// CustomerKey identifies a customer.
type CustomerKey uint64

// WindowNumber is the number of a window since the clock's origin, in units of the customer's window length.
type WindowNumber int64

// Sequence numbers a node's commitments for a customer in one window, from 1. The one with the highest is in force.
type Sequence int

// ExchangeID identifies an exchange of one node.
type ExchangeID uint64

// StoreID identifies a store. It lasts for as long as the store's data.
type StoreID uint64

// Customer is a customer with its quota and its set of nodes.
type Customer struct {
	Key       CustomerKey
	Rate      float64 // units a second; 0 or less for no quota
	Burst     float64 // units at once
	FirstNode NodeID  // of the set,
	Spread    int     // which has so many nodes, in order and modulo the fleet's size
}

// Config is what a Ledger needs to know at its start.
type Config struct {
	Self         NodeID
	Nodes        int // nodes of the fleet, this one included
	Seed         uint64
	ExchangeRate float64       // exchanges a second at most, for all customers; 0 for no limit
	Timeout      time.Duration // of an exchange, see ExchangeTimeout
}

// Commitment is an entry in the store: Node uses no more than Cap in the window.
type Commitment struct {
	Node     NodeID
	Sequence Sequence
	Cap      float64 // units
}

// Exchange is one call to the store: atomically add Put to the entries of the customer and window, and read them all.
type Exchange struct {
	ID      ExchangeID
	Key     CustomerKey
	Window  WindowNumber
	Put     Commitment
	Keep    time.Duration // how long the store is to keep the entries
	Timeout time.Duration // after which it is reported as failed
}

// Counters count what a Ledger did since it was made.
type Counters struct {
	Exchanges int64 // begun,
	Failed    int64 // failed or timed out
	Late      int64 // replies after the exchange had timed out
	Forgotten int64 // replies that show that the store has lost entries
	Borrowed  int64 // caps that were raised
	Released  int64 // caps that were lowered
	Rejected  int64 // requests that TrySpend turned down
}

const (
	timeoutShare = 0.2 // of the shortest latency objective
	minTimeout   = 20 * time.Millisecond
	maxTimeout   = minWindow / 2
)

// ExchangeTimeout returns the timeout of an exchange for the shortest latency objective of the request classes.
func ExchangeTimeout(shortestObjective time.Duration) time.Duration {
	return min(max(time.Duration(timeoutShare*float64(shortestObjective)), minTimeout), maxTimeout)
}
