package quota

import (
	"math"
	"time"
)

const (
	windowShare = 0.5 // of the time in which the rate fills the burst
	minWindow   = 500 * time.Millisecond
	maxWindow   = 2 * time.Second // a node waits for the next window after its start
	idleWindows = 20              // without a request, after which an account is dropped

	demandDecay = 0.5  // weight of a window in the demand forecast
	spareShare  = 0.25 // of the demand forecast, added to it
	minRelease  = 0.1  // share of a slice, see releaseMargin

	exchangeGap = 0.05 // share of a window, between two exchanges for one customer
	deniedFor   = 0.2  // share of a window, for which nothing is borrowed after the store had nothing to lend

	noWindow WindowNumber = -1 // before the first
)

// account is this node's state for a customer.
type account struct {
	customer      Customer
	windowLength  time.Duration
	demand        demand
	lastRequestAt time.Duration
	exchangeAt    time.Duration // earliest time of the next exchange
	forgottenIn   WindowNumber  // last window in which the store had lost entries
	window
}

// window is the state of an account that is reset in each window.
type window struct {
	number    WindowNumber
	allowance float64 // units for the whole fleet
	cap       float64 // units that this node may use,
	used      float64 // and has used

	others      map[NodeID]Commitment // of the other nodes, by the last reply
	sequence    Sequence              // of the last commitment put
	stored      Sequence              // last one that the store is known to have had
	storedCap   float64               // this node's cap according to the store; NaN if that is uncertain
	deniedUntil time.Duration         // nothing is borrowed before
}

// demand is a customer's demand at this node.
type demand struct {
	inWindow float64 // units in the present window, so far
	forecast float64 // units a window: an exponentially weighted mean
}

// endWindows updates the forecast for so many windows: the first with the recorded demand, the others without any.
func (d *demand) endWindows(count WindowNumber) {
	for range min(max(count, 1), idleWindows) {
		d.forecast += demandDecay * (d.inWindow - d.forecast)
		d.inWindow = 0
	}
}

// Window returns the length of a customer's windows.
func (c Customer) Window() time.Duration {
	if c.Rate <= 0 {
		return maxWindow
	}
	return min(max(time.Duration(windowShare*c.Burst/c.Rate*float64(time.Second)), minWindow), maxWindow)
}

func newAccount(c Customer) *account {
	return &account{customer: c, forgottenIn: noWindow - 1, window: window{number: noWindow}}
}

// reset sets the quota of an account. Its state begins anew.
func (a *account) reset(c Customer) {
	a.customer, a.windowLength, a.number = c, c.Window(), noWindow
}

// slice returns the even part of the allowance per node.
func (a *account) slice() float64 { return a.allowance / float64(a.customer.Spread) }

// releaseMargin returns the least reduction of the cap that is worth an exchange.
func (a *account) releaseMargin() float64 {
	return minRelease * a.allowance / float64(a.customer.Spread)
}

// begin returns when the account's present window began.
func (a *account) begin() time.Duration { return time.Duration(a.number) * a.windowLength }

// wantedCap returns the cap for the forecast demand, with some to spare.
func (a *account) wantedCap() float64 {
	return max(a.used, (1+spareShare)*max(a.demand.forecast, a.demand.inWindow)+a.releaseMargin())
}

// enterWindow resets an account's window if a new one has begun.
func (l *Ledger) enterWindow(a *account) {
	number := WindowNumber(l.now / a.windowLength)
	if number == a.number {
		return
	}
	isFirst := a.number < 0
	a.demand.endWindows(number - a.number)
	a.window = window{number: number, allowance: a.customer.Rate * a.windowLength.Seconds(), others: map[NodeID]Commitment{}}
	a.cap = a.slice()
	if l.startedWithin(a) { // the use before the start is unknown: a restart must not refill the quota
		a.cap = 0
	}
	a.storedCap = a.slice() // a node without an entry counts with a slice
	if isFirst {            // no demand is known yet: nothing is released
		a.demand.forecast = a.slice()
	}
	// Spread the first exchanges of the nodes.
	a.exchangeAt = l.now + time.Duration(l.random.Float64()*exchangeGap*float64(a.windowLength))
}

// startedWithin reports whether this node started within an account's window. Its entries in the store may be those of the
// process before.
func (l *Ledger) startedWithin(a *account) bool { return a.begin() < l.started }

// doubtStored notes that the store may lack the last commitment or have a later one. The next exchange puts it again.
func (a *account) doubtStored() { a.storedCap = math.NaN() }
