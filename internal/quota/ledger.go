package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Ledger enforces the quotas at one node. It is not safe for concurrent use.
type Ledger struct {
	cfg      Config
	now      time.Duration // latest time of a call
	started  time.Duration // time of New
	random   *rand.Rand
	counters Counters

	accounts         map[CustomerKey]*account
	rotation         []*account // all accounts, in the order in which they exchange
	rotationIndex    int        // index into rotation of the next account
	pending          []pendingExchange
	lastExchangeID   ExchangeID // id of the last exchange begun; 0 before the first
	rateLimit        rateLimiter
	backoff          backoff
	storeID          StoreID       // store of the last successful exchange; 0 before the first
	storeFirstSeenAt time.Duration // time of the last change of storeID; 0 before the first
}

// New returns a Ledger without customers. now is the time since an origin that all nodes share, such as the Unix epoch. All
// later times use the same origin.
func New(cfg Config, now time.Duration) *Ledger {
	cfg.Nodes = max(cfg.Nodes, 1)
	return &Ledger{
		cfg:       cfg,
		now:       now,
		started:   now,
		random:    rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		accounts:  map[CustomerKey]*account{},
		rateLimit: rateLimiter{rate: cfg.ExchangeRate, tokens: 1, refilledAt: now},
	}
}

// Counters returns the counts since New.
func (l *Ledger) Counters() Counters { return l.counters }

// advance sets the clock to now. An earlier time than the clock is ignored.
func (l *Ledger) advance(now time.Duration) { l.now = max(l.now, now) }

// account returns the account of a customer in the current window. account creates a missing account, and resets an account
// whose quota or node set has changed.
func (l *Ledger) account(c Customer) *account {
	a := l.accounts[c.Key]
	if a == nil {
		a = newAccount(c)
		l.accounts[c.Key] = a
		l.rotation = append(l.rotation, a)
	}
	c.Spread = min(max(c.Spread, 1), l.cfg.Nodes)
	if a.customer != c || a.windowLength == 0 {
		a.reset(c)
	}
	l.enterWindow(a)
	return a
}

// RecordDemand records the demand of a request, whether or not the request is admitted.
func (l *Ledger) RecordDemand(now time.Duration, c Customer, units float64) {
	l.advance(now)
	a := l.account(c)
	a.demand.currentUnits += units
	a.lastRequestAt = l.now
}

// Available returns the units that a customer may still use at this node in the current window. It returns +Inf for a
// customer without a quota.
func (l *Ledger) Available(now time.Duration, c Customer) float64 {
	l.advance(now)
	if c.Rate <= 0 {
		return math.Inf(1)
	}
	a := l.account(c)
	return max(0, a.cap-a.used)
}

// TrySpend uses units of a customer's quota and reports whether that many were available. If not, no units are used.
func (l *Ledger) TrySpend(now time.Duration, c Customer, units float64) bool {
	if l.Available(now, c) < units {
		l.counters.Rejected++
		return false
	}
	if c.Rate > 0 {
		l.accounts[c.Key].used += units
	}
	return true
}

// RecordUse records the use of units. The units may exceed the available ones.
func (l *Ledger) RecordUse(now time.Duration, c Customer, units float64) {
	l.advance(now)
	if c.Rate > 0 {
		l.account(c).used += units
	}
}

// dropIdle removes the accounts of customers without a request for more than idleWindows windows.
func (l *Ledger) dropIdle() {
	l.rotation = slices.DeleteFunc(l.rotation, func(a *account) bool {
		idle := l.now-a.lastRequestAt > idleWindows*a.windowLength
		if idle {
			delete(l.accounts, a.customer.Key)
		}
		return idle
	})
}
