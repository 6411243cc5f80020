// Package healthlab simulates the shared health checks of a fleet in virtual time. Each simulated node runs the real
// internal/healthcheck. Datagrams are delayed, lost, duplicated and reordered. Nodes vanish, flap or are partitioned.
//
// The simulation has one goroutine, and one queue of events ordered by time and sequence. The same Config yields the same
// Result: the longest time without a check of a server, the number of duplicate checks, and the traffic of the nodes.
package healthlab

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Scenarios, each with one fault. The fault begins after a third of the run and ends after two thirds.
const (
	scenarioCalm   = "calm"   // no fault
	scenarioVanish = "vanish" // some nodes stop
	scenarioFlap   = "flap"   // nodes stop and start every few seconds
	scenarioSplit  = "split"  // the fleet is partitioned into two halves
	scenarioLossy  = "lossy"  // a quarter of the datagrams is lost
)

// Scenarios are the names of all scenarios.
var Scenarios = []string{scenarioCalm, scenarioVanish, scenarioFlap, scenarioSplit, scenarioLossy}

// defaultVanishShare is the default of Config.VanishShare.
const defaultVanishShare = 0.48

// Errors that Play's errors wrap.
var (
	ErrUnknownScenario = errors.New("unknown scenario")
	ErrTooSmall        = errors.New("run too small")
)

// Config configures a run.
type Config struct {
	Nodes       int           // at least 2
	Servers     int           // at least 1
	Duration    time.Duration // virtual, at least 1 s
	Seed        uint64
	Scenario    string        // one of Scenarios
	ReceiveRate float64       // see healthcheck.Config
	SendRate    float64       // see healthcheck.Config
	Interval    time.Duration // see healthcheck.Config
	VanishShare float64       // share of the nodes that vanish in the scenario vanish; 0 for defaultVanishShare
}

// check validates a configuration and returns it with defaults. An error wraps ErrUnknownScenario or ErrTooSmall.
func (c Config) validate() (Config, error) {
	if !slices.Contains(Scenarios, c.Scenario) {
		return c, fmt.Errorf("%w: %q is none of %v", ErrUnknownScenario, c.Scenario, Scenarios)
	}
	if c.Nodes < 2 || c.Servers < 1 || c.Duration < time.Second {
		return c, fmt.Errorf("%w: %d nodes, %d servers, %v: at least 2, 1 and 1s", ErrTooSmall, c.Nodes, c.Servers, c.Duration)
	}
	if c.VanishShare == 0 {
		c.VanishShare = defaultVanishShare
	}
	return c, nil
}

// Result is the result of a run. Times are in seconds.
type Result struct {
	Scenario             string  `json:"scenario"`
	Nodes                int     `json:"nodes"`
	Servers              int     `json:"servers"`
	PingPeriod           float64 `json:"ping_period_s"`
	CheckInterval        float64 `json:"check_period_s"`
	WorstGap             float64 `json:"worst_gap_s"`    // longest time between two checks of a server
	WorstGapAt           float64 `json:"worst_gap_at_s"` // end of that time
	Checks               int64   `json:"checks"`
	DuplicateChecks      int64   `json:"doubled"` // checks within half an interval after a check by another node
	MeanBytesPerSecond   float64 `json:"bytes_a_node_a_second"`
	MaxBytesPerSecond    float64 `json:"bytes_a_second_of_the_busiest_node"`
	MaxMessagesPerSecond float64 `json:"messages_a_second_into_the_busiest_node"`
	Withheld             int64   `json:"held_back"`    // messages dropped because of SendRate
	FalseDeaths          int     `json:"wrong_deaths"` // live members that are dead at another node at the end of the run, over all nodes
	SettleTime           float64 `json:"settled_s"`    // from the end of the fault until no live member is dead at any node; -1 for never
}

// Play simulates a run. An error wraps ErrUnknownScenario or ErrTooSmall.
func Play(cfg Config) (Result, error) {
	cfg, err := cfg.validate()
	if err != nil {
		return Result{}, err
	}
	s := newSimulation(cfg)
	s.run()
	return s.summarize(), nil
}
