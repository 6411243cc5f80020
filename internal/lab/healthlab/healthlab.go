// Package healthlab simulates the shared health checks of a fleet in virtual time. Each simulated node runs the real
// internal/healthcheck. Datagrams are delayed, lost, duplicated and reordered. Nodes stop, restart or are partitioned.
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

// Names of the scenarios. Each has at most one fault, which begins after a third of the run and ends after two thirds.
const (
	scenarioCalm   = "calm"   // no fault
	scenarioVanish = "vanish" // a share of the nodes stops
	scenarioFlap   = "flap"   // nodes stop and start every few seconds
	scenarioSplit  = "split"  // the fleet is partitioned into two halves
	scenarioLossy  = "lossy"  // a quarter of the datagrams is lost
)

// Scenarios are the names of all scenarios.
var Scenarios = []string{scenarioCalm, scenarioVanish, scenarioFlap, scenarioSplit, scenarioLossy}

// defaultVanishShare is the default of Config.VanishShare.
const defaultVanishShare = 0.48

// Errors of an invalid Config.
var (
	ErrUnknownScenario = errors.New("unknown scenario")
	ErrTooSmall        = errors.New("run too small")
)

// Config configures a run.
type Config struct {
	Nodes       int           // number of nodes, at least 2
	Servers     int           // number of app servers, at least 1
	Duration    time.Duration // virtual time of the run, at least 1 s
	Seed        uint64
	Scenario    string        // name in Scenarios
	ReceiveRate float64       // ReceiveRate of healthcheck.Config, messages/s
	SendRate    float64       // SendRate of healthcheck.Config, bytes/s
	Interval    time.Duration // Interval of healthcheck.Config
	VanishShare float64       // share of the nodes that stop in the scenario vanish; 0 for defaultVanishShare
}

// validate validates the configuration and returns it with its defaults. An error wraps ErrUnknownScenario or ErrTooSmall.
func (c Config) validate() (Config, error) {
	if !slices.Contains(Scenarios, c.Scenario) {
		return c, fmt.Errorf("%w: %q is none of %v", ErrUnknownScenario, c.Scenario, Scenarios)
	}
	if c.Nodes < 2 || c.Servers < 1 || c.Duration < time.Second {
		return c, fmt.Errorf("%w: %d nodes, %d servers and a duration of %v; at least 2, 1 and 1s are required",
			ErrTooSmall, c.Nodes, c.Servers, c.Duration)
	}
	if c.VanishShare == 0 {
		c.VanishShare = defaultVanishShare
	}
	return c, nil
}

// Result is the result of a run. Times are in seconds of virtual time.
type Result struct {
	Scenario             string  `json:"scenario"`
	Nodes                int     `json:"nodes"`
	Servers              int     `json:"servers"`
	PingPeriod           float64 `json:"ping_period_s"`                           // time between two pings of a node
	CheckInterval        float64 `json:"check_period_s"`                          // time between two checks of a server
	WorstGap             float64 `json:"worst_gap_s"`                             // longest time without a check of a server
	WorstGapAt           float64 `json:"worst_gap_at_s"`                          // virtual time of the end of that gap
	Checks               int64   `json:"checks"`                                  // number of checks
	DuplicateChecks      int64   `json:"doubled"`                                 // number of checks within half an interval after a check by another node
	MeanBytesPerSecond   float64 `json:"bytes_a_node_a_second"`                   // bytes/s sent by a node, mean of all nodes
	MaxBytesPerSecond    float64 `json:"bytes_a_second_of_the_busiest_node"`      // bytes/s sent by the node that sent most
	MaxMessagesPerSecond float64 `json:"messages_a_second_into_the_busiest_node"` // messages/s received by the node that received most
	Withheld             int64   `json:"held_back"`                               // number of messages dropped because of SendRate
	FalseDeaths          int     `json:"wrong_deaths"`                            // number of live members that a node considers dead at the end, sum over all nodes
	SettleTime           float64 `json:"settled_s"`                               // time from the fault's end until no node considers a live member dead; -1 for never
}

// Simulate simulates a run with the given configuration. An error wraps ErrUnknownScenario or ErrTooSmall.
func Simulate(cfg Config) (Result, error) {
	cfg, err := cfg.validate()
	if err != nil {
		return Result{}, err
	}
	s := newSimulation(cfg)
	s.run()
	return s.summarize(), nil
}
