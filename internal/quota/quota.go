// Package quota enforces customers' quotas over many edge nodes with leases from a shared store. The store may stall, lose
// data, split or be unreachable.
//
// Time is divided into windows. In each window a customer has an allowance for the whole fleet. Every node of the
// customer's node set holds a lease on a part of the allowance, its cap. The initial cap is a slice, the allowance divided
// by the number of nodes in the set. A node lowers its cap by a commitment to use less. It raises its cap by borrowing units
// that other nodes have committed not to use.
//
// Commitments are entries in the store that are never overwritten. A node without an entry counts with a whole slice. Thus
// each node keeps its slice while the store is unreachable or empty. As long as the store loses no entry and does not
// split, the caps never add up to more than the allowance.
//
// The package holds no I/O, no clock and no goroutine. The host passes the current time to each call, of a clock that all
// nodes share. It reports events with RecordDemand, RecordUse and HandleReply, and spends units with TrySpend. It carries
// out the exchanges with the store that Next returns. No request waits for the store. A Ledger is not safe for concurrent
// use.
//
// docs/design-quota.md lists the alternatives and derives the bound on the use beyond a quota.
package quota

import "time"

// NodeID is the number of a node of the fleet, from 0.
type NodeID int

// CustomerKey identifies a customer.
type CustomerKey uint64

// WindowNumber is the number of a window, counted from the clock's origin. Customers with different window lengths have
// different windows.
type WindowNumber int64

// Sequence is the number of a node's commitment for a customer in one window, from 1. The highest one is in force.
type Sequence int

// ExchangeID identifies an exchange of one Ledger.
type ExchangeID uint64

// StoreID identifies a store, and changes when the store loses its data. 0 stands for no store.
type StoreID uint64

// Customer is a customer with its quota and its node set: Spread nodes from FirstNode on, modulo the fleet's size.
type Customer struct {
	Key       CustomerKey
	Rate      float64 // units per second; 0 or less for no quota
	Burst     float64 // units that the customer may use at once
	FirstNode NodeID
	Spread    int // 1 to the fleet's size; other values are clamped
}

// Config configures a Ledger.
type Config struct {
	Self         NodeID        // this node
	Nodes        int           // nodes of the fleet, including this one; at least 1
	Seed         uint64        // of the random draws; it is combined with Self
	ExchangeRate float64       // limit of exchanges per second, for all customers together; 0 for no limit
	Timeout      time.Duration // of an exchange, see ExchangeTimeout
}

// Commitment is an entry in the store: Node uses at most Cap units in the window.
type Commitment struct {
	Node     NodeID
	Sequence Sequence
	Cap      float64 // units
}

// Exchange is a transaction with the store. It adds Put to the entries of the customer and window, and reads all of them.
type Exchange struct {
	ID      ExchangeID
	Key     CustomerKey
	Window  WindowNumber
	Put     Commitment
	Keep    time.Duration // lifetime of the entries in the store
	Timeout time.Duration // the exchange fails if it takes longer
}

// Reply is the reply of a store to an exchange.
type Reply struct {
	Store   StoreID
	Entries []Commitment // all entries of the customer and window, in any order
}

// Counters count events since New.
type Counters struct {
	Exchanges int64 // exchanges begun
	Failed    int64 // exchanges that failed or timed out
	Late      int64 // replies to exchanges that had already failed
	Forgotten int64 // replies that prove a loss of entries in the store
	Borrowed  int64 // caps raised
	Released  int64 // caps lowered
	Rejected  int64 // calls of TrySpend that returned false
}

const (
	// exchangeTimeoutObjectives is the timeout of an exchange, in shortest latency objectives.
	exchangeTimeoutObjectives = 0.2
	minExchangeTimeout        = 20 * time.Millisecond
	maxExchangeTimeout        = minWindow / 2
)

// ExchangeTimeout returns the timeout of an exchange. shortestObjective is the shortest latency objective of the request
// classes.
func ExchangeTimeout(shortestObjective time.Duration) time.Duration {
	timeout := time.Duration(exchangeTimeoutObjectives * float64(shortestObjective))
	return min(max(timeout, minExchangeTimeout), maxExchangeTimeout)
}
