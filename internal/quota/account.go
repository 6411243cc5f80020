package quota

// Accounts.
//
// Inputs: the requests of a customer at this node, and the time. State: the cap and the use of the current window, and a
// forecast of the demand. Rule: a window begins with an equal share of the allowance as the cap. The cap is 0 if this node
// started within the window. The demand forecast is an exponentially weighted mean over windows. Purpose: a restart does not
// refill a quota. Trade-off: after a restart a node serves customers with a quota only from the next window on.

import (
	"math"
	"time"

	"cherrygap/internal/numeric"
)

const (
	// windowBurstRatio is the ratio of a window's length to the time in which Customer.Rate adds up to Customer.Burst.
	windowBurstRatio = 0.5
	// minWindow and maxWindow bound the length of a window.
	minWindow = 500 * time.Millisecond
	maxWindow = 2 * time.Second

	// idleWindows is the number of windows without a request after which an account is dropped.
	idleWindows = 20

	// demandSmoothing is the weight of the last window in the demand forecast.
	demandSmoothing = 0.5
	// demandMarginRatio is the margin on top of the demand forecast, as a ratio of the forecast.
	demandMarginRatio = 0.25
	// releaseMarginShares is the smallest reduction of a cap that is worth an exchange, as a ratio of an equal share.
	releaseMarginShares = 0.1

	// noWindow is the window number of an account that has not entered a window since newAccount or reset.
	noWindow WindowNumber = -1
)

// account is this node's record of a customer.
type account struct {
	customer       Customer
	windowLength   time.Duration // length of the windows; 0 before the first reset
	demand         demand
	lastRequestAt  time.Duration // time of the last recorded demand
	nextExchangeAt time.Duration // earliest time of the next exchange
	lastLossWindow WindowNumber  // last window with a proven loss of store entries; noWindow-1 before the first loss
	window
}

// window is the part of an account that each new window resets.
type window struct {
	windowNumber WindowNumber // number of the window; noWindow before the first since a reset
	allowance    float64      // units that the whole fleet may use in the window
	cap          float64      // units that this node may use in the window
	used         float64      // units that this node has used in the window

	otherCommitments  map[NodeID]Commitment // last known commitments of other nodes
	lastSequence      Sequence              // sequence of the last commitment that this node put; 0 before the first
	storedSequence    Sequence              // sequence of this node's last commitment that a reply contained; 0 for none
	storedCap         float64               // this node's cap in the store, in units; NaN if unknown
	borrowPausedUntil time.Duration         // earliest time at which the cap may be raised
}

// demand is the demand of a customer at this node.
type demand struct {
	currentUnits  float64 // units requested in the current window
	forecastUnits float64 // expected units per window: an exponentially weighted mean
}

// endWindows updates the forecast at the end of count windows. The recorded demand belongs to the first of them; the others
// had no demand.
func (d *demand) endWindows(count WindowNumber) {
	for range min(max(count, 1), idleWindows) {
		d.forecastUnits += demandSmoothing * (d.currentUnits - d.forecastUnits)
		d.currentUnits = 0
	}
}

// Window returns the length of the customer's windows.
func (c Customer) Window() time.Duration {
	if c.Rate <= 0 {
		return maxWindow
	}
	seconds := windowBurstRatio * c.Burst / c.Rate
	return min(max(numeric.Truncate[time.Duration](seconds*float64(time.Second)), minWindow), maxWindow)
}

// newAccount returns an account that has not entered a window.
func newAccount(c Customer) *account {
	return &account{customer: c, lastLossWindow: noWindow - 1, window: window{windowNumber: noWindow}}
}

// reset sets the quota of an account. The next call of enterWindow enters a window as if it were the first.
func (a *account) reset(c Customer) {
	a.customer, a.windowLength, a.windowNumber = c, c.Window(), noWindow
}

// equalShare returns the allowance divided by the number of nodes in the customer's node set, in units.
func (a *account) equalShare() float64 { return a.allowance / float64(a.customer.Spread) }

// releaseMargin returns the smallest reduction of the cap that is worth an exchange, in units. The product is
// computed before the quotient: all versions of this code must round alike.
func (a *account) releaseMargin() float64 {
	return releaseMarginShares * a.allowance / float64(a.customer.Spread)
}

// windowBegin returns the time at which the account's window began.
func (a *account) windowBegin() time.Duration { return time.Duration(a.windowNumber) * a.windowLength }

// wantedCap returns the cap that covers the expected demand with a margin, in units. The cap is never below the use so far.
func (a *account) wantedCap() float64 {
	expected := max(a.demand.forecastUnits, a.demand.currentUnits)
	return max(a.used, (1+demandMarginRatio)*expected+a.releaseMargin())
}

// enterWindow resets the window of an account if a new window has begun.
func (l *Ledger) enterWindow(a *account) {
	number := WindowNumber(l.now / a.windowLength)
	if number == a.windowNumber {
		return
	}
	isFirstWindow := a.windowNumber < 0
	a.demand.endWindows(number - a.windowNumber)
	a.window = window{windowNumber: number, allowance: a.customer.Rate * a.windowLength.Seconds(), otherCommitments: map[NodeID]Commitment{}}
	a.cap = a.equalShare()
	if l.startedWithin(a) { // the use before the start is unknown
		a.cap = 0
	}
	a.storedCap = a.equalShare() // a node without an entry counts with an equal share
	if isFirstWindow {           // without a known demand the node releases no units
		a.demand.forecastUnits = a.equalShare()
	}
	firstGapWindows := l.random.Float64() * exchangeGapWindows // spreads the first exchanges of the nodes
	a.nextExchangeAt = l.now + numeric.Truncate[time.Duration](firstGapWindows*float64(a.windowLength))
}

// startedWithin reports whether this node started within the account's window. The store may then hold entries of this
// node's previous process.
func (l *Ledger) startedWithin(a *account) bool { return a.windowBegin() < l.started }

// invalidateStoredCap marks this node's cap in the store as unknown. The next exchange then puts the cap again.
func (a *account) invalidateStoredCap() { a.storedCap = math.NaN() }
