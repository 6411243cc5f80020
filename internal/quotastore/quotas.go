// Package quotastore carries out the exchanges of internal/quota with a store that speaks Redis's protocol (RESP2, by
// go-redis). It decides nothing: what is put, when, and what an answer means is decided there. An exchange has the
// deadline that quota.Ledger gives it and is never repeated here; no request waits for one.
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
	maxConnections  = 4 // of one node
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond // while there is nothing to exchange
)

// Quotas enforces the quotas at one node with leases from a store. It is safe for concurrent use; only Run and Close wait for
// the store.
type Quotas struct {
	client    *redis.Client
	log       *zerolog.Logger
	startedAt time.Time
	done      chan struct{}  // closed by Close
	active    sync.WaitGroup // Run and the exchanges under way

	// mu guards what follows. It is never held during a call to the store.
	mu     sync.Mutex
	ledger *quota.Ledger
	down   bool // the last exchange failed: logged once, not each time
}

// Open returns the Quotas of a node, whose connections have its name. It does not wait for the store, which may be
// unreachable.
func Open(addr, name string, cfg quota.Config, log *zerolog.Logger) *Quotas {
	startedAt := time.Now()
	return &Quotas{
		log:       log,
		done:      make(chan struct{}),
		startedAt: startedAt,
		ledger:    quota.New(cfg, time.Duration(startedAt.UnixNano())),
		client: redis.NewClient(&redis.Options{
			Addr:                  addr,
			ClientName:            name,
			Protocol:              2,
			DisableIdentity:       true,
			MaxRetries:            -1, // none
			PoolSize:              maxConnections,
			DialTimeout:           cfg.Timeout,
			ReadTimeout:           cfg.Timeout,
			WriteTimeout:          cfg.Timeout,
			PoolTimeout:           cfg.Timeout,
			ContextTimeoutEnabled: true,
		}),
	}
}

// now returns the time since the Unix epoch on the clock that all nodes share, as it was at the start and steady from then
// on: windows are spans of real time, and a clock that is stepped back would else keep its node in one window for as long.
func (q *Quotas) now() time.Duration {
	return time.Duration(q.startedAt.UnixNano()) + time.Since(q.startedAt)
}

// RecordDemand records a request of a customer, whether it is admitted or not.
func (q *Quotas) RecordDemand(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordDemand(q.now(), c, units)
}

// Available returns the units that a customer may still use at this node in this window; +Inf without a quota.
func (q *Quotas) Available(c quota.Customer) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Available(q.now(), c)
}

// TrySpend uses units of what is available to a customer, and reports whether there was enough; else it uses nothing.
func (q *Quotas) TrySpend(c quota.Customer, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.TrySpend(q.now(), c, units)
}

// RecordUse records units that were used, also beyond what was available.
func (q *Quotas) RecordUse(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordUse(q.now(), c, units)
}

// Run carries out exchanges until Close, each on a goroutine of its own that ends by the exchange's timeout.
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

func (q *Quotas) next() (quota.Exchange, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Next(q.now())
}

// Close ends Run, and waits for it and the exchanges under way. It must be called once.
func (q *Quotas) Close() {
	close(q.done)
	q.active.Wait()
	_ = q.client.Close() // nothing is sent any more
}

// exchange carries out one exchange and reports it.
func (q *Quotas) exchange(x quota.Exchange) {
	defer q.active.Done()
	ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
	defer cancel()
	store, entries, err := putAndRead(ctx, q.client, x)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.HandleReply(q.now(), x.ID, store, entries, err)
	if down := err != nil; down != q.down {
		q.down = down
		if down {
			q.log.Warn().Err(err).Msg("the quota store does not answer")
		} else {
			q.log.Info().Msg("the quota store answers again")
		}
	}
}

// MarshalZerologObject writes the counters to a log event.
func (q *Quotas) MarshalZerologObject(e *zerolog.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.ledger.Counters()
	e.Bool("down", q.down).Int64("exchanges", c.Exchanges).Int64("failed", c.Failed).Int64("late", c.Late).
		Int64("forgotten", c.Forgotten).Int64("borrowed", c.Borrowed).Int64("released", c.Released).Int64("rejected", c.Rejected)
}
