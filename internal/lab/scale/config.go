// Package scale runs a fleet of the target size on one machine, on loopback:
//
//   - a few real edge nodes, which are processes of this program;
//   - many simulated nodes in one process, with the real decision engine (through internal/routing) and real datagrams, but
//     without client sockets;
//   - many simulated app servers in one process;
//   - a simulated discovery agent and open-loop clients, in the process of the lab itself.
//
// A run measures the latency that a node adds to a request, and the CPU, memory and traffic of a node at that size.
// docs/lab.md describes how the simulation differs from a real fleet.
package scale

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Names of the scripted faults in the --fault flag and in the result. A run executes the faults in this order.
const (
	FaultChanges        = "changes" // servers drain, are removed, are added or change their weight, one after another
	FaultRollingRestart = "roll"    // all nodes restart: real ones one after another, simulated ones in batches
	FaultZoneLoss       = "zone"    // a zone's servers fail, are removed from the list, and are restarted and listed as new
	FaultWatchLoss      = "watch"   // the discovery agent closes all watches at once; each node then gets the full list
)

// Faults lists the names of all faults in the order in which a run executes them.
var Faults = []string{FaultChanges, FaultRollingRestart, FaultZoneLoss, FaultWatchLoss}

// Config configures a run. Check replaces the values that stand for defaults.
type Config struct {
	Program       string        // path of this program; each child process runs it
	Dir           string        // folder for configuration files and children's logs; empty: a temporary folder
	Nodes         int           // number of edge nodes in the nodes' settings
	Real          int           // number of nodes that run as processes with sockets
	Simulated     int           // number of nodes simulated in one process; below 0: all nodes that are not real
	Servers       int           // number of app servers listed at the start
	Tenants       int           // number of customers
	Rate          float64       // mean request rate at a real node, requests/s
	SimulatedRate float64       // mean request rate at a simulated node, requests/s
	DirectShare   float64       // share of the real nodes' completed requests that clients repeat directly at the server
	PeerRate      float64       // peer messages that a node accepts according to its settings, messages/s
	Duration      time.Duration // time from the first request to the end of the last section
	TimeLimit     time.Duration // longest time of the whole run, including its setup; 0 or less: a default
	Seed          uint64        // seed of all random sources
	Faults        []string      // faults to inject; nil: all
	Sockets       int           // descriptor limit in the configuration of each real node
	MemoryMB      int           // memory limit in the configuration of each real node, MiB

	Log *zerolog.Logger `json:"-"` // logger of the run's progress; nil: no log
}

// Default returns the configuration of the target size, without Program.
func Default() Config {
	return Config{
		Nodes: 830, Real: 3, Simulated: -1, Servers: 13000, Tenants: 43000, Rate: 85, SimulatedRate: 2, DirectShare: 0.2,
		PeerRate: 100, Duration: time.Minute, Seed: 1, Sockets: 1024, MemoryMB: 192,
	}
}

const (
	regions         = 2
	zonesPerRegion  = 6
	serversPerSpare = 50 // listed servers per spare server; FaultChanges adds spare servers to the list
)

// Second words of the PCG seeds, one for each random stream of the run. Config.Seed is the first word.
const (
	tenantStream      = 0x7465  // assignment of nodes to tenants
	nodeRequestStream = 0x686f  // times, nodes, tenants and classes of the simulated nodes' requests
	nodeRandomStream  = 1 << 32 // other random draws of the simulated nodes; combined with the number of the source
	clientStream      = 1 << 33 // requests of a real node's clients; combined with the node's number
)

const (
	drainGrace         = 500 * time.Millisecond // time after a drain is published in which nodes may still send to the server
	violationTolerance = 50 * time.Millisecond  // excess over a time limit that is not yet counted as a violation
)

// FlagError is the error of a flag whose value is out of range.
type FlagError struct {
	Flag  string // name of the flag, without dashes
	Value any
	Range string // description of the valid values
}

// Error names the flag, the value and the valid range.
func (e *FlagError) Error() string {
	return fmt.Sprintf("%s: %v is out of range: %s", e.Flag, e.Value, e.Range)
}

// Check sets defaults and returns an error that names the first flag with an invalid value.
func (c *Config) Check() error {
	c.fillDefaults()
	if c.Program == "" {
		return errors.New("no program to start: the path of the program is empty")
	}
	for _, fault := range c.Faults {
		if !slices.Contains(Faults, fault) {
			return fmt.Errorf("unknown fault %q, want one of %s", fault, strings.Join(Faults, ", "))
		}
	}
	for _, check := range c.rangeChecks() {
		if !check.valid {
			return &check.FlagError
		}
	}
	return nil
}

// rangeCheck is the result of the check of a flag's value. FlagError is the error to return if the value is not valid.
type rangeCheck struct {
	FlagError
	valid bool
}

// rangeChecks checks the values of all numeric flags. The caller calls fillDefaults first.
func (c *Config) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{FlagError{"real", c.Real, "1 to 64 nodes"}, c.Real >= 1 && c.Real <= 64},
		{FlagError{"nodes", c.Nodes, "at least the real and simulated nodes, at most 32768"}, c.Nodes >= c.liveNodes() && c.Nodes <= 1<<15},
		{FlagError{"servers", c.Servers, "1 to 131072"}, c.Servers >= 1 && c.Servers <= 1<<17},
		{FlagError{"tenants", c.Tenants, "1 to 1048576"}, c.Tenants >= 1 && c.Tenants <= 1<<20},
		{FlagError{"rate", c.Rate, "above 0 to 10000 requests/s"}, c.Rate != 0 && inRange(c.Rate, 0, 1e4)},
		{FlagError{"simulated-rate", c.SimulatedRate, "0 to 10000 requests/s"}, inRange(c.SimulatedRate, 0, 1e4)},
		{FlagError{"direct", c.DirectShare, "0 to 1"}, inRange(c.DirectShare, 0, 1)},
		{FlagError{"for", c.Duration, "1s to the time limit"}, c.Duration >= time.Second && c.TimeLimit >= c.Duration},
		{FlagError{"sockets", c.Sockets, "at least 64"}, c.Sockets >= 64},
		{FlagError{"memory-mb", c.MemoryMB, "at least 16"}, c.MemoryMB >= 16},
	}
}

// fillDefaults replaces the values that stand for defaults.
func (c *Config) fillDefaults() {
	if c.Simulated < 0 {
		c.Simulated = max(0, c.Nodes-c.Real)
	}
	if c.TimeLimit <= 0 {
		c.TimeLimit = c.Duration + firstListTimeout + time.Minute
	}
	if c.Faults == nil {
		c.Faults = Faults
	}
	if c.Log == nil {
		none := zerolog.Nop()
		c.Log = &none
	}
}

// inRange reports whether v is in the range [low, high]. It returns false for a NaN.
func inRange(v, low, high float64) bool { return v >= low && v <= high }

// spareServers returns the number of servers that are not listed at the start.
func (c *Config) spareServers() int { return max(2, c.Servers/serversPerSpare) }

// liveNodes returns the number of nodes that run. Real nodes have the lowest numbers; simulated nodes follow.
func (c *Config) liveNodes() int { return c.Real + c.Simulated }

// simulatedCores returns the number of cores for the simulated nodes, at least 1. One core for each real node, and one core
// that the app servers and the lab share, are left to the other processes.
func (c *Config) simulatedCores() int { return max(1, runtime.NumCPU()-c.Real-1) }
