// Package soak runs real edge nodes, processes of this program, among app servers, discovery and clients that misbehave, all
// on loopback, and judges what reaches servers and clients by the promises that the node's pages make (docs/invariants.md).
// Several faults overlap at any time: signals, system calls that fail, servers, connections and clients that break off.
//
// The same seed draws the same faults in the same order; when each meets which request is up to the machine.
package soak

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Config is one run.
type Config struct {
	Program  string        // this program, started anew for each node
	Dir      string        // for configuration files and the nodes' logs; empty for one that is removed
	Nodes    int           // edge nodes, a process each
	Servers  int           // app servers
	Rate     float64       // requests a second at a node, mean
	Duration time.Duration // of the clients' requests
	Seed     uint64
	Faults   []string // which to play; nil for all

	Log *zerolog.Logger `json:"-"` // a line for each fault; nil for none
}

// Default is the form that is run by hand.
func Default() Config {
	return Config{Nodes: 24, Servers: 16, Rate: 16, Duration: 30 * time.Second, Seed: 1}
}

const (
	maxNodes   = 100 // a few hundred processes are the most that a machine is to bear
	maxServers = 200
)

// Check returns an error that names the first value that can't be played.
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
