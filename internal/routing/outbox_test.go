package routing

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// A goroutine that waits for the peers' socket does not hold the lock, so that requests are not delayed.
func TestBlockedMessageDelaysNoRequest(t *testing.T) {
	set := settingsOf(settings.RetrySafe)
	set[settings.Nodes], set[settings.Peers], set[settings.PeerRate] = "3", settings.On, "40"
	now := time.Unix(1000, 0)
	unblock, sent := make(chan struct{}), atomic.Int64{}
	r := newRouter(t, Config{
		Settings:   settings.Parse(set),
		SendToPeer: func(int, []byte) { sent.Add(1); <-unblock },
		Clock:      func() time.Time { return now },
	})
	r.UpdateEndpoints(listOf(3, protocol.InService), FromCache)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		now = now.Add(time.Second)
		var ticks sync.WaitGroup
		ticks.Add(1)
		go func() { defer ticks.Done(); r.TimerFired() }() // its messages block
		for sent.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		now = now.Add(time.Second)
		r.TimerFired() // so do these, which queue
		now = now.Add(20 * time.Millisecond)
		req := r.NewRequest(&cancelRecorder{})
		for range 5 {
			req.Start(&seatRequest, 2*time.Second)
			if d := req.Next(); d.Action != Forward {
				t.Errorf("%+v", d)
				break
			}
			req.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
		}
		close(unblock)
		ticks.Wait()
	}()
	select {
	case <-finished:
	case <-time.After(5 * time.Second):
		t.Fatal("requests wait for a message to peers")
	}
	if sent.Load() < 2 {
		t.Error("the messages behind a stuck one were lost")
	}
}

// A blocked peer message does not delay the next poll of the discovery service.
func TestBlockedMessageDelaysNoPoll(t *testing.T) {
	set := settingsOf(settings.RetrySafe)
	set[settings.Nodes], set[settings.Peers], set[settings.PeerRate] = "3", settings.On, "40"
	set[settings.EndpointList], set[settings.PollWithin] = settings.EndpointListPoll, "100000"
	now := time.Unix(1000, 0)
	unblock, sent, polls := make(chan struct{}), atomic.Int64{}, make(chan struct{}, 99)
	r := newRouter(t, Config{
		Settings:      settings.Parse(set),
		PollEndpoints: func() { polls <- struct{}{} },
		SendToPeer:    func(int, []byte) { sent.Add(1); <-unblock },
		Clock:         func() time.Time { return now },
	})
	now = now.Add(time.Second)
	var tick sync.WaitGroup
	tick.Add(1)
	go func() { defer tick.Done(); r.TimerFired() }() // its messages block
	for end := time.Now().Add(5 * time.Second); sent.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if len(polls) != 1 {
		t.Errorf("%d polls at the start", len(polls))
	}
	r.PollFailed()
	now = now.Add(3 * time.Second)
	r.TimerFired()
	if len(polls) != 2 {
		t.Errorf("%d polls after a call that failed", len(polls))
	}
	close(unblock)
	tick.Wait()
}

// Messages are delivered in the order of the engine's decisions, the summary after the messages before it. All are copies,
// delivered without the lock.
func TestOutboxDeliversInOrder(t *testing.T) {
	var delivered []string
	var r *Router
	unlocked := func() {
		if !r.mu.TryLock() {
			t.Error("delivered under the lock")
			return
		}
		r.mu.Unlock()
	}
	r = newRouter(t, Config{
		Settings: settings.Parse(settingsOf(settings.RetrySafe)),
		SendToPeer: func(peer int, payload []byte) {
			unlocked()
			delivered = append(delivered, fmt.Sprintf("%d %s", peer, payload))
			if string(payload) == "b" { // messages added during a delivery follow
				r.mu.Lock()
				r.outbox.addMessage(9, []byte("later"))
				r.deliver()
			}
		},
		LogSummary: func(summary []byte) {
			unlocked()
			delivered = append(delivered, "summary "+string(summary))
		},
	})
	scratch := []byte("a")
	r.mu.Lock()
	r.outbox.addMessage(2, scratch)
	scratch[0] = 's'
	r.outbox.setSummary([]byte("first"))
	r.outbox.setSummary(scratch)
	scratch[0] = 'b'
	r.outbox.addMessage(int(decision.AllPeers), scratch)
	scratch[0] = 'x'
	r.deliver()
	if want := []string{"2 a", "-1 b", "summary s", "9 later"}; !slices.Equal(delivered, want) {
		t.Errorf("delivered %q, not %q", delivered, want)
	}
	if !r.mu.TryLock() {
		t.Fatal("the lock was not freed")
	}
	defer r.mu.Unlock()
	if r.outbox.delivering || !r.outbox.empty() {
		t.Error("something is left in the outbox")
	}
}

// While a message blocks, maxQueuedMessages may queue; later ones are dropped.
func TestOutboxIsBounded(t *testing.T) {
	var r *Router
	var delivered []int
	r = newRouter(t, Config{
		Settings: settings.Parse(settingsOf(settings.RetrySafe)),
		SendToPeer: func(peer int, _ []byte) {
			if delivered = append(delivered, peer); len(delivered) > 1 {
				return
			}
			for i := range maxQueuedMessages + 10 {
				r.mu.Lock()
				r.outbox.addMessage(i+1, nil)
				r.deliver()
			}
		},
	})
	r.mu.Lock()
	r.outbox.addMessage(0, nil)
	r.deliver()
	if len(delivered) != maxQueuedMessages+1 || delivered[maxQueuedMessages] != maxQueuedMessages {
		t.Errorf("%d delivered, the last of them the message %d", len(delivered), delivered[len(delivered)-1])
	}
}
