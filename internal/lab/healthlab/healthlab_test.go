package healthlab

import (
	"cmp"
	"errors"
	"testing"
	"time"
)

// In every scenario each server is checked at least once in two intervals. Stopped nodes and lost messages could otherwise leave
// a server without a node that checks it. After the fault all nodes agree on the members. In fleets of
// both sizes, no node sends over half of SendRate or receives over a quarter of ReceiveRate.
func TestNoServerGoesUncheckedForLong(t *testing.T) {
	for _, scenario := range Scenarios {
		for _, c := range []struct {
			nodes int
			seeds uint64
		}{{12, 8}, {48, 2}} {
			for seed := range c.seeds {
				cfg := Config{
					Nodes: c.nodes, Servers: 40, Duration: 90 * time.Second, Seed: seed, Scenario: scenario, ReceiveRate: 40,
					SendRate: 4096, Interval: 5 * time.Second,
				}
				result, err := Simulate(cfg)
				if err != nil {
					t.Fatalf("Simulate(%+v): got error %v, want none", cfg, err)
				}
				if result.WorstGap > 2*result.CheckInterval {
					t.Errorf("%s, %d nodes, seed %d: a server had no check for %.3f s, want at most %.3f s (two check intervals)", scenario,
						c.nodes, seed, result.WorstGap, 2*result.CheckInterval)
				}
				if result.FalseDeaths > 0 || result.SettleTime < 0 {
					t.Errorf("%s, %d nodes, seed %d: %d cases of a node that considers a live member dead at the end, and settle time %.1f s (-1 for never); want 0 cases and 0 s or more",
						scenario, c.nodes, seed, result.FalseDeaths, result.SettleTime)
				}
				if result.MaxBytesPerSecond > cfg.SendRate/2 || result.MaxMessagesPerSecond > cfg.ReceiveRate/4 {
					t.Errorf("%s, %d nodes, seed %d: the busiest nodes sent %.1f bytes/s and received %.2f messages/s, want at most %.1f and %.2f",
						scenario, c.nodes, seed, result.MaxBytesPerSecond, result.MaxMessagesPerSecond, cfg.SendRate/2, cfg.ReceiveRate/4)
				}
				// In the scenario split both halves check all servers during a third of the run. In the scenario lossy some
				// results are lost, so that other nodes repeat their checks.
				if divisor := map[string]int64{"split": 3, "lossy": 5}[scenario]; result.DuplicateChecks > result.Checks/max(divisor, 1)+5 ||
					divisor == 0 && result.DuplicateChecks > result.Checks/10+5 {
					t.Errorf("%s, %d nodes, seed %d: %d of %d checks are duplicates, want at most %d",
						scenario, c.nodes, seed, result.DuplicateChecks, result.Checks, result.Checks/cmp.Or(divisor, 10)+5)
				}
			}
		}
	}
}

// The same configuration yields the same result; a draw from an unseeded source would make two runs differ. An invalid
// configuration yields an error.
func TestRunsAreReproducible(t *testing.T) {
	cfg := Config{Nodes: 12, Servers: 9, Duration: 30 * time.Second, Seed: 3, Scenario: "flap", ReceiveRate: 40, Interval: time.Second}
	first, _ := Simulate(cfg)
	if second, _ := Simulate(cfg); first != second {
		t.Errorf("two runs with %+v returned %+v and %+v, want the same result", cfg, first, second)
	}
	for _, c := range []struct {
		config Config
		want   error
	}{
		{Config{}, ErrUnknownScenario},
		{Config{Nodes: 1, Servers: 9, Duration: time.Minute, Scenario: scenarioCalm}, ErrTooSmall},
		{Config{Nodes: 12, Servers: 0, Duration: time.Minute, Scenario: scenarioCalm}, ErrTooSmall},
		{Config{Nodes: 12, Servers: 9, Duration: time.Millisecond, Scenario: scenarioCalm}, ErrTooSmall},
		{Config{Nodes: 12, Servers: 9, Duration: time.Minute, Scenario: "storm"}, ErrUnknownScenario},
	} {
		if _, err := Simulate(c.config); !errors.Is(err, c.want) {
			t.Errorf("Simulate(%+v): got error %v, want %v", c.config, err, c.want)
		}
	}
}

// Events are ordered by time, and at the same time by the order in which they were scheduled. Another order among them would
// make runs of the same configuration differ.
func TestEventsComeInOrder(t *testing.T) {
	var q eventQueue
	for i := range 200 {
		q.schedule(event{at: time.Duration(i * 7 % 20), node: i})
	}
	for last := (event{node: noNode}); q.Len() > 0; {
		e := q.next()
		if e.at < last.at || e.at == last.at && e.node <= last.node {
			t.Errorf("the queue returned the event %+v after %+v, want events in the order of time and scheduling", e, last)
		}
		last = e
	}
}
