package healthlab

import "time"

const (
	// lossProbability is the usual probability that a datagram is lost.
	lossProbability = 0.01
	// lossyLossProbability is that probability during the fault of the scenario lossy.
	lossyLossProbability = 0.25
	// datagramsPerDuplicate is the mean number of datagrams of which one arrives twice.
	datagramsPerDuplicate = 100
	// minDelayMs is the shortest delay of a datagram, in milliseconds.
	minDelayMs = 1.0
	// meanExtraDelayMs is the mean of the exponential delay on top of it, in milliseconds.
	meanExtraDelayMs = 4.0
	// lateProbability is the probability that a datagram is late, so that others overtake it.
	lateProbability = 0.02
	// maxLatenessMs is the largest additional delay of a late datagram, in milliseconds.
	maxLatenessMs = 400
	// nodesPerFlap is the number of nodes of which one stops or starts at each step of the scenario flap.
	nodesPerFlap = 20
	// maxFlapSeconds is the longest time between two steps of the scenario flap.
	maxFlapSeconds = 3
)

// send sends a datagram over the simulated network.
func (s *simulation) send(from, to int, text []byte) {
	for range 1 + s.random.IntN(datagramsPerDuplicate)/(datagramsPerDuplicate-1) {
		if s.nodes[to].up && s.arrives(from, to) {
			s.queue.schedule(event{at: s.now + s.delay(), kind: receive, node: to, from: from, text: text})
		}
	}
}

// arrives reports whether a datagram between two nodes arrives.
func (s *simulation) arrives(from, to int) bool {
	half := s.cfg.Nodes / 2
	if s.faulty && s.cfg.Scenario == split && (from < half) != (to < half) {
		return false
	}
	loss := lossProbability
	if s.faulty && s.cfg.Scenario == lossy {
		loss = lossyLossProbability
	}
	return s.random.Float64() >= loss
}

// delay draws the delay of a datagram, in whole milliseconds.
func (s *simulation) delay() time.Duration {
	delay := time.Duration(minDelayMs+s.random.ExpFloat64()*meanExtraDelayMs) * time.Millisecond
	if s.random.Float64() < lateProbability {
		delay += time.Duration(s.random.IntN(maxLatenessMs)) * time.Millisecond
	}
	return delay
}

// moveFault begins or ends the scenario's fault, or begins its next step.
func (s *simulation) moveFault() {
	over := s.now >= s.faultEnds()
	s.faulty = !s.faulty && !over
	switch s.cfg.Scenario {
	case vanish:
		s.vanish()
	case flap:
		if !over {
			s.faulty = true
			s.flap()
			return
		}
		for id, n := range s.nodes {
			if !n.up {
				s.start(id)
			}
		}
	}
	if over {
		s.faulty = false
	}
}

// vanish stops a share of the nodes when the fault begins, and starts them when it ends.
func (s *simulation) vanish() {
	if s.faulty {
		s.down = s.random.Perm(s.cfg.Nodes)[:int(s.cfg.VanishShare*float64(s.cfg.Nodes))]
		for _, id := range s.down {
			s.stop(id)
		}
		return
	}
	for _, id := range s.down {
		s.start(id)
	}
}

// flap stops or starts random nodes, and schedules the next step.
func (s *simulation) flap() {
	for range max(1, s.cfg.Nodes/nodesPerFlap) {
		if id := s.random.IntN(s.cfg.Nodes); s.nodes[id].up {
			s.stop(id)
		} else {
			s.start(id)
		}
	}
	pause := time.Duration(1+s.random.IntN(maxFlapSeconds)) * time.Second
	s.queue.schedule(event{at: s.now + pause, kind: moveFault})
}
