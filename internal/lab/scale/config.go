// Package scale plays the target size on one machine: a few real edge nodes (processes of this program), many simulated
// nodes that share a process (the real decision engine through internal/routing and real datagrams, but no client
// sockets), many simulated app servers that share another, a stand-in for discovery's agent, and open-loop clients. It
// measures what the size costs a node and what a client notices. Everything binds to loopback. What is and isn't
// imitated stands in docs/lab.md.
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

// The scripted faults, as the flag and the result name them, in the order in which they are played.
const (
	FaultChanges        = "changes" // one server after another drains, goes, comes or changes
	FaultRollingRestart = "roll"    // a rolling restart of all nodes
	FaultZoneLoss       = "zone"    // a zone is lost, is reported later, and comes back cold
	FaultWatchLoss      = "watch"   // discovery's agent breaks all watches at once and sends full lists anew
)

// Faults lists them all.
var Faults = []string{FaultChanges, FaultRollingRestart, FaultZoneLoss, FaultWatchLoss}

// Config is one run.
type Config struct {
	Program       string        // this program, started anew for each child
	Dir           string        // for configuration files and children's logs; empty for one that is removed
	Nodes         int           // edge nodes that the settings state
	Real          int           // of these, processes with sockets
	Simulated     int           // and nodes that share a process; below 0: all others
	Servers       int           // app servers
	Tenants       int           // customers
	Rate          float64       // requests/s at a real node, mean
	SimulatedRate float64       // requests/s at a simulated node, mean
	DirectShare   float64       // part of the real nodes' completed requests that is sent once more, directly to the same server
	PeerRate      float64       // messages/s that a node accepts from peers, as the settings state
	Duration      time.Duration // of the run, from the first request on
	TimeLimit     time.Duration // everything is stopped after so long, whatever is in progress; 0 for a default
	Seed          uint64
	Faults        []string // which to play; nil for all
	Sockets       int      // descriptors of each real node
	MemoryMB      int      // memory that each real node is configured with

	Log *zerolog.Logger `json:"-"` // a line for each section; nil for none
}

// Default is the target size.
func Default() Config {
	return Config{
		Nodes: 830, Real: 3, Simulated: -1, Servers: 13000, Tenants: 43000, Rate: 85, SimulatedRate: 2, DirectShare: 0.2,
		PeerRate: 100, Duration: time.Minute, Seed: 1, Sockets: 1024, MemoryMB: 192,
	}
}

const (
	regions         = 2
	zonesPerRegion  = 6
	serversPerSpare = 50 // there is one server more for each so many, not listed at first: changes add them
)

// An app server may be sent requests for drainGrace after its drain was published; the count of late sends allows
// countSlack on top.
const (
	drainGrace = 500 * time.Millisecond
	countSlack = 50 * time.Millisecond
)

// Check fills in defaults and returns an error that names the first flag whose value can't be played.
func (c *Config) Check() error {
	c.fillDefaults()
	for _, fault := range c.Faults {
		if !slices.Contains(Faults, fault) {
			return fmt.Errorf("fault %q: one of %s", fault, strings.Join(Faults, ", "))
		}
	}
	if err := c.checkSizes(); err != nil {
		return err
	}
	switch {
	case !within(c.SimulatedRate, 0, 1e4) || !within(c.DirectShare, 0, 1) || c.Rate == 0 || !within(c.Rate, 0, 1e4):
		return errors.New("rate: above 0 to 10000 requests/s, simulated-rate: 0 to 10000, direct: 0 to 1")
	case c.Duration < time.Second || c.TimeLimit < c.Duration:
		return errors.New("for: a second at least, and not more than the hard stop")
	case c.Sockets < 64 || c.MemoryMB < 16:
		return errors.New("sockets: 64 at least, memory-mb: 16 at least")
	}
	return nil
}

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

func (c *Config) checkSizes() error {
	switch {
	case c.Program == "":
		return errors.New("no program to start")
	case c.Real < 1 || c.Real > 64:
		return errors.New("real: 1 to 64 nodes")
	case c.Nodes < c.Real+c.Simulated || c.Nodes > 1<<15:
		return errors.New("nodes: real and simulated ones at least, 32768 at most")
	case c.Servers < 1 || c.Servers > 1<<17:
		return errors.New("servers: 1 to 131072")
	case c.Tenants < 1 || c.Tenants > 1<<20:
		return errors.New("tenants: 1 to 1048576")
	}
	return nil
}

// within is false for a NaN too.
func within(v, least, most float64) bool { return v >= least && v <= most }

// spareServers is how many servers there are beside those listed at first.
func (c *Config) spareServers() int { return max(2, c.Servers/serversPerSpare) }

// liveNodes is how many of the nodes run, real ones first.
func (c *Config) liveNodes() int { return c.Real + c.Simulated }

// simulatedCores is how many cores the simulated nodes may use: each real node has one, and the app servers and the lab
// share one.
func (c *Config) simulatedCores() int { return max(1, runtime.NumCPU()-c.Real-1) }
