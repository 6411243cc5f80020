// Package quotastore carries out the exchanges of internal/quota with a store that speaks Redis's protocol (RESP2, by
// go-redis). It decides nothing: what to put, when to call and what an answer means is that module's. A call has the
// deadline that the module gives and is never repeated here; no ticket waits for one.
package quotastore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"

	"cherrygap/internal/quota"
)

// idKey names the number of a store: whoever finds none sets one, so it lasts as long as the store's data.
const idKey = "quota:store"

const (
	connections = 4 // of one node, at most
	pollLeast   = 5 * time.Millisecond
	pollMost    = 100 * time.Millisecond
)

// Quotas is one node's part of the fleet's quotas over a store.
type Quotas struct {
	client *redis.Client
	log    *zerolog.Logger
	done   chan struct{}
	calls  sync.WaitGroup

	mu   sync.Mutex
	node *quota.Ledger
	down bool // the last exchange failed: said once, not each time
}

// Open makes a node's part. It does not wait for the store: one that is gone is called again by the module's word.
func Open(addr, name string, cfg quota.Config, log *zerolog.Logger) *Quotas {
	q := &Quotas{log: log, done: make(chan struct{}), node: quota.New(cfg, now())}
	q.client = redis.NewClient(&redis.Options{
		Addr: addr, ClientName: name, Protocol: 2, DisableIndentity: true,
		MaxRetries: -1, PoolSize: connections, DialTimeout: cfg.Timeout, ReadTimeout: cfg.Timeout, WriteTimeout: cfg.Timeout,
		PoolTimeout: cfg.Timeout, ContextTimeoutEnabled: true,
	})
	return q
}

// now is the time on the clock that all nodes share.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// RecordDemand notes a ticket of a customer, whether it passes or not.
func (q *Quotas) RecordDemand(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.RecordDemand(now(), c, units)
}

// Available is what a customer may still use here now.
func (q *Quotas) Available(c quota.Customer) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Available(now(), c)
}

// TrySpend uses units of a customer's quota, or tells false. It never waits for the store.
func (q *Quotas) TrySpend(c quota.Customer, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.TrySpend(now(), c, units)
}

// RecordUse counts units that were let pass in any case.
func (q *Quotas) RecordUse(c quota.Customer, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.RecordUse(now(), c, units)
}

// Run carries out exchanges until Close.
func (q *Quotas) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for wait := pollLeast; ; {
		select {
		case <-q.done:
			return
		case <-timer.C:
		}
		any := false
		for x, ok := q.next(); ok; x, ok = q.next() {
			any = true
			q.calls.Add(1)
			go q.call(x)
		}
		if wait = min(2*wait, pollMost); any {
			wait = pollLeast
		}
		timer.Reset(wait)
	}
}

func (q *Quotas) next() (quota.Exchange, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Next(now())
}

// Close ends Run and what it began.
func (q *Quotas) Close() {
	close(q.done)
	q.calls.Wait()
	q.client.Close()
}

// call carries out one exchange and reports it.
func (q *Quotas) call(x quota.Exchange) {
	defer q.calls.Done()
	ctx, cancel := context.WithTimeout(context.Background(), x.Wait)
	defer cancel()
	id, entries, err := q.exchange(ctx, x)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.HandleReply(now(), x.ID, id, entries, err == nil)
	if down := err != nil; down != q.down {
		q.down = down
		if down {
			q.log.Warn().Err(err).Msg("the quota store does not answer")
		} else {
			q.log.Info().Msg("the quota store answers again")
		}
	}
}

// errReply is an answer that makes no sense.
var errReply = errors.New("malformed answer of the store")

// exchange puts one entry and reads all, in one transaction.
func (q *Quotas) exchange(ctx context.Context, x quota.Exchange) (id uint64, entries []quota.Entry, err error) {
	key := fmt.Sprintf("quota:%x:%d", x.Key, x.Window)
	var got *redis.StringCmd
	var all *redis.MapStringStringCmd
	_, err = q.client.TxPipelined(ctx, func(p redis.Pipeliner) error {
		p.SetNX(ctx, idKey, rand.Uint64()|1, 0)
		got = p.Get(ctx, idKey)
		p.HSet(ctx, key, fmt.Sprintf("%d:%d", x.Put.Node, x.Put.Seq), strconv.FormatFloat(x.Put.Cap, 'g', -1, 64))
		p.PExpire(ctx, key, x.Keep)
		all = p.HGetAll(ctx, key)
		return nil
	})
	if err != nil {
		return 0, nil, err
	}
	if id, err = got.Uint64(); err != nil {
		return 0, nil, err
	}
	for field, value := range all.Val() {
		node, seq, _ := strings.Cut(field, ":")
		e := quota.Entry{}
		var bad [3]error
		e.Node, bad[0] = strconv.Atoi(node)
		e.Seq, bad[1] = strconv.Atoi(seq)
		e.Cap, bad[2] = strconv.ParseFloat(value, 64)
		if errors.Join(bad[:]...) != nil || !(e.Cap >= 0) {
			return 0, nil, fmt.Errorf("%w: %q is %q", errReply, field, value)
		}
		entries = append(entries, e)
	}
	return id, entries, nil
}

// MarshalZerologObject writes what was done so far.
func (q *Quotas) MarshalZerologObject(e *zerolog.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.node.Count()
	e.Bool("down", q.down).Int64("calls", c.Calls).Int64("failed", c.Failed).Int64("late", c.Late).
		Int64("lost", c.Lost).Int64("borrowed", c.Borrowed).Int64("ceded", c.Ceded).Int64("refused", c.Refused)
}
