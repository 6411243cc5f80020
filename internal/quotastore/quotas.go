// Package quotastore runs a quota.Ledger against a store that speaks the Redis protocol (RESP2, with go-redis). The Ledger
// decides when to exchange, and evaluates the replies. This package only carries out the exchanges. Each runs within the
// timeout that the Ledger gives, without retries. No request waits for the store.
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
	// maxConnections is the largest number of connections of a node to the store.
	maxConnections = 4
	// minPollInterval and maxPollInterval bound the time between two calls of Ledger.Next. The interval doubles while the
	// Ledger has no exchange.
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond
)

// Quotas enforces the quotas at one node with leases from a store. It is safe for concurrent use. Only Close waits for the
// store.
type Quotas struct {
	client    *storeClient // connections to the store
	log       *zerolog.Logger
	startedAt time.Time      // time of Open by the wall clock and the monotonic clock
	done      chan struct{}  // channel that Close closes
	running   sync.WaitGroup // counts Run and the running exchanges

	mu        sync.Mutex // guards ledger and storeDown; not held during a call to the store
	ledger    *quota.Ledger
	storeDown bool // whether the exchange that ended last had failed
}

// Open returns the Quotas of a node. addr is the store's "host:port". clientName is the name of the node's connections at
// the store (CLIENT SETNAME). Open does not connect, so the store may be unreachable. The caller starts Run and calls Close.
func Open(addr, clientName string, cfg quota.Config, log *zerolog.Logger) *Quotas {
	startedAt := time.Now()
	return &Quotas{
		log:       log,
		done:      make(chan struct{}),
		startedAt: startedAt,
		ledger:    quota.New(cfg, time.Duration(startedAt.UnixNano())),
		client: newStoreClient(&redis.Options{
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

// now returns the time since the Unix epoch. now reads the wall clock at Open only, and the monotonic clock after that.
// Otherwise a wall clock that is stepped back would keep the node in one window.
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

// TrySpend uses units of a customer's quota and reports whether that many were available. If not, no units are used.
func (q *Quotas) TrySpend(c quota.Customer, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.TrySpend(q.now(), c, units)
}

// RecordUse records the use of units. The units may exceed the available ones.
func (q *Quotas) RecordUse(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordUse(q.now(), c, units)
}

// Run carries out exchanges until Close. Each exchange has its own goroutine, which ends within the timeout of the exchange.
func (q *Quotas) Run() {
	q.running.Add(1)
	defer q.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for interval := minPollInterval; ; {
		select {
		case <-q.done:
			return
		case <-timer.C:
		}
		started := false
		for exchange, ok := q.next(); ok; exchange, ok = q.next() {
			started = true
			q.running.Add(1)
			go q.exchange(exchange)
		}
		interval = min(2*interval, maxPollInterval)
		if started {
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

// Close ends Run, waits for Run and the running exchanges, and closes the connections. Call Close exactly once.
func (q *Quotas) Close() {
	close(q.done)
	q.running.Wait()
	_ = q.client.Close() // no exchange is running, so an error has no consequence
}

// exchange carries out an exchange and reports its end to the Ledger. exchange logs the first failure, and the first success
// after failures.
func (q *Quotas) exchange(exchange quota.Exchange) {
	defer q.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), exchange.Timeout)
	defer cancel()
	reply, err := putAndRead(ctx, q.client, exchange)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.HandleReply(q.now(), exchange.ID, reply, err)
	if storeDown := err != nil; storeDown != q.storeDown {
		q.storeDown = storeDown
		if storeDown {
			q.log.Warn().Err(err).Msg("exchange with the quota store failed")
		} else {
			q.log.Info().Msg("exchange with the quota store succeeded after failures")
		}
	}
}

// MarshalZerologObject adds the counters and the state of the store to a log event.
func (q *Quotas) MarshalZerologObject(e *zerolog.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.ledger.Counters()
	e.Bool("down", q.storeDown).Int64("exchanges", c.Exchanges).Int64("failed", c.Failed).Int64("late", c.LateReplies).
		Int64("forgotten", c.LossReplies).Int64("borrowed", c.Borrowed).Int64("released", c.Released).Int64("rejected", c.Rejected)
}
