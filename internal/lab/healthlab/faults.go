package healthlab

import "time"

const (
	// lossProbability is the probability that a datagram is lost, except in the fault of the scenario lossy.
	lossProbability = 0.01
	// lossyLossProbability is the probability that a datagram is lost during the fault of the scenario lossy.
	lossyLossProbability = 0.25
	// datagramsPerDuplicate is the mean number of datagrams of which one is duplicated.
	datagramsPerDuplicate = 100
	// minDelayMs is the shortest delay of a datagram, in milliseconds.
	minDelayMs = 1.0
	// meanExtraDelayMs is the mean of the exponential delay that is added to minDelayMs, in milliseconds.
	meanExtraDelayMs = 4.0
	// latenessProbability is the probability that a datagram is late, so that others overtake it.
	latenessProbability = 0.02
	// maxLatenessMs is the upper bound (exclusive) of the additional delay of a late datagram, in milliseconds.
	maxLatenessMs = 400
	// nodesPerFlap is the number of nodes of which one stops or starts at each step of the scenario flap.
	nodesPerFlap = 20
	// maxFlapSeconds is the longest time between two steps of the scenario flap.
	maxFlapSeconds = 3
)

// send sends a datagram over the simulated network.
func (s *simulation) send(sender, receiver int, payload []byte) {
	for range 1 + s.random.IntN(datagramsPerDuplicate)/(datagramsPerDuplicate-1) {
		if s.nodes[receiver].up && s.arrives(sender, receiver) {
			s.queue.schedule(event{at: s.now + s.delay(), kind: eventDatagram, node: receiver, sender: sender, payload: payload})
		}
	}
}

// arrives draws whether a datagram from sender to receiver arrives.
func (s *simulation) arrives(sender, receiver int) bool {
	half := s.cfg.Nodes / 2
	if s.faultActive && s.cfg.Scenario == scenarioSplit && (sender < half) != (receiver < half) {
		return false
	}
	loss := lossProbability
	if s.faultActive && s.cfg.Scenario == scenarioLossy {
		loss = lossyLossProbability
	}
	return s.random.Float64() >= loss
}

// delay draws the delay of a datagram, in whole milliseconds.
func (s *simulation) delay() time.Duration {
	delay := time.Duration(minDelayMs+s.random.ExpFloat64()*meanExtraDelayMs) * time.Millisecond
	if s.random.Float64() < latenessProbability {
		delay += time.Duration(s.random.IntN(maxLatenessMs)) * time.Millisecond
	}
	return delay
}

// updateFault begins or ends the scenario's fault, or executes its next step.
func (s *simulation) updateFault() {
	over := s.now >= s.faultEndsAt()
	s.faultActive = !s.faultActive && !over
	switch s.cfg.Scenario {
	case scenarioVanish:
		s.applyVanish()
	case scenarioFlap:
		if !over {
			s.faultActive = true
			s.applyFlap()
			return
		}
		for id, n := range s.nodes {
			if !n.up {
				s.start(id)
			}
		}
	}
	if over {
		s.faultActive = false
	}
}

// applyVanish stops a share of the nodes when the fault begins, and starts them when it ends.
func (s *simulation) applyVanish() {
	if s.faultActive {
		s.stoppedNodes = s.random.Perm(s.cfg.Nodes)[:int(s.cfg.VanishShare*float64(s.cfg.Nodes))]
		for _, id := range s.stoppedNodes {
			s.stop(id)
		}
		return
	}
	for _, id := range s.stoppedNodes {
		s.start(id)
	}
}

// applyFlap stops or starts random nodes, and schedules the next step.
func (s *simulation) applyFlap() {
	for range max(1, s.cfg.Nodes/nodesPerFlap) {
		if id := s.random.IntN(s.cfg.Nodes); s.nodes[id].up {
			s.stop(id)
		} else {
			s.start(id)
		}
	}
	pause := time.Duration(1+s.random.IntN(maxFlapSeconds)) * time.Second
	s.queue.schedule(event{at: s.now + pause, kind: eventFault})
}
