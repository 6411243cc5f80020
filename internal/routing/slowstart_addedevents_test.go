package routing

import (
	"fmt"
	"testing"
	"time"
)

// addedEventSeeds is the number of seeds per size of the fleet in the tests that add an event at the nodes.
const addedEventSeeds = 28

// runWithAddedEvent runs the simulations of TestAllNodesTogetherDoNotOverloadWarmingServers for some seeds, each changed by
// addEvent. It fails if a warming server got more attempts than its bound.
func runWithAddedEvent(t *testing.T, addEvent func(sim *slowStartSimulation)) {
	t.Helper()
	for _, nodes := range []int{1, 4, 20} {
		for seed := range addedEventSeeds {
			t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSlowStartSimulation(nodes, uint64(seed))
				addEvent(sim)
				sim.run()
				if worst, _ := sim.worst(); worst.ratio() > 1 {
					t.Errorf("scenario %s, added scenario %q, %d nodes, seed %d: a warming server got %d attempts in a window with N = %.3f, want at most N + 2√N + 2 = %.3f",
						sim.scenario, sim.addedScenario, nodes, seed, worst.attempts, worst.capacity, worst.bound())
				}
			})
		}
	}
}

// TestNodesWithWrongClocksDoNotOverloadWarmingServers guards against an overloaded warming server at nodes whose wall clocks
// were stepped before their start. The list's start times of servers then do not agree with the nodes' clocks.
func TestNodesWithWrongClocksDoNotOverloadWarmingServers(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		t.Run(offset.String(), func(t *testing.T) {
			runWithAddedEvent(t, func(sim *slowStartSimulation) { sim.restartWithClock(offset) })
		})
	}
}

// TestRollingRestartsDoNotOverloadWarmingServers guards against an overloaded warming server while the nodes restart one
// after another.
func TestRollingRestartsDoNotOverloadWarmingServers(t *testing.T) {
	runWithAddedEvent(t, func(sim *slowStartSimulation) { sim.rollingRestarts = true })
}

// restartWithClock restarts all nodes with clocks that are ahead by offset.
func (sim *slowStartSimulation) restartWithClock(offset time.Duration) {
	sim.clockOffset = offset
	for i := range sim.nodes {
		sim.nodes[i].stopped = true
		sim.nodes[i] = sim.newNode(i, 0)
	}
}

// rollingRestart restarts the nodes one after another within one overload span, and again in the next one.
func (s *scenarioSchedule) rollingRestart() {
	for round := range 2 {
		for i := range s.nodes {
			at := s.startAt + time.Duration(round)*s.overloadSpan + s.overloadSpan*time.Duration(i+1)/time.Duration(len(s.nodes)+1)
			s.after(at, func() {
				s.nodes[i].stopped = true
				s.nodes[i] = s.newNode(i, s.uniformSeconds(0.01, 0.1))
			})
		}
	}
}
