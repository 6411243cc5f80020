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

var slowStartSeeds = flag.Int("cold.seeds", 0,
	"plays of each size of the fleet in the slow-start test; 0: 52, or one of each scene under -race")

// windowLoad is the load of a warming server within one window of the play's overload span.
type windowLoad struct {
	attempts int
	capacity float64 // N: the multiple of what the server can do within it, the integral of its rising share
}

// bound returns the largest number of attempts that a warming server may get in the window.
func (l windowLoad) bound() float64 { return l.capacity + 2*math.Sqrt(l.capacity) + 2 }

// ratio returns the attempts over their bound.
func (l windowLoad) ratio() float64 { return float64(l.attempts) / l.bound() }

// worst returns the window with the most attempts over its bound, of those that end while the process is warming up, and
// the part of all N that was used.
func (p *slowStartPlay) worst() (worst windowLoad, used float64) {
	worstRatio, total, attempts := 0.0, 0.0, 0
	for _, sv := range p.servers {
		perSecond := float64(sv.slots) / sv.serviceTime.Seconds()
		for _, process := range append(sv.earlier, serverProcess{sv.started, sv.attempts}) {
			if process.started < p.startAt {
				continue
			}
			warmAt := process.started + p.slowStartSpan
			for i, from := range process.attempts {
				if from >= warmAt {
					break
				}
				attempts++
				window := windowLoad{capacity: p.multiple * perSecond * p.span.Seconds() *
					p.capacityShare(&playServer{started: process.started}, from+p.span/2)} // the share rises evenly
				for _, at := range process.attempts[i:] {
					if at >= from+p.span {
						break
					}
					window.attempts++
				}
				if r := window.ratio(); r > worstRatio && from+p.span <= warmAt {
					worstRatio, worst = r, window
				}
			}
			total += p.multiple * perSecond * (1 + p.startShare) / 2 * p.slowStartSpan.Seconds()
		}
	}
	return worst, float64(attempts) / max(total, 1)
}

// slowStartTally sums up plays of one kind.
type slowStartTally struct {
	plays, broken int
	ratio         float64 // the greatest
	nearest       string  // the play that had it
	used, served  float64 // sums of shares
}

func (s *slowStartTally) add(ratio, used, served float64, what string) {
	s.plays++
	s.used += used
	s.served += served
	if ratio > 1 {
		s.broken++
	}
	if ratio > s.ratio {
		s.ratio, s.nearest = ratio, what
	}
}

// In every scene and at every size of the fleet, all nodes together must not overload a warming server: within any window
// it gets at most N + 2√N + 2 attempts. N is two to four times the attempts that the server can complete in the window, and
// many plays have lulls or outages. Therefore the used part of N, and the served part of the requests, may be low. The
// lower limits detect servers that get hardly any attempts.
func TestWarmingServersBearTheSumOfAllNodes(t *testing.T) {
	var mu sync.Mutex // guards tallies
	tallies := map[string]*slowStartTally{}
	tally := func(key string) *slowStartTally {
		if tallies[key] == nil {
			tallies[key] = &slowStartTally{}
		}
		return tallies[key]
	}
	seeds := cmp.Or(*slowStartSeeds, 52) // of each size
	if underRace {
		seeds = cmp.Or(*slowStartSeeds, len(slowStartScenes))
	}
	t.Run("plays", func(t *testing.T) {
		for _, nodes := range []int{1, 4, 20, 30} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
					t.Parallel()
					p := newSlowStartPlay(nodes, uint64(seed))
					p.play()
					worst, used := p.worst()
					ratio := worst.ratio()
					what := fmt.Sprintf("%s %s, %d nodes, seed %d: %d attempts where N is %.1f and %.1f are borne", p.scene, p.also,
						nodes, seed, worst.attempts, worst.capacity, worst.bound())
					if ratio > 1 {
						t.Error(what)
					}
					mu.Lock()
					defer mu.Unlock()
					served := float64(p.completed) / float64(max(1, p.arrived))
					tally(p.scene).add(ratio, used, served, what)
					tally(strconv.Itoa(nodes)+" nodes").add(ratio, used, served, what)
				})
			}
		}
	})
	for _, key := range slices.SortedFunc(maps.Keys(tallies), strings.Compare) {
		s := tallies[key]
		plays := float64(s.plays)
		if strings.HasSuffix(key, " nodes") && s.plays >= 50 && (s.used < 0.11*plays || s.served < 0.45*plays) {
			t.Errorf("%s: too little to the warming servers, or served", key)
		}
		t.Logf("%-8s %d of %d broke; used %.3f of N, served %.3f; nearest %.2f: %s", key, s.broken, s.plays, s.used/plays,
			s.served/plays, s.ratio, s.nearest)
	}
}
