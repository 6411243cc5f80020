package healthlab

import "time"

const (
	usualLoss     = 0.01 // share of the datagrams
	lossyLoss     = 0.25 // while the lossy scenario's fault is on
	doubledOneIn  = 100  // datagrams, of which one comes twice
	usualDelay    = 4.0  // ms on average, on top of minDelay
	minDelay      = 1.0  // ms
	lateShare     = 0.02 // of the datagrams, which others overtake:
	maxLateness   = 400  // ms on top
	flappingOneIn = 20   // nodes that go or come at a time
	maxFlapSecs   = 3    // between two times
)

// send sends a datagram over the simulated network.
func (s *simulation) send(from, to int, text []byte) {
	for range 1 + s.random.IntN(doubledOneIn)/(doubledOneIn-1) {
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
	loss := usualLoss
	if s.faulty && s.cfg.Scenario == lossy {
		loss = lossyLoss
	}
	return s.random.Float64() >= loss
}

// delay returns the delay of a datagram: usually a few milliseconds, sometimes so long that others overtake it.
func (s *simulation) delay() time.Duration {
	delay := time.Duration(minDelay+s.random.ExpFloat64()*usualDelay) * time.Millisecond
	if s.random.Float64() < lateShare {
		delay += time.Duration(s.random.IntN(maxLateness)) * time.Millisecond
	}
	return delay
}

// moveFault begins or ends the scenario's fault, or its next step.
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

// vanish stops some of the nodes at once, or starts them again.
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

// flap stops or starts one node in twenty, and schedules the next time a few seconds later.
func (s *simulation) flap() {
	for range max(1, s.cfg.Nodes/flappingOneIn) {
		if id := s.random.IntN(s.cfg.Nodes); s.nodes[id].up {
			s.stop(id)
		} else {
			s.start(id)
		}
	}
	pause := time.Duration(1+s.random.IntN(maxFlapSecs)) * time.Second
	s.queue.schedule(event{at: s.now + pause, kind: moveFault})
}
