package healthlab

import "time"

const (
	usualLoss             = 0.01 // share of the datagrams
	lossyLoss             = 0.25 // share of the datagrams during the lossy scenario's fault
	datagramsPerDuplicate = 100
	minDelayMs            = 1.0
	meanAdditionalDelayMs = 4.0
	lateShare             = 0.02 // share of the datagrams that are delayed by up to maxLatenessMs more
	maxLatenessMs         = 400
	nodesPerFlap          = 20 // nodes of the fleet for each node that stops or starts in a step of flap
	maxFlapIntervalS      = 3
)

// send sends a datagram over the simulated network, which may lose, delay or duplicate it.
func (s *simulation) send(from, to int, text []byte) {
	for range 1 + s.random.IntN(datagramsPerDuplicate)/(datagramsPerDuplicate-1) {
		if s.nodes[to].up && s.arrives(from, to) {
			s.queue.schedule(event{at: s.now + s.drawDelay(), kind: receive, node: to, from: from, text: text})
		}
	}
}

// arrives draws whether a datagram between two nodes arrives.
func (s *simulation) arrives(from, to int) bool {
	half := s.cfg.Nodes / 2
	if s.faulty && s.cfg.Scenario == split && (from < half) != (to < half) {
		return false
	}
	loss := usualLoss
	if s.faulty && s.cfg.Scenario == lossy {
		loss = lossyLoss
	}
	return s.random.Float64() >= loss
}

// drawDelay draws the delay of a datagram: usually a few milliseconds, sometimes long enough for later ones to overtake.
func (s *simulation) drawDelay() time.Duration {
	delay := time.Duration(minDelayMs+s.random.ExpFloat64()*meanAdditionalDelayMs) * time.Millisecond
	if s.random.Float64() < lateShare {
		delay += time.Duration(s.random.IntN(maxLatenessMs)) * time.Millisecond
	}
	return delay
}

// moveFault begins the scenario's fault, executes its next step, or ends it.
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

// flap stops or starts some random nodes, and schedules the next step a few seconds later.
func (s *simulation) flap() {
	for range max(1, s.cfg.Nodes/nodesPerFlap) {
		if id := s.random.IntN(s.cfg.Nodes); s.nodes[id].up {
			s.stop(id)
		} else {
			s.start(id)
		}
	}
	interval := time.Duration(1+s.random.IntN(maxFlapIntervalS)) * time.Second
	s.queue.schedule(event{at: s.now + interval, kind: moveFault})
}
