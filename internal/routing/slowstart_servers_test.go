package routing

import (
	"net/netip"
	"time"

	"cherrygap/internal/protocol"
)

// playServer is one process after the other at one address.
type playServer struct {
	uid          string
	addr         netip.AddrPort
	relativeSize float64 // of its capacity, to the play's usual one
	slots        int
	serviceTime  time.Duration // mean, once it has warmed up
	started      time.Duration // of the process; below 0: long ago
	down         bool
	hangs        bool // it takes attempts and never answers
	overloaded   bool // it rejects all
	listed       bool // by discovery
	incarnation  int  // processes so far
	busy         int
	queue        []*playAttempt
	attempts     []time.Duration // when they came to this process, from nodes notified of its start
	earlier      []serverProcess
}

// serverProcess is a process that has ended.
type serverProcess struct {
	started  time.Duration
	attempts []time.Duration
}

// stop ends a server's process: what it holds breaks.
func (p *slowStartPlay) stop(sv *playServer) {
	sv.earlier = append(sv.earlier, serverProcess{sv.started, sv.attempts})
	sv.attempts, sv.down, sv.queue, sv.busy = nil, true, nil, 0
	sv.incarnation++
	for _, n := range p.nodes {
		for _, req := range n.requests {
			if x := req.attempt; x != nil && req.request.server != nil && req.request.server.Addr == sv.addr {
				p.reportAfter(x, protocol.ConnectionReset, 0)
			}
		}
	}
}

// start starts a new process.
func (p *slowStartPlay) start(sv *playServer) {
	if !sv.down {
		p.stop(sv)
	}
	sv.down, sv.listed, sv.started = false, true, p.clock
}

// capacityShare is the part of its capacity that a server has at a time.
func (p *slowStartPlay) capacityShare(sv *playServer, at time.Duration) float64 {
	if sv.started < 0 || at >= sv.started+p.slowStartSpan {
		return 1
	}
	return p.startShare + (1-p.startShare)*max(0, float64(at-sv.started)/float64(p.slowStartSpan))
}

// work runs an attempt, and then what waits in the server's queue.
func (p *slowStartPlay) work(sv *playServer, attempt *playAttempt) {
	sv.busy++
	incarnation, span := sv.incarnation, float64(sv.serviceTime)*(0.3+0.7*p.rng.ExpFloat64())
	if share := p.capacityShare(sv, p.clock); share < 1 {
		span *= p.slowFactor / share
	}
	p.after(time.Duration(span), func() {
		if incarnation != sv.incarnation {
			return
		}
		sv.busy--
		p.report(attempt, protocol.Completed)
		for len(sv.queue) > 0 && sv.busy < sv.slots {
			next := sv.queue[0]
			if sv.queue = sv.queue[1:]; !next.ended {
				p.work(sv, next)
			}
		}
	})
}
