package model

import (
	"time"

	"cherrygap/internal/protocol"
)

// The baseline policies are references for the engine's figures; the nodes do not use them. A baseline retries an attempt
// that was not executed at another server. It retries an attempt that may have been executed only if the request's class is
// safe to repeat. It rejects a request if it finds no server.
const (
	baselineAttempts = 3                // of a request, at most
	minTimeLeft      = time.Millisecond // to the deadline, for a retry
)

// bucket is a token bucket, a baseline's quota of a tenant at a node.
type bucket struct {
	level    float64       // units
	filledAt time.Duration // last refill, in virtual time
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

// chooseServer returns the baseline's server for a node's next attempt, or nil.
func (s *Sim) chooseServer(n *node) *server {
	if s.cfg.Policy == RoundRobin {
		return s.nextBelowLimit(n)
	}
	return s.leastBusy(n)
}

// nextBelowLimit returns the next server in rotation with fewer attempts of the node in flight than the static limit, or
// nil if there is none.
func (s *Sim) nextBelowLimit(n *node) *server {
	for range s.servers {
		n.rotation = (n.rotation + 1) % len(s.servers)
		if n.inFlight[n.rotation] < s.cfg.Limit {
			return s.servers[n.rotation]
		}
	}
	return nil
}

// leastBusy returns the server with the fewest attempts at the last sample. Among equal servers it returns the next one in
// rotation.
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

// baselineResult ends or retries a request after an attempt's result.
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
	default: // the server may have executed the request
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

// takeFromBucket takes a request's units from its tenant's bucket at its node, and reports whether the bucket had them. Each
// node of a tenant's set has an equal share of the quota, so the sum over the set is the quota.
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
