// Package soak runs a soak test of real edge nodes, which are processes of this program. App servers, a discovery agent and
// clients run in the test's own process, and all connections use loopback. Several faults overlap at any time: signals, failing
// system calls, and servers, connections and clients that stop at any point.
//
// Servers and clients record the history of each request. A checker compares the histories with the invariants of
// docs/invariants.md. The seed fixes the random streams of clients and faults. The machine's timing decides which requests each
// fault affects, and which faults are skipped because another one holds their target.
package soak

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
)

// Config configures a run.
type Config struct {
	Program  string        // path of this program, which the run starts for each node
	Dir      string        // folder of the configuration files and the nodes' logs; empty for a temporary one
	Nodes    int           // number of edge nodes, each a process
	Servers  int           // number of app servers
	Rate     float64       // mean number of sends a second at each node; a pipelining client sends several requests at once
	Duration time.Duration // time in which clients send requests
	Seed     uint64
	Faults   []string // names of the faults to inject; nil for all

	Log *zerolog.Logger `json:"-"` // log for one line after each fault; nil for none
}

// Default returns the configuration of a manual run. The caller must set Program.
func Default() Config {
	return Config{Nodes: 24, Servers: 16, Rate: 16, Duration: 30 * time.Second, Seed: 1}
}

// Second words of the seeds of the run's random streams. Clients combine clientStream with the number of their node, and fault
// injectors combine faultStream with their own number.
const (
	clientStream    = 1 << 32
	malformedStream = 2 << 32
	faultStream     = 3 << 32
)

const (
	maxNodes   = 100
	maxServers = 200
)

// Check replaces a missing log by one that discards its lines. It returns an error that names the first invalid value.
func (c *Config) Check() error {
	if c.Log == nil {
		none := zerolog.Nop()
		c.Log = &none
	}
	switch {
	case c.Program == "":
		return errors.New("program is empty, want the path of this program")
	case c.Nodes < 1 || c.Nodes > maxNodes:
		return fmt.Errorf("nodes is %d, want 1 to %d", c.Nodes, maxNodes)
	case c.Servers < 2 || c.Servers > maxServers:
		return fmt.Errorf("servers is %d, want 2 to %d", c.Servers, maxServers)
	case !(c.Rate > 0 && c.Rate <= 1000):
		return fmt.Errorf("rate is %v requests a second, want above 0 and at most 1000", c.Rate)
	case c.Duration < time.Second:
		return fmt.Errorf("duration (for) is %v, want at least 1s", c.Duration)
	}
	return checkFaultNames(c.Faults)
}
