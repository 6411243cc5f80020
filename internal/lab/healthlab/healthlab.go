// Package healthlab simulates a fleet's shared health checks in virtual time: N nodes that each run the real
// internal/healthcheck, datagrams that are late, lost, duplicated and reordered, and nodes that vanish, flap or are
// partitioned. It uses one goroutine and one queue of events ordered by time and sequence; the same configuration gives the
// same run. A Result shows how long app servers went unchecked, how often two nodes checked one, and what the nodes sent.
package healthlab

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The scenarios, by their fault. It begins after a third of the run and ends after two thirds.
const (
	calm   = "calm"   // none
	vanish = "vanish" // some of the nodes stop
	flap   = "flap"   // nodes stop and start every few seconds
	split  = "split"  // the fleet is partitioned into two halves
	lossy  = "lossy"  // a quarter of the datagrams is lost
)

// Scenarios lists the names of all scenarios.
var Scenarios = []string{calm, vanish, flap, split, lossy}

const defaultVanishShare = 0.48

// Errors of Play.
var (
	ErrUnknownScenario = errors.New("unknown scenario")
	ErrTooSmall        = errors.New("run too small")
)

// Config is one run.
type Config struct {
	Nodes       int
	Servers     int
	Duration    time.Duration // virtual
	Seed        uint64
	Scenario    string
	ReceiveRate float64       // as healthcheck.Config has it: messages a second,
	SendRate    float64       // and bytes a second
	Interval    time.Duration // between two checks of a server
	VanishShare float64       // share of the nodes that vanish at once; 0.48 where not set
}

// check validates a configuration and returns it with its defaults set. An error wraps ErrUnknownScenario or ErrTooSmall.
func (c Config) check() (Config, error) {
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
	Scenario     string  `json:"scenario"`
	Nodes        int     `json:"nodes"`
	Servers      int     `json:"servers"`
	Period       float64 `json:"ping_period_s"`
	Interval     float64 `json:"check_period_s"`
	WorstGap     float64 `json:"worst_gap_s"`    // longest time between two checks of a server
	WorstGapAt   float64 `json:"worst_gap_at_s"` // and when it ended
	Checks       int64   `json:"checks"`
	Doubled      int64   `json:"doubled"` // checks within half an interval of the last one by another node
	BytesMean    float64 `json:"bytes_a_node_a_second"`
	BytesMost    float64 `json:"bytes_a_second_of_the_busiest_node"`
	MessagesMost float64 `json:"messages_a_second_into_the_busiest_node"`
	Withheld     int64   `json:"held_back"`
	WrongDeaths  int     `json:"wrong_deaths"` // members considered dead at the end, summed over all nodes; all are up then
	Settled      float64 `json:"settled_s"`    // from the end of the fault until all members are considered alive by all; -1 for never
}

// Play simulates a run. An error wraps ErrUnknownScenario or ErrTooSmall.
func Play(cfg Config) (Result, error) {
	cfg, err := cfg.check()
	if err != nil {
		return Result{}, err
	}
	s := newSimulation(cfg)
	s.play()
	return s.summarize(), nil
}
