package routing

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// slowStartSeeds is the number of seeds for each size of the fleet; 0 for the default.
var slowStartSeeds = flag.Int("cold.seeds", 0,
	"seeds for each size of the fleet in the slow-start test; 0: 52, or the number of scenarios under -race")

// windowLoad is the load of a warming server within one window of the overload span.
type windowLoad struct {
	attempts int
	capacity float64 // N: multiple of the attempts that the server can complete in the window, with its rising capacity share
}

// bound returns the largest number of attempts that a warming server may get in the window: N + 2√N + 2.
func (l windowLoad) bound() float64 { return l.capacity + 2*math.Sqrt(l.capacity) + 2 }

// ratio returns the attempts as a multiple of their bound.
func (l windowLoad) ratio() float64 { return float64(l.attempts) / l.bound() }

// worst returns the window with the highest ratio, of those that end while the process is warming up. It also returns the
// used share of N: attempts at warming servers over the attempts that N allows.
func (sim *slowStartSimulation) worst() (worst windowLoad, used float64) {
	worstRatio, total, attempts := 0.0, 0.0, 0
	for _, server := range sim.servers {
		perSecond := float64(server.slots) / server.serviceTime.Seconds()
		for _, process := range append(server.endedProcesses, serverProcess{server.started, server.attemptTimes}) {
			if process.started < sim.startAt {
				continue
			}
			warmAt := process.started + sim.slowStartSpan
			for i, from := range process.attemptTimes {
				if from >= warmAt {
					break
				}
				attempts++
				window := windowLoad{capacity: sim.overloadMultiple * perSecond * sim.overloadSpan.Seconds() *
					sim.capacityShare(&simulatedServer{started: process.started}, from+sim.overloadSpan/2)} // The share rises linearly.
				for _, at := range process.attemptTimes[i:] {
					if at >= from+sim.overloadSpan {
						break
					}
					window.attempts++
				}
				if r := window.ratio(); r > worstRatio && from+sim.overloadSpan <= warmAt {
					worstRatio, worst = r, window
				}
			}
			total += sim.overloadMultiple * perSecond * (1 + sim.startShare) / 2 * sim.slowStartSpan.Seconds()
		}
	}
	return worst, float64(attempts) / max(total, 1)
}

// slowStartTally sums up the runs with the same scenario or the same size of the fleet.
type slowStartTally struct {
	runs, aboveBound   int     // all runs, and those with a ratio above 1
	highestRatio       float64 // highest ratio of all runs
	highestRun         string  // description of the run with the highest ratio
	usedSum, servedSum float64 // sums over all runs: used share of N, served share of the requests
}

// add adds a run with its highest ratio, its shares and its description.
func (s *slowStartTally) add(ratio, used, served float64, run string) {
	s.runs++
	s.usedSum += used
	s.servedSum += served
	if ratio > 1 {
		s.aboveBound++
	}
	if ratio > s.highestRatio {
		s.highestRatio, s.highestRun = ratio, run
	}
}

// TestAllNodesTogetherDoNotOverloadWarmingServers guards against nodes that together overload a warming server, in any
// scenario and at any size of the fleet. Within any window, the server may get at most N + 2√N + 2 attempts. N is two to
// four times the attempts that the server can complete in the window, and many runs have outages or periods without traffic.
// The used share of N and the served share of the requests may therefore be low. Their lower limits detect servers that get
// hardly any attempts.
func TestAllNodesTogetherDoNotOverloadWarmingServers(t *testing.T) {
	var mu sync.Mutex // guards tallies
	tallies := map[string]*slowStartTally{}
	tally := func(key string) *slowStartTally {
		if tallies[key] == nil {
			tallies[key] = &slowStartTally{}
		}
		return tallies[key]
	}
	seeds := cmp.Or(*slowStartSeeds, 52) // for each size of the fleet
	if raceEnabled {
		seeds = cmp.Or(*slowStartSeeds, len(slowStartScenarios))
	}
	t.Run("runs", func(t *testing.T) {
		for _, nodes := range []int{1, 4, 20, 30} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
					t.Parallel()
					sim := newSlowStartSimulation(nodes, uint64(seed))
					sim.run()
					worst, used := sim.worst()
					ratio := worst.ratio()
					run := fmt.Sprintf("scenario %s, added scenario %q, %d nodes, seed %d: a warming server got %d attempts in a window with N = %.3f, want at most N + 2√N + 2 = %.3f",
						sim.scenario, sim.addedScenario, nodes, seed, worst.attempts, worst.capacity, worst.bound())
					if ratio > 1 {
						t.Error(run)
					}
					mu.Lock()
					defer mu.Unlock()
					served := float64(sim.completed) / float64(max(1, sim.arrived))
					tally(sim.scenario).add(ratio, used, served, run)
					tally(strconv.Itoa(nodes)+" nodes").add(ratio, used, served, run)
				})
			}
		}
	})
	for _, key := range slices.SortedFunc(maps.Keys(tallies), strings.Compare) {
		s := tallies[key]
		runs := float64(s.runs)
		if strings.HasSuffix(key, " nodes") && s.runs >= 50 && (s.usedSum < 0.11*runs || s.servedSum < 0.45*runs) {
			t.Errorf("%s: mean used share of N %.4f, mean served share of requests %.4f; want at least 0.11 and 0.45", key, s.usedSum/runs,
				s.servedSum/runs)
		}
		t.Logf("%-8s %d of %d runs above the bound; used share of N %.3f, served share %.3f; highest ratio %.2f: %s", key, s.aboveBound,
			s.runs, s.usedSum/runs, s.servedSum/runs, s.highestRatio, s.highestRun)
	}
}
