package model

import (
	"time"

	"cherrygap/internal/protocol"
)

// The baselines decide here, in the model, and nowhere else: they are yardsticks, not policies of the node. Both retry
// what never ran at another server, and what may have run only where its class is safe to repeat, up to
// baselineAttempts, and reject when they find no server.

const baselineAttempts = 3

// minTimeLeft is the least time that a retry is worth.
const minTimeLeft = time.Millisecond

// bucket is a baseline's plain quota: one per tenant at each node, filled at the plan's rate.
type bucket struct {
	level    float64 // units
	filledAt time.Duration
}

// decideByBaseline sends a request's next attempt, or rejects the request.
func (s *Sim) decideByBaseline(req *request) {
	if req.attempts == 0 && !s.takeFromBucket(req) {
		s.rejectByBaseline(req)
		return
	}
	sv := s.chooseServer(req.node)
	if sv == nil {
		s.rejectByBaseline(req)
		return
	}
	req.attempts++
	req.node.inFlight[sv.id]++
	s.send(req, req.attempts-1, sv, req.deadline-s.now)
}

func (s *Sim) rejectByBaseline(req *request) {
	s.end(req, outcomeRejected)
	s.scheduleRetry(req, 0)
}

// chooseServer is the baseline's server, or nil.
func (s *Sim) chooseServer(n *node) *server {
	if s.cfg.Policy == RoundRobin {
		return s.nextBelowLimit(n)
	}
	return s.leastBusy(n)
}

// nextBelowLimit is the next server in rotation with room under the static limit, or nil.
func (s *Sim) nextBelowLimit(n *node) *server {
	for range s.servers {
		n.rotation = (n.rotation + 1) % len(s.servers)
		if n.inFlight[n.rotation] < s.cfg.Limit {
			return s.servers[n.rotation]
		}
	}
	return nil
}

// leastBusy is the server with the least work at the last sample, the next in rotation among equals.
func (s *Sim) leastBusy(n *node) *server {
	best := -1
	for k := range s.servers {
		i := (n.rotation + 1 + k) % len(s.servers)
		if best < 0 || s.servers[i].sampledWork < s.servers[best].sampledWork {
			best = i
		}
	}
	n.rotation = best
	return s.servers[best]
}

// baselineResult takes in an attempt's result for a baseline policy.
func (s *Sim) baselineResult(a *attempt) {
	req := a.request
	req.node.inFlight[a.server.id]--
	if req.ended {
		return
	}
	switch a.outcome {
	case protocol.Completed:
		s.end(req, outcomeCompleted)
		return
	case protocol.Overloaded, protocol.ConnectFailed, protocol.NotSent:
	default: // it may have run
		if !req.retrySafe {
			s.end(req, outcomeFailed)
			return
		}
	}
	if req.attempts >= baselineAttempts || s.now >= req.deadline-minTimeLeft {
		s.end(req, outcomeFailed)
		return
	}
	s.decideByBaseline(req)
}

// takeFromBucket takes a request's units from its tenant's bucket at its node, and returns whether they were there. Each
// node of a tenant's set has an equal part of the quota, so the set together keeps it.
func (s *Sim) takeFromBucket(req *request) bool {
	part := 1 / float64(s.spread())
	burst := s.cfg.Burst * part
	b, ok := req.node.buckets[req.tenant]
	if !ok {
		b = &bucket{level: burst, filledAt: s.now}
		req.node.buckets[req.tenant] = b
	}
	b.level = min(burst, b.level+s.cfg.Quota*part*(s.now-b.filledAt).Seconds())
	b.filledAt = s.now
	units := s.cfg.Traffic.Classes[req.class].Units
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
