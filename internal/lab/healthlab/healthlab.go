// Package healthlab simulates a fleet's shared health checks in virtual time. Each node runs the real internal/healthcheck.
// Datagrams are delayed, lost, duplicated and reordered; nodes stop, flap or are partitioned. One goroutine executes the
// events, ordered by time and then by scheduling, so that the same configuration gives the same run.
//
// A Result shows the longest time without a check of an app server, the number of duplicate checks, and the traffic of the
// nodes.
package healthlab

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The scenarios, each with one fault, which lasts from a third of the run to two thirds.
const (
	calm   = "calm"   // no fault
	vanish = "vanish" // a share of the nodes stops
	flap   = "flap"   // nodes stop and start every few seconds
	split  = "split"  // the fleet is partitioned into two halves
	lossy  = "lossy"  // a quarter of the datagrams is lost
)

// Scenarios lists the names of all scenarios.
var Scenarios = []string{calm, vanish, flap, split, lossy}

const defaultVanishShare = 0.48 // share of the nodes

// Errors of Play.
var (
	ErrUnknownScenario = errors.New("unknown scenario")
	ErrTooSmall        = errors.New("run too small")
)

// Config configures a run.
type Config struct {
	Nodes       int
	Servers     int
	Duration    time.Duration // in virtual time
	Seed        uint64
	Scenario    string        // one of Scenarios
	ReceiveRate float64       // of healthcheck.Config, messages/s
	SendRate    float64       // of healthcheck.Config, bytes/s
	Interval    time.Duration // between two checks of a server
	VanishShare float64       // share of the nodes that stop in the scenario vanish; 0 for the default of 0.48
}

// check returns the configuration with its defaults set. An error wraps ErrUnknownScenario or ErrTooSmall.
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

// Result holds the figures of a run. Times are in seconds. The JSON keys are a stable format.
type Result struct {
	Scenario     string  `json:"scenario"`
	Nodes        int     `json:"nodes"`
	Servers      int     `json:"servers"`
	Period       float64 `json:"ping_period_s"`
	Interval     float64 `json:"check_period_s"`
	WorstGap     float64 `json:"worst_gap_s"`    // longest time between two checks of a server
	WorstGapAt   float64 `json:"worst_gap_at_s"` // end of that time
	Checks       int64   `json:"checks"`
	Duplicates   int64   `json:"doubled"` // checks within half an interval after a check by another node
	BytesMean    float64 `json:"bytes_a_node_a_second"`
	BytesMax     float64 `json:"bytes_a_second_of_the_busiest_node"`
	MessagesMax  float64 `json:"messages_a_second_into_the_busiest_node"`
	Withheld     int64   `json:"held_back"`    // messages, by the limit on sending
	WrongDeaths  int     `json:"wrong_deaths"` // members considered dead at the end, when all are up, summed over all nodes
	ConvergenceS float64 `json:"settled_s"`    // from the fault's end until no node considers a member dead; -1 for never
}

// Play runs a simulation and returns its figures. An error wraps ErrUnknownScenario or ErrTooSmall.
func Play(cfg Config) (Result, error) {
	cfg, err := cfg.check()
	if err != nil {
		return Result{}, err
	}
	s := newSimulation(cfg)
	s.play()
	return s.summarize(), nil
}
