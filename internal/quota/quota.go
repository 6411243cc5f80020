// Package quota keeps customers' quotas over many edge nodes through a shared store that may stall, forget, split or
// be gone. It holds no I/O and no clock: the host tells the time with each call (the same clock at all nodes), reports
// what came in (Ask, Replied), which only updates what is known, pulls exchanges with the store from Next, and spends
// from Room. No ticket waits for the store.
//
// Time is cut into windows. In each a customer has an allowance, and every node of its set a cap: an even slice of it,
// until the node commits itself to less, or borrows what others committed themselves not to use. Commitments stand in
// the store, one entry for each, never overwritten. What the store does not say counts as a whole slice: so a store
// that is gone, empty or split leaves everyone its slice, and the caps never add up to more than the allowance.
// docs/design-quota.md has the options considered and the bound.
package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuned values, as ratios to settings.
const (
	windowOf    = 0.5 // of the time in which a quota fills its depth: two windows' worth is a depth
	leastWindow = 500 * time.Millisecond
	mostWindow  = 2 * time.Second // a node that starts waits for the next one
	leaseOf     = 0.1             // of an allowance, borrowed at once, and the most that one forgotten entry can let through
	spareOf     = 0.25            // of the demand foreseen, kept on top of it
	cedeOver    = 0.1             // of a slice, that must be left over to be worth a call
	oftenOf     = 0.05            // of a window, between two exchanges for one customer
	deniedFor   = 0.2             // of a window, between two tries to borrow where nothing was left
	waitOf      = 0.2             // of the shortest contract time, that an exchange may take
	leastWait   = 20 * time.Millisecond
	fade        = 0.5 // of the demand foreseen, a window
	failsMost   = 3   // exchanges in a row that failed, until the store is left alone
	aloneMost   = 16  // windows that it is left alone at most
	idleAfter   = 20  // windows without a ticket, after which a customer is forgotten
)

// Customer is whose quota it is.
type Customer struct {
	Key               uint64
	Rate, Burst       float64 // units a second, and units at once
	FirstNode, Spread int     // its set: so many nodes in a row from that one, counted round
}

// Config is what a Node is told at its start.
type Config struct {
	Self, Nodes  int
	Seed         uint64
	ExchangeRate float64       // exchanges a second at most, for all customers; 0 for no limit
	Timeout      time.Duration // an exchange is given up after so long
}

// Entry is one commitment as it stands in the store: node Node will use no more than Cap in the window. Of a node's
// entries the one with the highest Seq counts.
type Entry struct {
	Node int
	Seq  int
	Cap  float64
}

// Exchange is one call to the store: in one step add Put to the entries of that customer and window, and read all.
type Exchange struct {
	ID     uint64
	Key    uint64
	Window int64 // number of the window, of the customer's window length
	Put    Entry
	Keep   time.Duration // how long the store is to keep the entries
	Wait   time.Duration // give up after so long; what comes later must not be reported
}

// Counters count what a node did, for its log.
type Counters struct {
	Calls, Failed, Late, Lost, Borrowed, Ceded, Refused int64 // Lost: windows in which the store had forgotten entries
}

// account is one customer at this node.
type account struct {
	Customer
	length  time.Duration
	window  int64
	allowed float64 // units a window, at all nodes
	cap     float64
	spent   float64
	asked   float64 // in this window
	foresee float64 // a window
	seq     int     // of the last entry put
	told    float64 // what the store was last told, as far as is known
	sure    int     // the last entry of which the store is known to have had it
	lostAt  int64   // last window in which the store had forgotten something
	others  map[int]Entry
	next    time.Duration // no exchange before
	denied  time.Duration // nothing more is to be had until then
	last    time.Duration // ticket
}

type call struct {
	id, key uint64
	window  int64
	put     Entry
	until   time.Duration
}

// Ledger is one edge node's part.
type Ledger struct {
	cfg     Config
	now     time.Duration
	born    time.Duration
	chance  *rand.Rand
	of      map[uint64]*account
	order   []*account // in order of first sight
	at      int        // whose turn it is
	out     []call
	lastID  uint64
	tokens  float64
	tokenAt time.Duration
	fails   int
	alone   time.Duration // the store is left alone until then
	store   uint64        // which store it is, 0 before the first answer
	since   time.Duration // when this node first met it
	count   Counters
}

// New makes a node. now is the time since an origin that all nodes share, as the Unix epoch.
func New(cfg Config, now time.Duration) *Ledger {
	cfg.Nodes = max(cfg.Nodes, 1)
	return &Ledger{
		cfg: cfg, now: now, born: now, chance: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		of: map[uint64]*account{}, tokenAt: now, tokens: 1,
	}
}

// Count is what the node did so far.
func (n *Ledger) Count() Counters { return n.count }

// Window is how long a customer's windows are.
func (c Customer) Window() time.Duration {
	if c.Rate <= 0 {
		return mostWindow
	}
	return min(max(time.Duration(windowOf*c.Burst/c.Rate*float64(time.Second)), leastWindow), mostWindow)
}

func (n *Ledger) clock(now time.Duration) { n.now = max(n.now, now) }

// account is a customer's, in the window of now.
func (n *Ledger) account(c Customer) *account {
	a := n.of[c.Key]
	if a == nil {
		a = &account{Customer: c, window: -1, lostAt: -2}
		n.of[c.Key] = a
		n.order = append(n.order, a)
	}
	c.Spread = min(max(c.Spread, 1), n.cfg.Nodes)
	if a.length == 0 || a.Customer != c {
		a.Customer, a.length = c, c.Window()
		a.window = -1
	}
	n.turn(a)
	return a
}

// turn begins a new window for an account, if it is time.
func (n *Ledger) turn(a *account) {
	w := int64(n.now / a.length)
	if w == a.window {
		return
	}
	fresh := a.window < 0
	for range min(max(w-a.window, 1), idleAfter) {
		a.foresee += fade * (a.asked - a.foresee)
		a.asked = 0
	}
	a.window, a.spent, a.seq, a.sure, a.denied, a.others = w, 0, 0, 0, 0, map[int]Entry{}
	a.allowed = a.Rate * a.length.Seconds()
	a.cap = a.allowed / float64(a.Spread)
	if n.early(a) { // what it had spent before its start is not known: a restart fills nothing
		a.cap = 0
	}
	a.told = a.allowed / float64(a.Spread) // as the store's silence says
	if fresh {                             // nothing is foreseen yet, and nothing given away
		a.foresee = a.told
	}
	// Not all nodes at the first moment of a window.
	a.next = n.now + time.Duration(n.chance.Float64()*oftenOf*float64(a.length))
}

// early tells whether an account's window began before this node did. Its entries there are an earlier life's.
func (n *Ledger) early(a *account) bool { return time.Duration(a.window)*a.length < n.born }

// RecordDemand notes a ticket of a customer, whether it passes or not.
func (n *Ledger) RecordDemand(now time.Duration, c Customer, units float64) {
	n.clock(now)
	a := n.account(c)
	a.asked += units
	a.last = n.now
}

// Available is how many units a customer may still use here in this window. A customer without a quota has no bound.
func (n *Ledger) Available(now time.Duration, c Customer) float64 {
	n.clock(now)
	if c.Rate <= 0 {
		return math.Inf(1)
	}
	a := n.account(c)
	return max(0, a.cap-a.spent)
}

// TrySpend uses units of a customer's room. It tells false, and uses nothing, where there is less.
func (n *Ledger) TrySpend(now time.Duration, c Customer, units float64) bool {
	if n.Available(now, c) < units {
		n.count.Refused++
		return false
	}
	if c.Rate > 0 {
		n.of[c.Key].spent += units
	}
	return true
}

// RecordUse counts units that were let pass in any case, past the room too.
func (n *Ledger) RecordUse(now time.Duration, c Customer, units float64) {
	n.clock(now)
	if c.Rate > 0 {
		n.account(c).spent += units
	}
}

// ExchangeTimeout is how long an exchange may take, by the shortest contract time of a deployment's tickets.
func ExchangeTimeout(contract time.Duration) time.Duration {
	return min(max(time.Duration(waitOf*float64(contract)), leastWait), leastWindow/2)
}

// wants is the cap that an account would have: what is foreseen in this window, with some to spare.
func (a *account) wants() float64 {
	return max(a.spent, (1+spareOf)*max(a.foresee, a.asked)+cedeOver*a.allowed/float64(a.Spread))
}

// Next is the next exchange with the store, or false when there is none for now.
func (n *Ledger) Next(now time.Duration) (Exchange, bool) {
	n.clock(now)
	n.out = slices.DeleteFunc(n.out, func(c call) bool {
		if n.now >= c.until {
			n.failed()
			n.redo(c)
			return true
		}
		return false
	})
	if n.now < n.alone || n.fails >= failsMost && len(n.out) > 0 { // one trial at a time
		return Exchange{}, false
	}
	if n.cfg.ExchangeRate > 0 {
		n.tokens = min(n.tokens+n.cfg.ExchangeRate*(n.now-n.tokenAt).Seconds(), max(1, n.cfg.ExchangeRate/10))
		n.tokenAt = n.now
		if n.tokens < 1 {
			return Exchange{}, false
		}
	}
	for range n.order {
		if n.at >= len(n.order) {
			n.at = 0
			n.forget()
		}
		if len(n.order) == 0 {
			break
		}
		a := n.order[n.at]
		n.at++
		if x, ok := n.exchange(a); ok {
			n.tokens--
			return x, true
		}
	}
	return Exchange{}, false
}

// exchange is what an account wants of the store now.
func (n *Ledger) exchange(a *account) (Exchange, bool) {
	if a.Rate <= 0 || a.Spread <= 1 {
		return Exchange{}, false
	}
	n.turn(a)
	if n.now < a.next || n.early(a) || slices.ContainsFunc(n.out, func(c call) bool { return c.key == a.Key }) {
		return Exchange{}, false
	}
	want := a.wants()
	cap := a.cap
	switch {
	case want < a.cap-cedeOver*a.allowed/float64(a.Spread): // committed to before anybody is told
		a.cap, cap = want, want
		n.count.Ceded++
	case want > a.cap && a.cap < a.allowed && a.window > a.lostAt+1 && n.now >= a.denied:
		// In steps of a lease: what one entry grants is what one forgotten entry can cost.
		cap = min(want, a.cap+leaseOf*a.allowed, a.allowed)
	case a.told == a.cap:
		return Exchange{}, false
	}
	a.seq++
	n.lastID++
	a.next = n.now + time.Duration(oftenOf*float64(a.length)*(0.5+n.chance.Float64()))
	n.out = append(n.out, call{
		id: n.lastID, key: a.Key, window: a.window, until: n.now + n.cfg.Timeout,
		put: Entry{Node: n.cfg.Self, Seq: a.seq, Cap: cap},
	})
	n.count.Calls++
	return Exchange{
		ID: n.lastID, Key: a.Key, Window: a.window, Put: Entry{Node: n.cfg.Self, Seq: a.seq, Cap: cap},
		Keep: 3 * a.length, Wait: n.cfg.Timeout,
	}, true
}

// redo notes that the store may have an entry of this window that does not hold, or lack one that does.
func (n *Ledger) redo(c call) {
	if a := n.of[c.key]; a != nil && a.window == c.window {
		a.told = math.NaN() // unlike any cap: it is told again
	}
}

// failed notes an exchange that came to nothing. After some the store is left alone, each time for twice as long.
func (n *Ledger) failed() {
	n.count.Failed++
	if n.fails++; n.fails >= failsMost {
		wait := float64(n.cfg.Timeout) * math.Exp2(float64(min(n.fails-failsMost, 10)))
		n.alone = n.now + min(time.Duration(wait*(0.5+n.chance.Float64())), aloneMost*leastWindow)
	}
}

// HandleReply reports how an exchange ended: which store answered (a number that a store keeps for as long as it keeps
// anything) and all its entries of that customer and window, or, with ok false, nothing that can be relied on. One that was given up meanwhile, or belongs to a window that is over, says nothing: its entry may stand
// in the store, but the cap that it asked for was never used.
func (n *Ledger) HandleReply(now time.Duration, id, store uint64, entries []Entry, ok bool) {
	n.clock(now)
	i := slices.IndexFunc(n.out, func(c call) bool { return c.id == id })
	if i < 0 {
		n.count.Late++
		return
	}
	c := n.out[i]
	n.out = slices.Delete(n.out, i, i+1)
	if !ok || n.now >= c.until {
		n.failed()
		n.redo(c)
		return
	}
	n.fails = 0
	if store != n.store { // another in its place: what the old one was told, this one does not know
		n.store, n.since = store, n.now
	}
	a := n.of[c.key]
	if a == nil || a.window != c.window || int64(n.now/a.length) != c.window {
		return
	}
	own := 0
	for _, e := range entries {
		if e.Node == n.cfg.Self {
			own = max(own, e.Seq)
		} else if e.Node >= 0 && e.Node < n.cfg.Nodes && e.Cap >= 0 && e.Seq > a.others[e.Node].Seq {
			a.others[e.Node] = e
		}
	}
	// It forgot what it had, or was put just now, or it was not there when the window began: others may have entries
	// that it does not know, and nothing that it says can be lent on.
	if own < max(c.put.Seq, a.sure) || time.Duration(a.window)*a.length < n.since {
		a.lostAt = a.window
		a.told = math.NaN()
		n.count.Lost++
		return
	}
	a.sure, a.told = own, c.put.Cap
	if c.put.Cap <= a.cap {
		return
	}
	sum := c.put.Cap
	for k := range a.Spread {
		node := (a.FirstNode + k) % n.cfg.Nodes
		if node == n.cfg.Self {
			continue
		}
		if e, ok := a.others[node]; ok {
			sum += e.Cap
		} else {
			sum += a.allowed / float64(a.Spread)
		}
	}
	room := a.allowed - (sum - c.put.Cap)
	if room < c.put.Cap {
		a.denied = n.now + time.Duration(deniedFor*float64(a.length)) // its entry is put right first
	}
	if room > a.cap { // perhaps less than was put: whoever looks meanwhile sees more than is used
		n.count.Borrowed++
		a.cap = min(room, c.put.Cap)
	}
}

// forget drops customers that have long been idle.
func (n *Ledger) forget() {
	n.order = slices.DeleteFunc(n.order, func(a *account) bool {
		gone := n.now-a.last > idleAfter*a.length
		if gone {
			delete(n.of, a.Key)
		}
		return gone
	})
}
