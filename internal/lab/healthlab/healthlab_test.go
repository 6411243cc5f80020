package healthlab

import (
	"errors"
	"testing"
	"time"
)

// During every fault each server is checked at least once in two intervals. Afterwards all nodes agree on the members. The
// bytes that a node sends do not grow with the fleet.
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
				result, err := Play(cfg)
				if err != nil {
					t.Fatal(err)
				}
				if result.WorstGap > 2*result.CheckInterval {
					t.Errorf("%s, %d nodes, seed %d: a server unchecked for %.1f s, the interval is %.1f", scenario, c.nodes, seed,
						result.WorstGap, result.CheckInterval)
				}
				if result.FalseDeaths > 0 || result.SettleTime < 0 {
					t.Errorf("%s, %d nodes, seed %d: %d still taken for dead at the end", scenario, c.nodes, seed, result.FalseDeaths)
				}
				if result.MaxBytesPerSecond > cfg.SendRate/2 || result.MaxMessagesPerSecond > cfg.ReceiveRate/4 {
					t.Errorf("%s, %d nodes: %.0f bytes and %.1f messages a second", scenario, c.nodes, result.MaxBytesPerSecond, result.MaxMessagesPerSecond)
				}
				// Two halves that can't hear each other check all twice for a third of the run; where a quarter of the
				// datagrams is lost, so are some results of runs.
				if divisor := map[string]int64{"split": 3, "lossy": 5}[scenario]; result.DuplicateChecks > result.Checks/max(divisor, 1)+5 ||
					divisor == 0 && result.DuplicateChecks > result.Checks/10+5 {
					t.Errorf("%s, %d nodes, seed %d: %d of %d checks doubled", scenario, c.nodes, seed, result.DuplicateChecks, result.Checks)
				}
			}
		}
	}
}

// The same configuration yields the same result, and an invalid one an error.
func TestRunsAreReproducible(t *testing.T) {
	cfg := Config{Nodes: 12, Servers: 9, Duration: 30 * time.Second, Seed: 3, Scenario: "flap", ReceiveRate: 40, Interval: time.Second}
	first, _ := Play(cfg)
	if second, _ := Play(cfg); first != second {
		t.Errorf("%+v, then %+v", first, second)
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
		if _, err := Play(c.config); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.config, err, c.want)
		}
	}
}

// Events are ordered by time, and at the same time by the order in which they were scheduled.
func TestEventsComeInOrder(t *testing.T) {
	var q eventQueue
	for i := range 200 {
		q.schedule(event{at: time.Duration(i * 7 % 20), node: i})
	}
	for last := (event{node: noNode}); q.Len() > 0; {
		e := q.next()
		if e.at < last.at || e.at == last.at && e.node <= last.node {
			t.Errorf("%+v after %+v", e, last)
		}
		last = e
	}
}
