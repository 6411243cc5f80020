// Package soak runs real edge nodes, processes of this program, among app servers, a discovery service and clients with
// faults, all on loopback. Several faults overlap at any time: signals, failing system calls, and servers, connections and
// clients that stop at any point.
//
// Servers and clients record the history of each request. A checker compares the histories with the invariants of
// docs/invariants.md. The same seed draws the same faults in the same order; the machine's timing decides which requests
// each fault meets.
package soak

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Config describes a run.
type Config struct {
	Program  string        // path of this program, which is started for each node
	Dir      string        // for configuration files and the nodes' logs; empty for a temporary one
	Nodes    int           // edge nodes, a process each
	Servers  int           // app servers
	Rate     float64       // requests a second at a node, mean
	Duration time.Duration // in which clients send requests
	Seed     uint64
	Faults   []string // names of the faults to play; nil for all

	Log *zerolog.Logger `json:"-"` // a line for each fault; nil for none
}

// Default returns the configuration of a run by hand, without Program.
func Default() Config {
	return Config{Nodes: 24, Servers: 16, Rate: 16, Duration: 30 * time.Second, Seed: 1}
}

// Second words of the seeds of the run's random streams. Clients combine theirs with the
// number of the node, fault players with their own number.
const (
	clientStream    = 1 << 32
	malformedStream = 2 << 32
	faultStream     = 3 << 32
)

const (
	maxNodes   = 100
	maxServers = 200
)

// Check sets a missing log, and returns an error that names the first invalid value.
func (c *Config) Check() error {
	if c.Log == nil {
		none := zerolog.Nop()
		c.Log = &none
	}
	switch {
	case c.Program == "":
		return errors.New("no program to start")
	case c.Nodes < 1 || c.Nodes > maxNodes:
		return errors.New("nodes: 1 to 100")
	case c.Servers < 2 || c.Servers > maxServers:
		return errors.New("servers: 2 to 200")
	case !(c.Rate > 0 && c.Rate <= 1000):
		return errors.New("rate: above 0 to 1000 requests a second")
	case c.Duration < time.Second:
		return errors.New("for: a second at least")
	}
	return checkFaultNames(c.Faults)
}
