package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Ledger enforces the quotas at one node.
type Ledger struct {
	cfg      Config
	now      time.Duration
	started  time.Duration
	random   *rand.Rand
	counters Counters

	accounts  map[CustomerKey]*account
	turns     []*account // in the order in which they exchange
	nextTurn  int        // into turns
	pending   []pendingExchange
	lastID    ExchangeID
	rateLimit rateLimiter
	backoff   backoff
	store     StoreID       // that answered last; 0 before the first reply
	storeMet  time.Duration // time of its first reply
}

// New returns a Ledger without customers. now is the time since an origin that all nodes share, such as the Unix epoch.
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

func (l *Ledger) advance(now time.Duration) { l.now = max(l.now, now) }

// account returns the account of a customer, in its present window. It is created if there is none, and reset if the quota
// has changed.
func (l *Ledger) account(c Customer) *account {
	a := l.accounts[c.Key]
	if a == nil {
		a = newAccount(c)
		l.accounts[c.Key] = a
		l.turns = append(l.turns, a)
	}
	c.Spread = min(max(c.Spread, 1), l.cfg.Nodes)
	if a.customer != c || a.windowLength == 0 {
		a.reset(c)
	}
	l.enterWindow(a)
	return a
}

// RecordDemand records a request of a customer, whether it is admitted or not.
func (l *Ledger) RecordDemand(now time.Duration, c Customer, units float64) {
	l.advance(now)
	a := l.account(c)
	a.demand.inWindow += units
	a.lastRequestAt = l.now
}

// Available returns the units that a customer may still use at this node in this window; +Inf without a quota.
func (l *Ledger) Available(now time.Duration, c Customer) float64 {
	l.advance(now)
	if c.Rate <= 0 {
		return math.Inf(1)
	}
	a := l.account(c)
	return max(0, a.cap-a.used)
}

// TrySpend uses units of what is available to a customer, and reports whether there was enough; else it uses nothing.
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

// RecordUse records units that were used, also beyond what was available.
func (l *Ledger) RecordUse(now time.Duration, c Customer, units float64) {
	l.advance(now)
	if c.Rate > 0 {
		l.account(c).used += units
	}
}

// forgetIdle drops the accounts of customers without requests for a long time.
func (l *Ledger) forgetIdle() {
	l.turns = slices.DeleteFunc(l.turns, func(a *account) bool {
		idle := l.now-a.lastRequestAt > idleWindows*a.windowLength
		if idle {
			delete(l.accounts, a.customer.Key)
		}
		return idle
	})
}
