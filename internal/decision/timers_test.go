package decision

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"
)

// Nodes that discovery turned away together must not ask again together, nor ever faster than the span allows.
func TestFailedCallsToDiscoverySpread(t *testing.T) {
	span := 10 * Second
	var first []Time
	r := rand.New(rand.NewSource(1))
	set := Settings{
		"nodes": "80", "tick": "10", "band.count": "1", "band.0.contract": "6000", "roster": "ask",
		"plan.count": "1", "ask.within": strconv.Itoa(int(span)),
	}
	for range 80 {
		n := New(r.Uint64(), set, Second)
		for k, now := 0, Second; k < 6; k++ {
			asked := now
			for !watches(n) {
				now += Second / 50
				n.SetTime(now)
			}
			if wait := now - asked; k > 0 && (wait < Second || wait > span+Second) {
				t.Fatalf("asked again after %d", wait)
			}
			if k == 1 {
				first = append(first, now)
			}
			n.UpdateEndpoints(PollFailed, nil)
		}
	}
	slices.Sort(first)
	for i := range len(first) - 20 {
		if first[i+20]-first[i] < Second/4 {
			t.Fatalf("20 of 80 nodes ask again within %d", first[i+20]-first[i])
		}
	}
}

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before: however
// many failed, the next comes within 3 s, since a call without hope may take 2 s before it and its own answer 1 s; not
// sooner than 1 s, as discovery may have too much to do. 200 nodes whose calls failed together ask again in no step.
func TestDiscoveryIsAskedAgainWithinTheTerm(t *testing.T) {
	const tick, nodes = Second / 50, 200
	for seed := range 1000 {
		set := Settings{
			"nodes": "200", "tick": "10", "band.count": "1", "band.0.contract": "6000", "roster": "ask",
			"plan.count": "1", "ask.within": []string{"100000", "600000", "30000"}[seed%3],
		}
		n, now := New(uint64(seed)*7919, set, Second), Second
		for k := range 15 {
			asked := now
			for !watches(n) {
				now += tick
				n.SetTime(now)
			}
			if wait := now - asked; k > 0 && (wait < Second || wait > 3*Second+tick) {
				t.Fatalf("seed %d: asked again %d after the %d. failure", seed, wait, k)
			}
			for range 1 + seed%2 { // a failure told twice is one
				n.UpdateEndpoints(PollFailed, nil)
			}
		}
	}
	for seed := range 20 {
		var again []Time
		for i := range nodes {
			n := New(uint64(seed*nodes+i)*7919+1, Settings{
				"nodes": "200", "band.count": "1", "band.0.contract": "6000",
				"roster": "ask", "plan.count": "1", "ask.within": "100000",
			}, Second)
			now := Second
			watches(n)
			for n.UpdateEndpoints(PollFailed, nil); !watches(n); now += tick {
				n.SetTime(now)
			}
			again = append(again, now)
		}
		slices.Sort(again)
		for i := range nodes - 50 { // an even spread has 25 in a quarter of a second, with a chance swing of 5
			if again[i+50]-again[i] < Second/4 {
				t.Fatalf("seed %d: 50 of 200 nodes ask again within %d", seed, again[i+50]-again[i])
			}
		}
	}
}

func watches(n *Engine) (asked bool) {
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		asked = asked || d.Action == PollEndpoints
	}
	return asked
}
