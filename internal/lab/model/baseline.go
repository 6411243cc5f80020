package model

// Baseline policies.
//
// They are simple policies of simulated nodes, to compare the decision engine with. Rule: an attempt that was not executed is
// retried at another server. An attempt that may have been executed is retried only for classes that are safe to repeat. A
// request has baselineAttempts attempts at most. It is rejected if its tenant has no quota left or no server is available.

import (
	"time"

	"cherrygap/internal/protocol"
)

const (
	// baselineAttempts is the maximum number of attempts of a request.
	baselineAttempts = 3
	// minTimeLeft is the shortest time before the deadline at which a request is retried.
	minTimeLeft = time.Millisecond
)

// bucket is the token bucket of a tenant at a node.
type bucket struct {
	level    float64 // units
	filledAt time.Duration
}

// decideByBaseline sends the next attempt of a request, or rejects the request.
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

// rejectByBaseline rejects a request without a Retry-After.
func (s *Sim) rejectByBaseline(req *request) {
	s.end(req, outcomeRejected)
	s.scheduleRetry(req, 0)
}

// chooseServer returns the server for an attempt, or nil if none is available.
func (s *Sim) chooseServer(n *node) *server {
	if s.cfg.Policy == RoundRobin {
		return s.nextBelowLimit(n)
	}
	return s.leastBusy(n)
}

// nextBelowLimit returns the next server in rotation with fewer attempts in flight than Config.Limit, or nil.
func (s *Sim) nextBelowLimit(n *node) *server {
	for range s.servers {
		n.rotation = (n.rotation + 1) % len(s.servers)
		if n.inFlight[n.rotation] < s.cfg.Limit {
			return s.servers[n.rotation]
		}
	}
	return nil
}

// leastBusy returns the server with the least work at the last sample. Of equal ones it returns the next in rotation.
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

// baselineResult handles the result of an attempt: the end of the request, or a retry.
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
	default: // the server may have executed the attempt
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

// takeFromBucket takes the units of a request from its tenant's bucket at its node, and reports whether they were available.
// Each node of a tenant's node set has an equal share of the quota.
func (s *Sim) takeFromBucket(req *request) bool {
	share := 1 / float64(s.spread())
	burst := s.cfg.Burst * share
	b, ok := req.node.buckets[req.tenant]
	if !ok {
		b = &bucket{level: burst, filledAt: s.now}
		req.node.buckets[req.tenant] = b
	}
	b.level = min(burst, b.level+s.cfg.Quota*share*(s.now-b.filledAt).Seconds())
	b.filledAt = s.now
	units := s.cfg.Traffic.Classes[req.class].Units
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
