package model

import (
	"time"

	"cherrygap/internal/protocol"
)

// The baselines decide here, in the model, and nowhere else: they are yardsticks, not policies of the node.
// Both retry what never ran on another server and what may have run only when its band is replayable, up to
// three executions, and bounce when they find no server.

const baselineTries = 3

// bucket is a baseline's plain quota: one per customer at each node, filled at the plan's rate.
type bucket struct {
	level float64
	at    time.Duration
}

// baseline sends a new ticket of a baseline policy.
func (s *Sim) baseline(tk *ticket) {
	if tk.tries == 0 && !s.spend(tk) {
		s.settle(tk, outBounced)
		s.again(tk, 0)
		return
	}
	sv := s.choose(tk.node)
	if sv == nil {
		s.settle(tk, outBounced)
		s.again(tk, 0)
		return
	}
	tk.tries++
	tk.node.out[sv.id]++
	s.execute(tk, tk.tries-1, sv, tk.deadline-s.now)
}

// choose is the baseline's server: the next in rotation under the static limit, or the least busy as last seen.
func (s *Sim) choose(n *node) *server {
	m := len(s.servers)
	switch s.cfg.Policy {
	case RoundRobin:
		for range m {
			n.rr = (n.rr + 1) % m
			if n.out[n.rr] < s.cfg.Limit {
				return s.servers[n.rr]
			}
		}
		return nil
	default: // Late
		best := -1
		for k := range m {
			i := (n.rr + 1 + k) % m
			if best < 0 || s.servers[i].lastBusy < s.servers[best].lastBusy {
				best = i
			}
		}
		n.rr = best
		return s.servers[best]
	}
}

// baselineEnd takes an execution's end for a baseline policy.
func (s *Sim) baselineEnd(tk *ticket, x *execution) {
	tk.node.out[x.srv.id]--
	if tk.done {
		return
	}
	switch x.outcome {
	case protocol.Completed:
		s.settle(tk, outCompleted)
		return
	case protocol.Overloaded, protocol.ConnectFailed, protocol.NotSent:
	default: // it may have run
		if s.cfg.Traffic.Classes[tk.band].RetrySafety != "replayable" {
			s.settle(tk, outBroken)
			return
		}
	}
	if tk.tries >= baselineTries || s.now >= tk.deadline-time.Millisecond {
		s.settle(tk, outBroken)
		return
	}
	s.baseline(tk)
}

// spend takes the ticket's units from its customer's bucket at its node, or tells that they are not there.
// Each node of a customer's set holds an equal part of the quota, so the set together keeps it.
func (s *Sim) spend(tk *ticket) bool {
	part := 1 / float64(min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes))
	depth := s.cfg.Depth * part
	b, ok := tk.node.buckets[tk.customer]
	if !ok {
		b = &bucket{level: depth, at: s.now}
		tk.node.buckets[tk.customer] = b
	}
	b.level = min(depth, b.level+s.cfg.Quota*part*(s.now-b.at).Seconds())
	b.at = s.now
	units := s.cfg.Traffic.Classes[tk.band].Units
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
