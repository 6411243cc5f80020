// Package quotastore runs a quota.Ledger against a store that speaks the Redis protocol (RESP2, with go-redis). The Ledger
// decides when to exchange, and evaluates the replies. This package only carries out the exchanges, each within the timeout
// that the Ledger gives it and without retries. No request waits for the store.
package quotastore

import (
	"context"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"

	"cherrygap/internal/quota"
)

const (
	// maxConnections is the number of connections of a node to the store.
	maxConnections = 4
	// minPollInterval and maxPollInterval bound the time between two calls of Ledger.Next. The interval doubles while the
	// Ledger has no exchange.
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond
)

// Quotas enforces the quotas at one node with leases from a store. It is safe for concurrent use. Only Close waits for the
// store.
type Quotas struct {
	client    *redis.Client
	log       *zerolog.Logger
	startedAt time.Time      // wall clock and monotonic clock at Open
	done      chan struct{}  // closed by Close
	active    sync.WaitGroup // Run and the running exchanges

	mu     sync.Mutex // guards ledger and down; never held during a call to the store
	ledger *quota.Ledger
	down   bool // whether the last exchange failed
}

// Open returns the Quotas of a node. addr is the store's "host:port". clientName is the name of the node's connections at the
// store (CLIENT SETNAME). Open does not connect; the store may be unreachable. The caller starts Run and calls Close.
func Open(addr, clientName string, cfg quota.Config, log *zerolog.Logger) *Quotas {
	startedAt := time.Now()
	return &Quotas{
		log:       log,
		done:      make(chan struct{}),
		startedAt: startedAt,
		ledger:    quota.New(cfg, time.Duration(startedAt.UnixNano())),
		client: redis.NewClient(&redis.Options{
			Addr:                  addr,
			ClientName:            clientName,
			Protocol:              2,
			DisableIdentity:       true,
			MaxRetries:            -1, // no retries
			PoolSize:              maxConnections,
			DialTimeout:           cfg.Timeout,
			ReadTimeout:           cfg.Timeout,
			WriteTimeout:          cfg.Timeout,
			PoolTimeout:           cfg.Timeout,
			ContextTimeoutEnabled: true,
		}),
	}
}

// now returns the time since the Unix epoch. It reads the wall clock at Open only, and the monotonic clock since. A wall
// clock that is stepped back would otherwise keep the node in one window.
func (q *Quotas) now() time.Duration {
	return time.Duration(q.startedAt.UnixNano()) + time.Since(q.startedAt)
}

// RecordDemand records the demand of a request, whether or not the request is admitted.
func (q *Quotas) RecordDemand(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordDemand(q.now(), c, units)
}

// Available returns the units that a customer may still use at this node in the current window. It returns +Inf for a
// customer without a quota.
func (q *Quotas) Available(c quota.Customer) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Available(q.now(), c)
}

// TrySpend uses units of a customer's quota and reports whether as many were available. If not, it uses none.
func (q *Quotas) TrySpend(c quota.Customer, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.TrySpend(q.now(), c, units)
}

// RecordUse records the use of units. It may exceed the available units.
func (q *Quotas) RecordUse(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordUse(q.now(), c, units)
}

// Run carries out exchanges until Close. Each exchange has its own goroutine, which ends within the exchange's timeout.
func (q *Quotas) Run() {
	q.active.Add(1)
	defer q.active.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for interval := minPollInterval; ; {
		select {
		case <-q.done:
			return
		case <-timer.C:
		}
		begun := false
		for exchange, ok := q.next(); ok; exchange, ok = q.next() {
			begun = true
			q.active.Add(1)
			go q.exchange(exchange)
		}
		interval = min(2*interval, maxPollInterval)
		if begun {
			interval = minPollInterval
		}
		timer.Reset(interval)
	}
}

// next returns the Ledger's next exchange, or false if there is none.
func (q *Quotas) next() (quota.Exchange, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Next(q.now())
}

// Close ends Run, waits for Run and the running exchanges, and closes the connections. It must be called once.
func (q *Quotas) Close() {
	close(q.done)
	q.active.Wait()
	_ = q.client.Close() // an error would have no consequence: no exchange is running
}

// exchange carries out an exchange and reports its end to the Ledger. It logs the first failure and the first success after
// failures.
func (q *Quotas) exchange(x quota.Exchange) {
	defer q.active.Done()
	ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
	defer cancel()
	reply, err := putAndRead(ctx, q.client, x)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.HandleReply(q.now(), x.ID, reply, err)
	if down := err != nil; down != q.down {
		q.down = down
		if down {
			q.log.Warn().Err(err).Msg("the quota store does not answer")
		} else {
			q.log.Info().Msg("the quota store answers again")
		}
	}
}

// MarshalZerologObject adds the counters to a log event.
func (q *Quotas) MarshalZerologObject(e *zerolog.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.ledger.Counters()
	e.Bool("down", q.down).Int64("exchanges", c.Exchanges).Int64("failed", c.Failed).Int64("late", c.Late).
		Int64("forgotten", c.Forgotten).Int64("borrowed", c.Borrowed).Int64("released", c.Released).Int64("rejected", c.Rejected)
}
