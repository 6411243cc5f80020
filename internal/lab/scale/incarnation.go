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

// notReadyRetryDelay is the delay until an engine's timer fires again if it fired before all nodes had their first list.
const notReadyRetryDelay = 50 * time.Millisecond

// incarnation is the state of a simulated node from one start to the next.
type incarnation struct {
	router   *routing.Router
	timer    *time.Timer
	timerDue atomic.Int64 // time at which the timer should fire, Unix ns
	ended    atomic.Bool  // whether a later incarnation has replaced this one
	inFlight atomic.Int64 // number of requests in flight

	mu      sync.Mutex        // guards drained
	drained map[int]time.Time // time at which the node learned that a server is out of service, by server number
}

// newIncarnation returns an incarnation with the engine in its initial state. The engine's seed depends on seed and on the
// node's number.
func (n *simulatedNode) newIncarnation(seed uint64) *incarnation {
	inc := &incarnation{drained: map[int]time.Time{}}
	inc.timer = time.AfterFunc(time.Hour, func() { n.timerFired(inc) }) // SetTimer sets the actual delay
	inc.router = routing.New(routing.Config{
		Seed:     rand.New(rand.NewPCG(seed, uint64(n.number))).Uint64(),
		Settings: nodeSettings(n.fleet.cfg.Config, n.number),
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

// timerFired calls the engine's periodic task. While some node has no endpoint list, timerFired only retries later, because the
// periodic tasks of the other nodes would delay the setup by minutes. For an ended incarnation without requests, timerFired
// skips the task.
func (n *simulatedNode) timerFired(inc *incarnation) {
	select {
	case <-n.fleet.ready:
	default:
		inc.timer.Reset(notReadyRetryDelay)
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

// applyList passes a list to the engine and records the servers out of service. If origin is routing.FromCache, an earlier
// incarnation received the list.
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
		if _, known := inc.drained[i]; endpoint.State == protocol.InService {
			delete(inc.drained, i)
		} else if !known {
			inc.drained[i] = now
		}
	}
}

// drainedFor returns the time since the node learned that a server is out of service. It returns 0 for a server in service.
func (inc *incarnation) drainedFor(server int) time.Duration {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	since, drained := inc.drained[server]
	if !drained {
		return 0
	}
	return time.Since(since)
}
