package quotastore

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"

	lab "cherrygap/internal/lab/store"
	"cherrygap/internal/quota"
)

// TestQuotaHoldsWithAnyStoreFault guards against overuse while the store fails. A customer's demand is twice its quota,
// about half of it at one of six nodes. The store has all its faults, one after the other. The customer gets at most a tenth
// more than its quota, and no call waits for the store. After the faults the quota is used again.
func TestQuotaHoldsWithAnyStoreFault(t *testing.T) {
	const nodes = 6
	server, err := lab.Start("127.0.0.1:0", 5, []lab.Fault{
		{Kind: "cut", StartS: 2, DurationS: 1},
		{Kind: "split", StartS: 3.5, DurationS: 1.5},
		{Kind: "empty", StartS: 5.5},
		{Kind: "failover", StartS: 6.5, DurationS: 0.5, LossWindowMs: 300},
		{Kind: "forget", StartS: 7.5, DurationS: 1, LossProbability: 0.3},
		{Kind: "full", StartS: 9, DurationS: 0.7},
		{Kind: "stall", StartS: 10, DurationS: 1},
		{Kind: "slow", StartS: 11, DurationS: 0.5, DelayMs: 20},
	})
	if err != nil {
		t.Fatal("starting the store:", err)
	}
	defer server.Close()
	fleet := startSpendingFleet(t, server.Addr(), quota.Customer{Key: 7, Rate: 400, Burst: 800, Spread: nodes}, 13*time.Second)
	fleet.running.Wait()
	var total quota.Counters
	for _, q := range fleet.quotas {
		c := q.ledger.Counters()
		total.Exchanges += c.Exchanges
		total.Failed += c.Failed
		total.Borrowed += c.Borrowed
		q.Close()
	}
	rate, longestCall := fleet.customer.Rate, time.Duration(fleet.longestCall.Load())
	quotaShare := float64(fleet.spentUnits.Load()) / (rate * fleet.end.Sub(fleet.begin).Seconds())
	t.Logf("%.3f of the quota used, counters %+v, %d units spent in the last second, longest call %v",
		quotaShare, total, fleet.spentInLastSecond.Load(), longestCall)
	if quotaShare > 1.1 || quotaShare < 0.5 {
		t.Errorf("%.4f of the quota was used, want 0.5 to 1.1", quotaShare)
	}
	if total.Failed < 10 || total.Borrowed < 20 || float64(fleet.spentInLastSecond.Load()) < 0.7*rate {
		t.Errorf("counters %+v, %d units spent in the last second; want Failed at least 10, Borrowed at least 20, and at least %v units",
			total, fleet.spentInLastSecond.Load(), 0.7*rate)
	}
	if longestCall > 50*time.Millisecond { // an exchange with the store times out after 60 ms
		t.Errorf("longest RecordDemand with TrySpend took %v, want at most 50ms", longestCall)
	}
}

// spendingFleet is a fleet at which a customer's demand is twice its quota.
type spendingFleet struct {
	customer   quota.Customer
	quotas     []*Quotas
	begin, end time.Time      // first and last time of a call
	running    sync.WaitGroup // counts the nodes that spend

	spentUnits        atomic.Int64 // units spent by all nodes
	spentInLastSecond atomic.Int64 // units spent by all nodes in the last second
	longestCall       atomic.Int64 // longest time of a RecordDemand and TrySpend, in nanoseconds
}

// startSpendingFleet starts the nodes of the customer's set. They spend for duration, from the next full second on.
func startSpendingFleet(t *testing.T, store string, customer quota.Customer, duration time.Duration) *spendingFleet {
	t.Helper()
	log := zerolog.Nop()
	begin := time.Now().Truncate(time.Second).Add(time.Second) // start of a window
	s := &spendingFleet{customer: customer, begin: begin, end: begin.Add(duration)}
	for i := range customer.Spread {
		q := Open(store, fmt.Sprint("n", i), quota.Config{
			Self: quota.NodeID(i), Nodes: customer.Spread, Seed: 9, Timeout: 60 * time.Millisecond,
		}, &log)
		s.quotas = append(s.quotas, q)
		go q.Run()
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.spend(q, i)
		}()
	}
	return s
}

// spend spends units at node i, which has 2^i parts of the demand.
func (s *spendingFleet) spend(q *Quotas, i int) {
	random := rand.New(rand.NewSource(int64(i)))
	share := float64(int(1)<<i) / float64(int(1)<<s.customer.Spread-1)
	time.Sleep(time.Until(s.begin))
	for at := s.begin; at.Before(s.end); at = at.Add(time.Millisecond) {
		time.Sleep(time.Until(at))
		for mean := 2 * s.customer.Rate / 1000 * share; mean > 0 && random.Float64() < mean; mean-- {
			s.spendOne(q)
		}
	}
}

// spendOne tries to spend one unit at a node, and records the result and the time taken.
func (s *spendingFleet) spendOne(q *Quotas) {
	calledAt := time.Now()
	q.RecordDemand(s.customer, 1)
	if q.TrySpend(s.customer, 1) {
		s.spentUnits.Add(1)
		if time.Now().After(s.end.Add(-time.Second)) {
			s.spentInLastSecond.Add(1)
		}
	}
	s.longestCall.Store(max(s.longestCall.Load(), int64(time.Since(calledAt))))
}

// TestLabStoreSpeaksRedisProtocol guards against a lab store that tests the client with replies that Redis would not send.
// The lab store replies to go-redis as Redis does.
func TestLabStoreSpeaksRedisProtocol(t *testing.T) {
	server, err := lab.Start("127.0.0.1:0", 1, []lab.Fault{{Kind: "full", StartS: 0.4, DurationS: 60}})
	if err != nil {
		t.Fatal("starting the store:", err)
	}
	defer server.Close()
	client := redis.NewClient(&redis.Options{Addr: server.Addr(), Protocol: 2, MaxRetries: -1})
	defer func() { _ = client.Close() }()
	ctx := context.Background()
	client.Set(ctx, "a", "5", 0)
	client.IncrBy(ctx, "a", 7)
	client.IncrBy(ctx, "b", -3)
	client.HSet(ctx, "h", "x", 1, "y", 2)
	set := client.SetNX(ctx, "a", "1", 0).Val()
	client.Set(ctx, "gone", "1", 0)
	client.PExpire(ctx, "gone", 5*time.Millisecond)
	time.Sleep(10 * time.Millisecond)
	got := fmt.Sprintln(client.Get(ctx, "a").Val(), client.Get(ctx, "b").Val(), set, client.HGetAll(ctx, "h").Val(),
		client.Get(ctx, "gone").Err(), client.Get(ctx, "never").Err(), client.Do(ctx, "GET").Err(), client.Do(ctx, "FLY").Err(),
		client.Expire(ctx, "never", time.Second).Val(), client.Del(ctx, "a", "never").Val())
	want := "12 -3 false map[x:1 y:2] redis: nil redis: nil ERR wrong number of arguments for 'get' command ERR unknown " +
		"command 'FLY' false 1\n"
	if got != want {
		t.Errorf("replies of the store =\n%s, want\n%s", got, want)
	}
	time.Sleep(450 * time.Millisecond)
	_, err = client.TxPipelined(ctx, func(p redis.Pipeliner) error { return p.Set(ctx, "b", 1, 0).Err() })
	if err == nil || client.Set(ctx, "b", 1, 0).Err() == nil || client.Get(ctx, "b").Val() != "-3" {
		t.Errorf("full store: transaction error %v, GET b = %q; want errors of the transaction and of SET, and GET b = \"-3\"",
			err, client.Get(ctx, "b").Val())
	}
	if _, err := lab.Start("127.0.0.1:0", 1, []lab.Fault{{Kind: "melt"}}); err == nil {
		t.Error("Start accepted a fault of the unknown kind \"melt\", want an error")
	}
}
