package routing

import (
	"fmt"
	"testing"
	"time"
)

// The plays of TestWarmingServersBearTheSumOfAllNodes, each with one more event at the nodes.

const crossingPlays = 28 // of each size of the fleet

// playCrossing plays some seeds with an event added. It fails if a warming server got more attempts than its bound.
func playCrossing(t *testing.T, add func(p *slowStartPlay)) {
	t.Helper()
	for _, nodes := range []int{1, 4, 20} {
		for seed := range crossingPlays {
			t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
				t.Parallel()
				p := newSlowStartPlay(nodes, uint64(seed))
				add(p)
				p.play()
				if worst, _ := p.worst(); worst.ratio() > 1 {
					t.Errorf("%s %s: %d attempts where N is %.1f and %.1f are borne", p.scene, p.also, worst.attempts,
						worst.capacity, worst.bound())
				}
			})
		}
	}
}

// TestWarmingServersBearNodesWithWrongClocks: a node's wall clock was stepped before its start, so that times of start in
// the list are not of its clock.
func TestWarmingServersBearNodesWithWrongClocks(t *testing.T) {
	for _, wrongBy := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		t.Run(wrongBy.String(), func(t *testing.T) {
			playCrossing(t, func(p *slowStartPlay) { p.restartWithClock(wrongBy) })
		})
	}
}

// TestWarmingServersBearRollingRestarts: the nodes restart one after another while servers warm up.
func TestWarmingServersBearRollingRestarts(t *testing.T) {
	playCrossing(t, func(p *slowStartPlay) { p.rollNodes = true })
}

// restartWithClock makes the clocks of all nodes wrong from their start on.
func (p *slowStartPlay) restartWithClock(wrongBy time.Duration) {
	p.clockWrongBy = wrongBy
	for i := range p.nodes {
		p.nodes[i].stopped = true
		p.nodes[i] = p.newNode(i, 0)
	}
}

// rollingRestart restarts one node after another within the time of the warming servers' window, twice over.
func (s *scenario) rollingRestart() {
	for round := range 2 {
		for i := range s.nodes {
			at := s.startAt + time.Duration(round)*s.span + s.span*time.Duration(i+1)/time.Duration(len(s.nodes)+1)
			s.after(at, func() {
				s.nodes[i].stopped = true
				s.nodes[i] = s.newNode(i, s.uniformSeconds(0.01, 0.1))
			})
		}
	}
}
