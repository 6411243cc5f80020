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

// Six nodes and a store that is cut, split, swapped for an empty one, fails over with late and duplicate entries, forgets,
// is full and stands still, one after the other: a customer asked for at twice its quota, mostly through one node,
// gets no more than a tenth over it, no spending waits for the store, and afterwards its quota is used again.
func TestQuotaHoldsWhateverTheStoreDoes(t *testing.T) {
	const nodes = 6
	server, err := lab.Start("127.0.0.1:0", 5, []lab.Fault{
		{Kind: "cut", At: 2, For: 1},
		{Kind: "split", At: 3.5, For: 1.5},
		{Kind: "empty", At: 5.5},
		{Kind: "failover", At: 6.5, For: 0.5, LoseMs: 300},
		{Kind: "forget", At: 7.5, For: 1, Chance: 0.3},
		{Kind: "full", At: 9, For: 0.7},
		{Kind: "stall", At: 10, For: 1},
		{Kind: "slow", At: 11, For: 0.5, DelayMs: 20},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	spenders := startSpenders(t, server.Addr(), quota.Customer{Key: 7, Rate: 400, Burst: 800, Spread: nodes}, 13*time.Second)
	spenders.running.Wait()
	var total quota.Counters
	for _, q := range spenders.quotas {
		c := q.ledger.Counters()
		total.Exchanges += c.Exchanges
		total.Failed += c.Failed
		total.Borrowed += c.Borrowed
		q.Close()
	}
	rate, slowest := spenders.customer.Rate, time.Duration(spenders.slowest.Load())
	used := float64(spenders.spent.Load()) / (rate * spenders.end.Sub(spenders.begin).Seconds())
	t.Logf("%.3f of the quota, %+v, %d in the last second, slowest %v", used, total, spenders.spentLast.Load(), slowest)
	if used > 1.1 || used < 0.5 {
		t.Errorf("%.3f of the quota was used", used)
	}
	if total.Failed < 10 || total.Borrowed < 20 || float64(spenders.spentLast.Load()) < 0.7*rate {
		t.Errorf("%+v, %d spent in the last second of %v", total, spenders.spentLast.Load(), rate)
	}
	if slowest > 50*time.Millisecond { // the store's calls are given up after 60
		t.Errorf("a spending took %v", slowest)
	}
}

// spenders ask for a customer's quota at some nodes, twice as much as it is.
type spenders struct {
	customer   quota.Customer
	quotas     []*Quotas
	begin, end time.Time
	running    sync.WaitGroup

	spent, spentLast atomic.Int64 // units, and those of the last second
	slowest          atomic.Int64 // ns that a spending took
}

// startSpenders starts one node for each of the customer's set. They spend for so long, from the next full second on.
func startSpenders(t *testing.T, store string, customer quota.Customer, span time.Duration) *spenders {
	t.Helper()
	log := zerolog.Nop()
	begin := time.Now().Truncate(time.Second).Add(time.Second) // a window begins
	s := &spenders{customer: customer, begin: begin, end: begin.Add(span)}
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

// spend spends at node i, which asks for 2^i parts of the demand.
func (s *spenders) spend(q *Quotas, i int) {
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

func (s *spenders) spendOne(q *Quotas) {
	before := time.Now()
	q.RecordDemand(s.customer, 1)
	if q.TrySpend(s.customer, 1) {
		s.spent.Add(1)
		if time.Now().After(s.end.Add(-time.Second)) {
			s.spentLast.Add(1)
		}
	}
	s.slowest.Store(max(s.slowest.Load(), int64(time.Since(before))))
}

// The stand-in answers as the protocol says, and a client of another make gets on with it.
func TestStandInSpeaksTheProtocol(t *testing.T) {
	server, err := lab.Start("127.0.0.1:0", 1, []lab.Fault{{Kind: "full", At: 0.4, For: 60}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	db := redis.NewClient(&redis.Options{Addr: server.Addr(), Protocol: 2, MaxRetries: -1})
	defer func() { _ = db.Close() }()
	ctx := context.Background()
	db.Set(ctx, "a", "5", 0)
	db.IncrBy(ctx, "a", 7)
	db.IncrBy(ctx, "b", -3)
	db.HSet(ctx, "h", "x", 1, "y", 2)
	set := db.SetNX(ctx, "a", "1", 0).Val()
	db.Set(ctx, "gone", "1", 0)
	db.PExpire(ctx, "gone", 5*time.Millisecond)
	time.Sleep(10 * time.Millisecond)
	got := fmt.Sprintln(db.Get(ctx, "a").Val(), db.Get(ctx, "b").Val(), set, db.HGetAll(ctx, "h").Val(),
		db.Get(ctx, "gone").Err(), db.Get(ctx, "never").Err(), db.Do(ctx, "GET").Err(), db.Do(ctx, "FLY").Err(),
		db.Expire(ctx, "never", time.Second).Val(), db.Del(ctx, "a", "never").Val())
	want := "12 -3 false map[x:1 y:2] redis: nil redis: nil ERR wrong number of arguments for 'get' command ERR unknown " +
		"command 'FLY' false 1\n"
	if got != want {
		t.Errorf("\n%s, want\n%s", got, want)
	}
	time.Sleep(450 * time.Millisecond)
	_, err = db.TxPipelined(ctx, func(p redis.Pipeliner) error { return p.Set(ctx, "b", 1, 0).Err() })
	if err == nil || db.Set(ctx, "b", 1, 0).Err() == nil || db.Get(ctx, "b").Val() != "-3" {
		t.Error("a full store took a write")
	}
	if _, err := lab.Start("127.0.0.1:0", 1, []lab.Fault{{Kind: "melt"}}); err == nil {
		t.Error("a fault that is not known was taken")
	}
}
