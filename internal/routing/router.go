// Package routing is the facade of the decision module for network code, in blocking style: a ticket is
// taken, picked for, and its executions are reported; a timer ticks. It drives one module under one lock,
// maps names and addresses to the module's numbers and carries its decisions to those who wait for them.
package routing

import (
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
)

const (
	tenth       = 100 * time.Microsecond // the module's unit of time
	mostLetters = 1 << 10                // that wait while one is being told
)

// Config is what a Router needs to know.
type Config struct {
	Seed     uint64
	Settings map[string]string

	// Shadow are other settings, with the same bands and plans, that the module's decisions are compared with; nil
	// for none. They decide nothing: see Watched.
	Shadow map[string]string

	SetTimer func(after time.Duration) // sets the one timer, which is to call Tick; it must not call the Router

	// Clock gives the time; nil for the system's. The lab's fleet model passes a virtual one, so that the
	// same module runs at sizes and speeds that sockets don't reach. It must never go back.
	Clock func() time.Time

	// Ready, when set, is told of each ticket whose next step is made, under the lock: it must only note the
	// ticket, to Poll it once the call that made the step has returned. Nil where each ticket waits in Pick.
	OnDecision func(*Request)

	// Quota, when set, leases customers' quotas from the whole fleet's; the module then decides by what it allows. It is
	// called under the lock and must neither block nor call the Router. Nil: the module's own buckets.
	Quota Quota

	// PollEndpoints asks discovery to go on telling. As Wake is, it is called under the lock, and must neither block nor call the
	// Router: a message to peers that can't be sent must not keep the node from its list.
	PollEndpoints func()

	// What the module has done outside of tickets; called without the lock, one at a time each.
	SendToPeer func(peer int, text []byte) // to one node, or to all (below 0)
	LogSummary func(text []byte)
}

// Quota allows this node a part of its customers' quotas.
type Quota interface {
	RecordDemand(c quota.Customer, units float64) // a ticket came, whether it will pass or not
	Available(c quota.Customer) float64           // units that may pass now
	RecordUse(c quota.Customer, units float64)    // it passed
}

// Router drives one module.
type Router struct {
	cfg            Config
	classes, plans map[string]int
	quotas         []quota.Customer // by plan: rate and depth
	nodes          int
	largest        float64 // units of a ticket
	start          time.Time
	base           decision.Time

	mu       sync.Mutex
	node     *decision.Engine
	requests []*Request // by slot
	free     []uint32
	fleet    endpointTable
	outbox   []peerMessage // told once the lock is free,
	telling  bool          // by one at a time, in order
	note     []byte
}

type peerMessage struct {
	peer int
	text []byte
}

// New makes a Router over a fresh module.
func New(cfg Config) *Router {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	now := cfg.Clock()
	r := &Router{
		cfg: cfg, start: now, base: decision.Time(now.UnixNano() / int64(tenth)),
		classes: names(cfg.Settings, "band"), plans: names(cfg.Settings, "plan"), fleet: newEndpointTable(),
	}
	set := decision.Settings(cfg.Settings)
	r.nodes, r.largest = max(1, int(set.Number("nodes"))), set.Number("largest")
	for i := range len(r.plans) {
		r.quotas = append(r.quotas, quota.Customer{
			Rate:  set.Number(set.Key("plan", i, "rate")),
			Burst: set.Number(set.Key("plan", i, "depth")),
		})
	}
	r.node = decision.New(cfg.Seed, cfg.Settings, r.base)
	if cfg.Shadow != nil {
		r.node.StartShadow(cfg.Shadow)
	}
	return r
}

// names maps a list's names to their numbers.
func names(set map[string]string, list string) map[string]int {
	out := map[string]int{}
	n, _ := strconv.Atoi(set[list+".count"])
	for i := range n {
		out[set[list+"."+strconv.Itoa(i)+".name"]] = i
	}
	return out
}

// now is the module's clock: the system's at the start, steady from then on.
func (r *Router) now() decision.Time { return r.base + decision.Time(r.cfg.Clock().Sub(r.start)/tenth) }

// enter takes the lock and sets the module's time; leave drains its decisions and frees the lock.
func (r *Router) enter() {
	r.mu.Lock()
	r.node.SetTime(r.now())
}

func (r *Router) leave() {
	for d, ok := r.node.Next(); ok; d, ok = r.node.Next() {
		switch d.Action {
		case decision.Forward:
			if t := r.request(d.Request); t != nil {
				if t.nth++; t.nth == 0 && r.cfg.Quota != nil {
					r.cfg.Quota.RecordUse(t.whose, t.units)
				}
				t.decide(Decision{
					Action: Forward, Attempt: t.nth, Server: r.fleet.servers[d.Server],
					Timeout: time.Duration(d.Duration) * tenth,
				})
			}
		case decision.Reject:
			if t := r.request(d.Request); t != nil {
				t.decide(Decision{Action: Reject, RetryAfter: time.Duration(d.Duration) * tenth})
			}
		case decision.Fail:
			if t := r.request(d.Request); t != nil {
				t.decide(Decision{Action: Fail})
			}
		case decision.CancelAttempt:
			if t := r.request(d.Request); t != nil && d.Attempt == t.nth {
				t.work.Cancel(d.Attempt)
			}
		case decision.SetTimer:
			r.cfg.SetTimer(time.Duration(d.Duration) * tenth)
		case decision.SendPeerMessage:
			r.outbox = append(r.outbox, peerMessage{d.Peer, append([]byte(nil), d.Payload...)})
		case decision.PollEndpoints:
			r.cfg.PollEndpoints()
		case decision.LogSummary:
			r.note = append([]byte(nil), d.Payload...)
		default: // as where the module learns to do more than this node can
			panic("routing: decision that the node can't carry out")
		}
	}
	if r.telling { // whoever tells goes on with these: a peers' socket that blocks must hold up no ticket
		r.outbox = r.outbox[:min(len(r.outbox), mostLetters)] // any may be lost
		r.mu.Unlock()
		return
	}
	for r.telling = true; len(r.outbox) > 0 || r.note != nil; {
		outbox, note := r.outbox, r.note
		r.outbox, r.note = nil, nil
		r.mu.Unlock()
		for _, l := range outbox {
			r.cfg.SendToPeer(l.peer, l.text)
		}
		if note != nil {
			r.cfg.LogSummary(note)
		}
		r.mu.Lock()
	}
	r.telling = false
	r.mu.Unlock()
}

// ShadowCounts is how many decisions on tickets were compared with Config.Compare, and how many those settings would have
// taken otherwise, by kind; 0 and nil while none are watched.
func (r *Router) ShadowCounts() (int64, map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.ShadowCounts()
}

// Tick lets the module look at the time.
func (r *Router) Tick() {
	r.enter()
	r.node.TimerFired()
	r.leave()
}

// ReceivePeerMessage takes in a peer's message and tells whether it could be read.
func (r *Router) ReceivePeerMessage(from int, text []byte) bool {
	r.enter()
	defer r.leave()
	return r.node.ReceivePeerMessage(from, text)
}

// UpdateEndpoints takes in what discovery told: everything as last seen, everything, or what changed.
func (r *Router) UpdateEndpoints(l *protocol.EndpointList, old bool) {
	kind := decision.ListUpdate
	if old {
		kind = decision.CachedList
	} else if l.Full {
		kind = decision.FullList
	}
	r.enter()
	r.node.UpdateEndpoints(kind, r.fleet.take(l))
	r.leave()
}

// PollFailed notes that a call to discovery failed.
func (r *Router) PollFailed() {
	r.enter()
	r.node.UpdateEndpoints(decision.PollFailed, nil)
	r.leave()
}

// HasServers tells whether any app server was ever listed.
func (r *Router) HasServers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.fleet.servers) > 0
}

// InService tells whether a server is still in service, as before an execution's first byte.
func (r *Router) InService(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.servers[s.id] == s && s.state == protocol.InService
}

// Servers lists the app servers in service, in no order.
func (r *Router) Servers() (out []*Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.fleet.servers {
		if s.state == protocol.InService {
			out = append(out, s)
		}
	}
	return out
}

// HealthChecked takes in how a check of an app server ended, made here or by a peer. The module says what it changes.
func (r *Router) HealthChecked(number uint32, good bool) {
	o := decision.Failed
	if good {
		o = decision.Succeeded
	}
	r.enter()
	r.node.HealthChecked(number, o, nil)
	r.leave()
}
