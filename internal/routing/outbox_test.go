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

// TestBlockedMessageDelaysNoRequest guards against requests that wait for a peer message: a goroutine that blocks on the
// peers' socket must not hold the lock.
func TestBlockedMessageDelaysNoRequest(t *testing.T) {
	set := oneClassSettings(settings.RetrySafe)
	set[settings.Nodes], set[settings.Peers], set[settings.PeerRate] = "3", settings.On, "40"
	now := time.Unix(1000, 0)
	unblock, sent := make(chan struct{}), atomic.Int64{}
	r := newRouter(t, Config{
		Settings:   settings.Parse(set),
		SendToPeer: func(int, []byte) { sent.Add(1); <-unblock },
		Clock:      func() time.Time { return now },
	})
	r.UpdateEndpoints(serverList(3, protocol.InService), FromCache)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		now = now.Add(time.Second)
		var ticks sync.WaitGroup
		ticks.Add(1)
		go func() { defer ticks.Done(); r.TimerFired() }() // SendToPeer blocks.
		for sent.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		now = now.Add(time.Second)
		r.TimerFired() // Its messages queue behind the blocked one.
		now = now.Add(20 * time.Millisecond)
		req := r.NewRequest(&cancelRecorder{})
		for range 5 {
			req.Start(&seatRequest, 2*time.Second)
			if d := req.Next(); d.Action != Forward {
				t.Errorf("Next() while a peer message blocks = %+v, want Action %d (Forward)", d, Forward)
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
		t.Fatal("requests did not finish within 5 s while a peer message blocked")
	}
	if sent.Load() < 2 {
		t.Errorf("messages sent = %d, want at least 2: the blocked one and those queued behind it", sent.Load())
	}
}

// TestBlockedMessageDelaysNoPoll guards against a poll of the discovery service that waits for a blocked peer message.
func TestBlockedMessageDelaysNoPoll(t *testing.T) {
	set := oneClassSettings(settings.RetrySafe)
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
	go func() { defer tick.Done(); r.TimerFired() }() // SendToPeer blocks.
	for end := time.Now().Add(5 * time.Second); sent.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if len(polls) != 1 {
		t.Errorf("polls after the first tick = %d, want 1", len(polls))
	}
	r.PollFailed()
	now = now.Add(3 * time.Second)
	r.TimerFired()
	if len(polls) != 2 {
		t.Errorf("polls after a failed poll = %d, want 2", len(polls))
	}
	close(unblock)
	tick.Wait()
}

// TestOutboxDeliversInOrder checks that messages are delivered in the order of the engine's decisions, and the summary after
// the messages. All are copies, and are delivered without the lock.
func TestOutboxDeliversInOrder(t *testing.T) {
	var delivered []string
	var r *Router
	checkUnlocked := func() {
		if !r.mu.TryLock() {
			t.Error("outbox was delivered with the lock held, want it free")
			return
		}
		r.mu.Unlock()
	}
	r = newRouter(t, Config{
		Settings: settings.Parse(oneClassSettings(settings.RetrySafe)),
		SendToPeer: func(peer int, payload []byte) {
			checkUnlocked()
			delivered = append(delivered, fmt.Sprintf("%d %s", peer, payload))
			if string(payload) == "b" { // A message that is added during a delivery comes after the queued ones.
				r.mu.Lock()
				r.outbox.addMessage(9, []byte("later"))
				r.deliver()
			}
		},
		LogSummary: func(summary []byte) {
			checkUnlocked()
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
		t.Errorf("delivered = %q, want %q", delivered, want)
	}
	if !r.mu.TryLock() {
		t.Fatal("deliver returned with the lock held, want it free")
	}
	defer r.mu.Unlock()
	if r.outbox.delivering || !r.outbox.empty() {
		t.Errorf("after deliver the outbox is %+v, want it empty and not delivering", &r.outbox)
	}
}

// TestOutboxIsBounded guards against an outbox that grows while a message blocks: messages beyond maxQueuedMessages are
// dropped.
func TestOutboxIsBounded(t *testing.T) {
	var r *Router
	var delivered []int
	r = newRouter(t, Config{
		Settings: settings.Parse(oneClassSettings(settings.RetrySafe)),
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
		t.Errorf("delivered %d messages, numbers from index %d on: %d; want %d, [%d]", len(delivered), maxQueuedMessages,
			delivered[min(maxQueuedMessages, len(delivered)):], maxQueuedMessages+1, maxQueuedMessages)
	}
}
