package scale

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

const firstTimerRetry = 50 * time.Millisecond

// incarnation is one start of a simulated node.
type incarnation struct {
	router   *routing.Router
	timer    *time.Timer
	timerDue atomic.Int64 // when the timer is to go off, Unix ns
	ended    atomic.Bool  // another incarnation has taken over
	inFlight atomic.Int64 // requests

	mu      sync.Mutex        // guards drained
	drained map[int]time.Time // servers that are not to be used, and when the node learned so
}

// newIncarnation starts the node afresh.
func (n *simulatedNode) newIncarnation(seed uint64) *incarnation {
	inc := &incarnation{drained: map[int]time.Time{}}
	inc.timer = time.AfterFunc(time.Hour, func() { n.timerFired(inc) })
	inc.router = routing.New(routing.Config{
		Seed:     rand.New(rand.NewPCG(seed, uint64(n.number))).Uint64(),
		Settings: engineSettings(n.fleet.cfg.Config, n.number),
		SetTimer: func(after time.Duration) {
			inc.timerDue.Store(time.Now().Add(after).UnixNano())
			inc.timer.Reset(after)
		},
		SendToPeer:    func(peer int, payload []byte) { n.send(inc, peer, payload) },
		PollEndpoints: func() {},
		LogSummary:    func([]byte) {},
	})
	return inc
}

func (n *simulatedNode) timerFired(inc *incarnation) {
	select {
	case <-n.fleet.ready:
	default: // until all have their first list those that have it stand by: a set-up would take minutes else
		inc.timer.Reset(firstTimerRetry)
		return
	}
	due := time.Unix(0, inc.timerDue.Load())
	n.fleet.withEngineSlot(func() {
		if !inc.ended.Load() || inc.inFlight.Load() > 0 {
			n.fleet.recordTimerLag(due)
			inc.router.TimerFired()
		}
	})
}

// applyList passes a list to the engine and records the draining servers. A list from the cache is that of an earlier
// incarnation.
func (inc *incarnation) applyList(list *protocol.EndpointList, serverNumbers map[netip.AddrPort]int, origin routing.ListOrigin) {
	inc.router.UpdateEndpoints(list, origin)
	now := time.Now()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	for _, endpoint := range list.Endpoints {
		i, ok := serverNumbers[endpoint.Addr]
		if !ok {
			continue
		}
		if _, noted := inc.drained[i]; endpoint.State == protocol.InService {
			delete(inc.drained, i)
		} else if !noted {
			inc.drained[i] = now
		}
	}
}

// drainedFor is how long the node has known that a server drains; 0 where it doesn't.
func (inc *incarnation) drainedFor(server int) time.Duration {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	since, drained := inc.drained[server]
	if !drained {
		return 0
	}
	return time.Since(since)
}
