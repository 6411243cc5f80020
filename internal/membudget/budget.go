package membudget

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/numeric"
)

// Kind is what an Account counts. A kind may not use what is kept for the kinds after it, so that responses never wait for requests,
// nor small requests for large ones.
type Kind int

// The kinds of accounts.
const (
	Upload   Kind = iota // large requests, which are counted before their bodies arrive
	InFlight             // requests in flight, without their messages
	Response             // large responses

	kinds // number of kinds
)

// kindShares are the shares of the budget that a kind and those before it may use together.
var kindShares = [kinds]float64{Upload: 0.4, InFlight: 0.7, Response: 1}

// Budget counts the memory of messages. A nil *Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limits [kinds]int64 // limits of the sum of a kind and those before it

	// relieve asks holders that make no progress to release at least the given number of bytes. It must not block.
	relieve func(bytes int64)

	mu        sync.Mutex   // guards the fields below
	waiters   []*waiter    // reservations that wait for memory, in order of their arrival
	used      [kinds]int64 // bytes of the accounts of a kind and of those before it
	peak      int64        // largest number of bytes of all accounts
	shortages int64        // number of reservations that did not fit at first
}

// New returns a budget of limit bytes. A limit of 0 or less gives a nil budget, which has no limit.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	b := &Budget{relieve: func(int64) {}}
	for kind, share := range kindShares {
		b.limits[kind] = numeric.Truncate[int64](share * float64(limit))
	}
	return b
}

// OnShortage sets the function that is called when a reservation does not fit, with its number of bytes. It must be called before the
// budget is used. The function must not block or reserve.
func (b *Budget) OnShortage(relieve func(bytes int64)) {
	if b != nil {
		b.relieve = relieve
	}
}

// Usage is the state of a budget, in bytes.
type Usage struct {
	Limit, Used, Peak int64
	Shortages         int64 // number of reservations that did not fit at first
}

// Usage returns the state of the budget. It is zero for a nil budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limits[kinds-1], Used: b.used[kinds-1], Peak: b.peak, Shortages: b.shortages}
}

// waiter is a reservation that waits for memory.
type waiter struct {
	kind    Kind
	bytes   int64
	granted chan struct{} // closed once the bytes are counted
}

// take counts bytes if they fit.
func (b *Budget) take(kind Kind, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeLocked(kind, bytes)
}

// takeLocked is take for a caller that holds mu.
func (b *Budget) takeLocked(kind Kind, bytes int64) bool {
	for k := kind; k < kinds; k++ {
		if b.used[k]+bytes > b.limits[k] {
			return false
		}
	}
	b.addLocked(kind, bytes)
	b.peak = max(b.peak, b.used[kinds-1])
	return true
}

// addLocked adds bytes to the sums that include a kind. The caller holds mu.
func (b *Budget) addLocked(kind Kind, bytes int64) {
	for k := kind; k < kinds; k++ {
		b.used[k] += bytes
	}
}

// release is the reverse of take. It grants the waiting reservations that fit now.
func (b *Budget) release(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(kind, -bytes)
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		granted := b.takeLocked(w.kind, w.bytes)
		if granted {
			close(w.granted)
		}
		return granted
	})
}

// startWaiting takes bytes if they fit now, and otherwise adds a waiter.
func (b *Budget) startWaiting(kind Kind, bytes int64) *waiter {
	w := &waiter{kind: kind, bytes: bytes, granted: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shortages++
	if b.takeLocked(kind, bytes) {
		close(w.granted)
	} else {
		b.waiters = append(b.waiters, w)
	}
	return w
}

// stopWaiting removes a waiter, and reports whether its bytes were counted before that.
func (b *Budget) stopWaiting(w *waiter) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return true
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return false
}

// Account counts the memory of one holder. One goroutine at a time uses it, but any may call Held.
type Account struct {
	budget *Budget
	kind   Kind
	held   atomic.Int64
}

// Open makes an account draw on a budget, which may be nil. The account must hold nothing.
func (a *Account) Open(budget *Budget, kind Kind) { a.budget, a.kind = budget, kind }

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int64 { return a.held.Load() }

// Grow counts bytes more, and reports whether they fit. If they don't fit at once, it waits until they do or until the deadline.
func (a *Account) Grow(bytes int, deadline time.Time) bool {
	if a.budget == nil {
		return true
	}
	if !a.budget.take(a.kind, int64(bytes)) && !a.await(int64(bytes), deadline) {
		return false
	}
	a.held.Add(int64(bytes))
	return true
}

// reliefInterval is the time after which a reservation that still waits asks for relief again.
const reliefInterval = 10 * time.Millisecond

// await waits until bytes fit, and returns false at the deadline.
func (a *Account) await(bytes int64, deadline time.Time) bool {
	w := a.budget.startWaiting(a.kind, bytes)
	for left := time.Until(deadline); left > 0; left = time.Until(deadline) {
		a.budget.relieve(bytes)
		select {
		case <-w.granted:
			return true
		case <-time.After(min(left, reliefInterval)):
		}
	}
	return a.budget.stopWaiting(w)
}

// Release returns all bytes that the account holds to the budget.
func (a *Account) Release() {
	if held := a.held.Swap(0); held > 0 {
		a.budget.release(a.kind, held)
	}
}
