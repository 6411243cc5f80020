package quota

import (
	"math"
	"time"
)

const (
	windowShare = 0.5 // of the time in which a quota fills its burst: two windows' worth is a burst
	minWindow   = 500 * time.Millisecond
	maxWindow   = 2 * time.Second // a node that starts waits for the next window
	idleWindows = 20              // without a request, after which a customer is forgotten

	demandDecay = 0.5  // of the difference between forecast and demand, a window
	spareShare  = 0.25 // of the demand forecast, kept on top of it
	minRelease  = 0.1  // of a slice, see releaseMargin

	exchangeGap = 0.05 // of a window, between two exchanges for one customer
	deniedFor   = 0.2  // of a window, between two tries to borrow where nothing was left

	noWindow WindowNumber = -1 // before the first
)

// account is one customer at this node.
type account struct {
	customer      Customer
	windowLength  time.Duration
	demand        demand
	lastRequestAt time.Duration
	exchangeAt    time.Duration // no exchange before
	forgottenIn   WindowNumber  // the last window in which the store had forgotten entries
	window
}

// window is what belongs to one window of a customer's and is gone with it.
type window struct {
	number    WindowNumber
	allowance float64 // units for the whole fleet
	cap       float64 // units that this node may use,
	used      float64 // and has used

	others      map[NodeID]Commitment // of the other nodes, as the store last told
	sequence    Sequence              // of the last commitment put
	stored      Sequence              // the last one that the store is known to have had
	storedCap   float64               // what the store has for this node, as far as is known; NaN if that is uncertain
	deniedUntil time.Duration         // there is nothing to borrow before
}

// demand is how much a customer asks for at this node.
type demand struct {
	inWindow float64 // units in the present window, so far
	forecast float64 // units a window: an exponentially weighted mean
}

// endWindows moves the forecast on by so many windows, of which the first had the recorded demand and the others none.
func (d *demand) endWindows(count WindowNumber) {
	for range min(max(count, 1), idleWindows) {
		d.forecast += demandDecay * (d.inWindow - d.forecast)
		d.inWindow = 0
	}
}

// Window is how long a customer's windows are.
func (c Customer) Window() time.Duration {
	if c.Rate <= 0 {
		return maxWindow
	}
	return min(max(time.Duration(windowShare*c.Burst/c.Rate*float64(time.Second)), minWindow), maxWindow)
}

func newAccount(c Customer) *account {
	return &account{customer: c, forgottenIn: noWindow - 1, window: window{number: noWindow}}
}

// reset takes over a changed quota, as if its windows had just begun.
func (a *account) reset(c Customer) {
	a.customer, a.windowLength, a.number = c, c.Window(), noWindow
}

// slice is each node's even part of the allowance.
func (a *account) slice() float64 { return a.allowance / float64(a.customer.Spread) }

// releaseMargin is how much of a slice must be left over to be worth an exchange.
func (a *account) releaseMargin() float64 {
	return minRelease * a.allowance / float64(a.customer.Spread)
}

// begin is when the account's present window began.
func (a *account) begin() time.Duration { return time.Duration(a.number) * a.windowLength }

// wantedCap is the cap that an account would have: for the demand forecast in this window, with some to spare.
func (a *account) wantedCap() float64 {
	return max(a.used, (1+spareShare)*max(a.demand.forecast, a.demand.inWindow)+a.releaseMargin())
}

// enterWindow begins a new window for an account, if it is time.
func (l *Ledger) enterWindow(a *account) {
	number := WindowNumber(l.now / a.windowLength)
	if number == a.number {
		return
	}
	isFirst := a.number < 0
	a.demand.endWindows(number - a.number)
	a.window = window{number: number, allowance: a.customer.Rate * a.windowLength.Seconds(), others: map[NodeID]Commitment{}}
	a.cap = a.slice()
	if l.startedWithin(a) { // what it used before its start is not known: a restart is no refill
		a.cap = 0
	}
	a.storedCap = a.slice() // which is what the store's silence says
	if isFirst {            // nothing is forecast yet, and nothing released
		a.demand.forecast = a.slice()
	}
	// Not all nodes are to call at the first moment of a window.
	a.exchangeAt = l.now + time.Duration(l.random.Float64()*exchangeGap*float64(a.windowLength))
}

// startedWithin tells whether this node started within an account's present window. Commitments that the store has of
// it there are an earlier life's.
func (l *Ledger) startedWithin(a *account) bool { return a.begin() < l.started }

// doubtStored notes that the store may have a commitment that does not hold, or lack one that does. The next exchange
// puts it again.
func (a *account) doubtStored() { a.storedCap = math.NaN() }
