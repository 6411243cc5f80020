// Package quota enforces customers' quotas over many edge nodes with leases from a shared store. The store may stall, lose
// data, split or be unreachable.
//
// Time is divided into windows. In each window a customer has an allowance for the whole fleet. Every node of the customer's
// node set holds a lease on a part of the allowance, its cap. The initial cap is an equal share: the allowance divided by
// the number of nodes in the set. A node lowers its cap by a commitment to use less. A node raises its cap by borrowing
// units that other nodes have committed not to use.
//
// Commitments are entries in the store that are never overwritten. A node without an entry counts with an equal share. Thus
// each node keeps its equal share while the store is unreachable or empty. As long as the store loses no entry and does not
// split, the caps never add up to more than the allowance.
//
// The package holds no I/O, no clock and no goroutine. The host passes the current time of a clock that all nodes share to
// each call. The host reports events with RecordDemand, RecordUse and HandleReply, and spends units with TrySpend. The host
// also carries out the exchanges with the store that Next returns. No request waits for the store. A Ledger is not safe for
// concurrent use.
//
// docs/design-quota.md lists the alternatives and derives the bound on the use beyond a quota.
package quota

import (
	"time"

	"cherrygap/internal/numeric"
)

// NodeID is the number of a node of the fleet, counted from 0.
type NodeID int

// CustomerKey identifies a customer.
type CustomerKey uint64

// WindowNumber is the number of a window, counted from the clock's origin. Customers with different window lengths have
// different windows.
type WindowNumber int64

// Sequence is the number of a node's commitment for a customer in one window, counted from 1. The commitment with the
// highest sequence is in force.
type Sequence int

// ExchangeID identifies an exchange of one Ledger.
type ExchangeID uint64

// StoreID identifies a store and its data. The id changes when the store loses its data. 0 stands for no store.
type StoreID uint64

// Customer is a customer with its quota and its node set. The set holds Spread nodes from FirstNode on, modulo the fleet's
// size.
type Customer struct {
	Key       CustomerKey // customer that the quota belongs to
	Rate      float64     // quota in units per second; 0 or less for no quota
	Burst     float64     // units that the customer may use at once
	FirstNode NodeID      // first node of the node set
	Spread    int         // number of nodes in the node set; clamped to the range from 1 to the fleet's size
}

// Config configures a Ledger.
type Config struct {
	Self         NodeID        // number of this node
	Nodes        int           // size of the fleet, including this node; values below 1 count as 1
	Seed         uint64        // seed of the random draws; combined with Self
	ExchangeRate float64       // limit of exchanges per second, for all customers together; 0 or less for no limit
	Timeout      time.Duration // timeout of an exchange; see ExchangeTimeout
}

// Commitment is an entry in the store: Node commits to use at most Cap units in the window.
type Commitment struct {
	Node     NodeID
	Sequence Sequence
	Cap      float64 // largest use in the window, in units
}

// Exchange is a transaction with the store. The transaction adds Put to the entries of the customer and window, and reads
// all of them.
type Exchange struct {
	ID      ExchangeID
	Key     CustomerKey
	Window  WindowNumber
	Put     Commitment
	TTL     time.Duration // time to live of the entries in the store
	Timeout time.Duration // time after which the exchange fails
}

// Reply is the reply of a store to an exchange.
type Reply struct {
	Store   StoreID      // store that replied
	Entries []Commitment // all entries of the customer and window, in any order
}

// Counters count events since New.
type Counters struct {
	Exchanges   int64 // exchanges begun
	Failed      int64 // exchanges that failed, including timeouts
	LateReplies int64 // replies to exchanges that had already ended with a reply or a failure
	LossReplies int64 // replies that prove a loss of entries in the store
	Borrowed    int64 // increases of a cap
	Released    int64 // reductions of a cap
	Rejected    int64 // calls of TrySpend that returned false
}

const (
	// exchangeTimeoutRatio is the timeout of an exchange, as a ratio of the shortest latency objective.
	exchangeTimeoutRatio = 0.2
	// minExchangeTimeout and maxExchangeTimeout bound the timeout of an exchange.
	minExchangeTimeout = 20 * time.Millisecond
	maxExchangeTimeout = minWindow / 2
)

// ExchangeTimeout returns the timeout of an exchange. shortestObjective is the shortest latency objective of the request
// classes.
func ExchangeTimeout(shortestObjective time.Duration) time.Duration {
	timeout := numeric.Truncate[time.Duration](exchangeTimeoutRatio * float64(shortestObjective))
	return min(max(timeout, minExchangeTimeout), maxExchangeTimeout)
}
