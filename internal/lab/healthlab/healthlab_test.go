package healthlab

import (
	"testing"
	"time"
)

// Through every trouble no server goes unchecked for more than two check periods, all agree again afterwards, and
// what a node sends does not grow with the fleet.
func TestNoServerGoesUncheckedForLong(t *testing.T) {
	for _, scenario := range Scenarios {
		for _, c := range []struct {
			nodes int
			seeds uint64
		}{{12, 8}, {48, 2}} {
			for seed := range c.seeds {
				cfg := Config{
					Nodes: c.nodes, Servers: 40, For: 90 * time.Second, Seed: seed, Scenario: scenario, Take: 40,
					Bytes: 4096, Every: 5 * time.Second,
				}
				r, err := Play(cfg)
				if err != nil {
					t.Fatal(err)
				}
				if r.WorstGap > 2*r.Every {
					t.Errorf("%s, %d nodes, seed %d: a server unchecked for %.1f s, the period is %.1f", scenario, c.nodes, seed,
						r.WorstGap, r.Every)
				}
				if r.WrongDeaths > 0 || r.Settled < 0 {
					t.Errorf("%s, %d nodes, seed %d: %d still taken for dead at the end", scenario, c.nodes, seed, r.WrongDeaths)
				}
				if r.BytesMost > cfg.Bytes/2 || r.MessagesMost > cfg.Take/4 {
					t.Errorf("%s, %d nodes: %.0f bytes and %.1f messages a second", scenario, c.nodes, r.BytesMost, r.MessagesMost)
				}
				// Two halves that can't hear each other check all twice for a third of the run; where a quarter of the
				// datagrams is lost, so is some word of a run.
				if part := map[string]int64{"split": 3, "lossy": 5}[scenario]; r.Doubled > r.Checks/max(part, 1)+5 ||
					part == 0 && r.Doubled > r.Checks/10+5 {
					t.Errorf("%s, %d nodes, seed %d: %d of %d checks doubled", scenario, c.nodes, seed, r.Doubled, r.Checks)
				}
			}
		}
	}
}

func TestRunsRepeatAndBadOnesAreRefused(t *testing.T) {
	cfg := Config{Nodes: 12, Servers: 9, For: 30 * time.Second, Seed: 3, Scenario: "flap", Take: 40, Every: time.Second}
	a, _ := Play(cfg)
	if b, _ := Play(cfg); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
	for _, bad := range []Config{
		{},
		{Nodes: 1, Servers: 9, For: time.Minute, Scenario: "calm"},
		{Nodes: 12, Servers: 9, For: time.Minute, Scenario: "storm"},
	} {
		if _, err := Play(bad); err == nil {
			t.Errorf("%+v played", bad)
		}
	}
}
