// Package scale runs a fleet of the target size on one machine, on loopback:
//
//   - a few real edge nodes, which are processes of this program;
//   - many simulated nodes in one process, with the real decision engine (through internal/routing) and real datagrams, but
//     without client sockets;
//   - many simulated app servers in one process;
//   - a stand-in for discovery's agent, and open-loop clients.
//
// A run measures the latency that a node adds to a request, and the CPU, memory and traffic of a node at that size.
// docs/lab.md says how the simulation differs from a real fleet.
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

// The scripted faults, by their names in the flag and the result, in the order in which a run plays them.
const (
	FaultChanges        = "changes" // servers drain, are removed, are added or change their weight, one after another
	FaultRollingRestart = "roll"    // a rolling restart of all nodes
	FaultZoneLoss       = "zone"    // a zone's servers are lost, later removed from the list, and come back cold
	FaultWatchLoss      = "watch"   // discovery's agent closes all watches at once, and then sends full lists
)

// Faults lists the names of all faults.
var Faults = []string{FaultChanges, FaultRollingRestart, FaultZoneLoss, FaultWatchLoss}

// Config configures a run.
type Config struct {
	Program       string        // path of this program, which is started for each child
	Dir           string        // folder of configuration files and children's logs; empty for a temporary one
	Nodes         int           // edge nodes according to the settings
	Real          int           // nodes that are processes with sockets
	Simulated     int           // nodes that share a process; below 0 for all nodes that are not real
	Servers       int           // app servers listed at first
	Tenants       int           // customers
	Rate          float64       // requests/s at a real node, mean
	SimulatedRate float64       // requests/s at a simulated node, mean
	DirectShare   float64       // share of the real nodes' completed requests that is repeated directly at the server
	PeerRate      float64       // messages/s that a node accepts from peers according to the settings
	Duration      time.Duration // of the run, from the first request on
	TimeLimit     time.Duration // after which the whole run is stopped; 0 for a default
	Seed          uint64        // of all random draws
	Faults        []string      // to play; nil for all
	Sockets       int           // descriptors of each real node
	MemoryMB      int           // configured memory of each real node

	Log *zerolog.Logger `json:"-"` // gets a line for each section; nil for none
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
	serversPerSpare = 50 // listed servers for each spare one; changes add the spare servers to the list
)

// Second words of the seeds of the run's random streams.
const (
	tenantStream      = 0x7465  // the tenants' nodes
	nodeRequestStream = 0x686f  // times, nodes, tenants and classes of the simulated nodes' requests
	nodeRandomStream  = 1 << 32 // random sources of the simulated nodes; combined with a number
	clientStream      = 1 << 33 // clients of the real nodes; combined with the number of the node
)

const (
	drainGrace         = 500 * time.Millisecond // after a drain's publication, in which nodes may still send to the server
	violationTolerance = 50 * time.Millisecond  // allowed on top of a limit before a violation is counted
)

// FlagError is the error of a flag whose value is out of range.
type FlagError struct {
	Flag  string
	Value any
	Range string // of valid values
}

// Error names the flag, the value and the valid range.
func (e *FlagError) Error() string {
	return fmt.Sprintf("%s: %v is out of range: %s", e.Flag, e.Value, e.Range)
}

// Check sets defaults and returns an error that names the first flag with an invalid value.
func (c *Config) Check() error {
	c.fillDefaults()
	if c.Program == "" {
		return errors.New("no program to start")
	}
	for _, fault := range c.Faults {
		if !slices.Contains(Faults, fault) {
			return fmt.Errorf("fault %q: one of %s", fault, strings.Join(Faults, ", "))
		}
	}
	for _, check := range c.rangeChecks() {
		if !check.valid {
			return &check.FlagError
		}
	}
	return nil
}

// rangeCheck is the check of a flag's value.
type rangeCheck struct {
	FlagError
	valid bool
}

// rangeChecks returns the checks of all numeric flags, after fillDefaults.
func (c *Config) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{FlagError{"real", c.Real, "1 to 64 nodes"}, c.Real >= 1 && c.Real <= 64},
		{FlagError{"nodes", c.Nodes, "real and simulated nodes at least, 32768 at most"}, c.Nodes >= c.liveNodes() && c.Nodes <= 1<<15},
		{FlagError{"servers", c.Servers, "1 to 131072"}, c.Servers >= 1 && c.Servers <= 1<<17},
		{FlagError{"tenants", c.Tenants, "1 to 1048576"}, c.Tenants >= 1 && c.Tenants <= 1<<20},
		{FlagError{"rate", c.Rate, "above 0 to 10000 requests/s"}, c.Rate != 0 && inRange(c.Rate, 0, 1e4)},
		{FlagError{"simulated-rate", c.SimulatedRate, "0 to 10000 requests/s"}, inRange(c.SimulatedRate, 0, 1e4)},
		{FlagError{"direct", c.DirectShare, "0 to 1"}, inRange(c.DirectShare, 0, 1)},
		{FlagError{"for", c.Duration, "1s to the hard stop"}, c.Duration >= time.Second && c.TimeLimit >= c.Duration},
		{FlagError{"sockets", c.Sockets, "64 at least"}, c.Sockets >= 64},
		{FlagError{"memory-mb", c.MemoryMB, "16 at least"}, c.MemoryMB >= 16},
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

// within reports whether v is in the range [least, most]. It is false for a NaN.
func inRange(v, least, most float64) bool { return v >= least && v <= most }

// spareServers returns the number of servers that are not listed at first.
func (c *Config) spareServers() int { return max(2, c.Servers/serversPerSpare) }

// liveNodes returns the number of nodes that run. Real nodes have the lowest numbers, simulated ones follow.
func (c *Config) liveNodes() int { return c.Real + c.Simulated }

// simulatedCores returns the number of cores for the simulated nodes: all but one for each real node and one that the app
// servers and the lab share.
func (c *Config) simulatedCores() int { return max(1, runtime.NumCPU()-c.Real-1) }
