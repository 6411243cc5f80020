package quota

// Accounts.
//
// Inputs: the requests of a customer at this node, and the time. State: the cap and the use of the current window, and a
// forecast of the demand. Rule: a window begins with a slice as the cap, or with 0 if this node started within the window.
// The demand forecast is an exponentially weighted mean over windows. Protects against a quota that a restart refills.
// Trade-off: after a restart a node serves customers with a quota only from the next window on.

import (
	"math"
	"time"
)

const (
	// windowBurstRatio is the ratio of a window's length to the time in which Customer.Rate adds up to Customer.Burst.
	windowBurstRatio = 0.5
	minWindow        = 500 * time.Millisecond
	maxWindow        = 2 * time.Second

	// idleWindows is the number of windows without a request after which an account is dropped.
	idleWindows = 20

	// demandSmoothing is the weight of the last window in the demand forecast.
	demandSmoothing = 0.5
	// demandMarginRatio is the margin on top of the demand forecast, as a share of the forecast.
	demandMarginRatio = 0.25
	// releaseMarginSlices is the smallest reduction of a cap that is worth an exchange, in slices.
	releaseMarginSlices = 0.1

	// noWindow is the number of an account's window before the first request.
	noWindow WindowNumber = -1
)

// account is this node's record of a customer.
type account struct {
	customer      Customer
	windowLength  time.Duration // 0 before the first reset
	demand        demand
	lastRequestAt time.Duration
	exchangeAt    time.Duration // earliest time of the next exchange
	lossWindow    WindowNumber  // last window with a proven loss of entries; noWindow-1 before the first loss
	window
}

// window is the part of an account that each new window resets.
type window struct {
	number    WindowNumber
	allowance float64 // units for the whole fleet
	cap       float64 // units that this node may use
	used      float64 // units that this node has used

	others      map[NodeID]Commitment // last known commitments of other nodes
	sequence    Sequence              // of the last commitment that this node put
	stored      Sequence              // of the last commitment that a reply contained
	storedCap   float64               // this node's cap in the store; NaN if unknown
	deniedUntil time.Duration         // earliest time of the next borrowing
}

// demand is the demand of a customer at this node.
type demand struct {
	inWindow float64 // units requested in the current window
	forecast float64 // units per window: an exponentially weighted mean
}

// endWindows updates the forecast at the end of count windows. Only the first of them has the recorded demand.
func (d *demand) endWindows(count WindowNumber) {
	for range min(max(count, 1), idleWindows) {
		d.forecast += demandSmoothing * (d.inWindow - d.forecast)
		d.inWindow = 0
	}
}

// Window returns the length of the customer's windows.
func (c Customer) Window() time.Duration {
	if c.Rate <= 0 {
		return maxWindow
	}
	seconds := windowBurstRatio * c.Burst / c.Rate
	return min(max(time.Duration(seconds*float64(time.Second)), minWindow), maxWindow)
}

// newAccount returns an account that has not entered a window.
func newAccount(c Customer) *account {
	return &account{customer: c, lossWindow: noWindow - 1, window: window{number: noWindow}}
}

// reset sets the quota of an account, and leaves the account's window.
func (a *account) reset(c Customer) {
	a.customer, a.windowLength, a.number = c, c.Window(), noWindow
}

// slice returns an equal share of the allowance for each node of the customer's set, in units.
func (a *account) slice() float64 { return a.allowance / float64(a.customer.Spread) }

// releaseMargin returns the smallest reduction of the cap that is worth an exchange, in units. All versions of this code
// multiply before they divide, so that they round it alike.
func (a *account) releaseMargin() float64 {
	return releaseMarginSlices * a.allowance / float64(a.customer.Spread)
}

// windowBegin returns the time at which the account's window began.
func (a *account) windowBegin() time.Duration { return time.Duration(a.number) * a.windowLength }

// wantedCap returns the cap that covers the forecast demand with a margin, in units. It is never below the use so far.
func (a *account) wantedCap() float64 {
	expected := max(a.demand.forecast, a.demand.inWindow)
	return max(a.used, (1+demandMarginRatio)*expected+a.releaseMargin())
}

// enterWindow resets the window of an account if a new window has begun.
func (l *Ledger) enterWindow(a *account) {
	number := WindowNumber(l.now / a.windowLength)
	if number == a.number {
		return
	}
	isFirst := a.number < 0
	a.demand.endWindows(number - a.number)
	a.window = window{number: number, allowance: a.customer.Rate * a.windowLength.Seconds(), others: map[NodeID]Commitment{}}
	a.cap = a.slice()
	if l.startedWithin(a) { // the use before the start is unknown
		a.cap = 0
	}
	a.storedCap = a.slice() // a node without an entry counts with a slice
	if isFirst {            // without known demand nothing is released
		a.demand.forecast = a.slice()
	}
	firstGapWindows := l.random.Float64() * exchangeGapWindows // spreads the first exchanges of the nodes
	a.exchangeAt = l.now + time.Duration(firstGapWindows*float64(a.windowLength))
}

// startedWithin reports whether this node started within the account's window. The store may then hold entries of this
// node's previous process.
func (l *Ledger) startedWithin(a *account) bool { return a.windowBegin() < l.started }

// invalidateStored records that the last commitment in the store is unknown. The next exchange puts the cap again.
func (a *account) invalidateStored() { a.storedCap = math.NaN() }
