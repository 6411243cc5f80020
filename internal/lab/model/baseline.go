package model

import (
	"time"

	"cherrygap/internal/protocol"
)

// The baseline policies are references for the engine's results. Real nodes do not use them. After an attempt that was not
// executed, a baseline chooses a server again. After one that may have been executed, it retries only if the request's class
// is safe to repeat. It rejects a request if it finds no server.
const (
	maxBaselineAttempts = 3                // maximum number of attempts of a request
	minTimeLeft         = time.Millisecond // minimum time to the deadline for a retry
)

// bucket is a token bucket, a baseline's quota of a tenant at a node.
type bucket struct {
	level    float64       // units in the bucket
	filledAt time.Duration // virtual time of the last refill
}

// decideByBaseline sends the next attempt of a request. It rejects the request if the quota is used up before the first attempt, or
// if it finds no server.
func (s *Simulation) decideByBaseline(req *request) {
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
func (s *Simulation) rejectByBaseline(req *request) {
	s.endRequest(req, outcomeRejected)
	s.scheduleRetry(req, 0)
}

// chooseServer returns the server that the baseline policy chooses for a node's next attempt, or nil for none.
func (s *Simulation) chooseServer(n *node) *server {
	if s.cfg.Policy == RoundRobin {
		return s.nextBelowLimit(n)
	}
	return s.leastBusy(n)
}

// nextBelowLimit returns the next server in rotation with fewer attempts of the node in flight than the static limit, or
// nil if there is none.
func (s *Simulation) nextBelowLimit(n *node) *server {
	for range s.servers {
		n.lastServer = (n.lastServer + 1) % len(s.servers)
		if n.inFlight[n.lastServer] < s.cfg.MaxInFlight {
			return s.servers[n.lastServer]
		}
	}
	return nil
}

// leastBusy returns the server with the fewest attempts at the last sample. Among equal servers it returns the next one in
// rotation.
func (s *Simulation) leastBusy(n *node) *server {
	best := -1
	for k := range s.servers {
		i := (n.lastServer + 1 + k) % len(s.servers)
		if best < 0 || s.servers[i].sampledAttempts < s.servers[best].sampledAttempts {
			best = i
		}
	}
	n.lastServer = best
	return s.servers[best]
}

// handleBaselineResult ends or retries a request after the result of its attempt.
func (s *Simulation) handleBaselineResult(a *attempt) {
	req := a.request
	req.node.inFlight[a.server.id]--
	if req.ended {
		return
	}
	switch a.outcome {
	case protocol.Completed:
		s.endRequest(req, outcomeCompleted)
		return
	case protocol.Overloaded, protocol.ConnectFailed, protocol.NotSent:
	default: // The server may have executed the request.
		if !req.retrySafe {
			s.endRequest(req, outcomeFailed)
			return
		}
	}
	if req.attempts >= maxBaselineAttempts || s.now >= req.deadline-minTimeLeft {
		s.endRequest(req, outcomeFailed)
		return
	}
	s.decideByBaseline(req)
}

// takeFromBucket takes a request's units from its tenant's bucket at its node, and reports whether the bucket had them. Each
// node of a tenant's set has an equal share of the quota, so the sum over the set is the quota.
func (s *Simulation) takeFromBucket(req *request) bool {
	share := 1 / float64(s.spread())
	burst := s.cfg.QuotaBurst * share
	b, ok := req.node.buckets[req.tenant]
	if !ok {
		b = &bucket{level: burst, filledAt: s.now}
		req.node.buckets[req.tenant] = b
	}
	b.level = min(burst, b.level+s.cfg.QuotaRate*share*(s.now-b.filledAt).Seconds())
	b.filledAt = s.now
	units := s.cfg.Traffic.Classes[req.class].Units
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
