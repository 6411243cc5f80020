package quotastore

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"

	lab "cherrygap/internal/lab/store"
	"cherrygap/internal/quota"
)

// Six nodes and a store that is cut, split, swapped for an empty one, fails over with late and doubled entries, forgets,
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
	log := zerolog.Nop()
	c := quota.Customer{Key: 7, Rate: 400, Burst: 800, Spread: nodes}
	var spent, calm, slowest atomic.Int64
	began := time.Now().Truncate(time.Second).Add(time.Second) // a window begins
	end := began.Add(13 * time.Second)
	done := make(chan *Quotas, nodes)
	for k := range nodes {
		go func() {
			q := Open(server.Addr(), fmt.Sprint("n", k), quota.Config{Self: k, Nodes: nodes, Seed: 9, Timeout: 60 * time.Millisecond}, &log)
			go q.Run()
			r := rand.New(rand.NewSource(int64(k)))
			time.Sleep(time.Until(began))
			for at := began; at.Before(end); at = at.Add(time.Millisecond) {
				time.Sleep(time.Until(at))
				for n := 2 * c.Rate / 1000 * float64(int(1)<<k) / (1<<nodes - 1); n > 0; n-- {
					if r.Float64() >= n {
						break
					}
					before := time.Now()
					q.RecordDemand(c, 1)
					if q.TrySpend(c, 1) {
						spent.Add(1)
						if time.Now().After(end.Add(-time.Second)) {
							calm.Add(1)
						}
					}
					slowest.Store(max(slowest.Load(), int64(time.Since(before))))
				}
			}
			done <- q
		}()
	}
	calls, failed, borrowed := int64(0), int64(0), int64(0)
	for range nodes {
		q := <-done
		n := q.node.Count()
		calls, failed, borrowed = calls+n.Calls, failed+n.Failed, borrowed+n.Borrowed
		q.Close()
	}
	used := float64(spent.Load()) / (c.Rate * end.Sub(began).Seconds())
	t.Logf("%.3f of the quota, %d calls, %d failed, %d borrowed, %d in the last second, slowest %v", used, calls, failed,
		borrowed, calm.Load(), time.Duration(slowest.Load()))
	if used > 1.1 || used < 0.5 {
		t.Errorf("%.3f of the quota was used", used)
	}
	if failed < 10 || borrowed < 20 || float64(calm.Load()) < 0.7*c.Rate {
		t.Errorf("%d failed, %d borrowed, %d spent in the last second of 400", failed, borrowed, calm.Load())
	}
	if time.Duration(slowest.Load()) > 50*time.Millisecond { // the store's calls are given up after 60
		t.Errorf("a spending took %v", time.Duration(slowest.Load()))
	}
}

// The stand-in answers as the protocol says, and a client of another make gets on with it.
func TestStandInSpeaksTheProtocol(t *testing.T) {
	server, err := lab.Start("127.0.0.1:0", 1, []lab.Fault{{Kind: "full", At: 0.4, For: 60}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	db := redis.NewClient(&redis.Options{Addr: server.Addr(), Protocol: 2, MaxRetries: -1})
	defer db.Close()
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
