package model

import (
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// Policy is what decides at the nodes.
type Policy string

// The policies. Only Module decides as the node does; the others are baselines to measure it against.
const (
	Module     Policy = "module"      // the real decision engine, through internal/routing
	RoundRobin Policy = "round-robin" // rotation with a static limit of attempts in flight per server and node
	LeastBusy  Policy = "late"        // the server with the least work in hand, as of the last sample: up to 1 s old
)

// Config is one run's configuration.
type Config struct {
	Nodes    int
	Seconds  float64 // virtual time of arrivals; the run ends when the last request has its answer
	Policy   Policy
	Seed     uint64
	Traffic  operatorfile.Traffic  // Rate is the fleet's; Target and DurationS are not used
	Server   operatorfile.Emulator // of each of Servers; Listen and Schedule are not used
	Schedule emulator.Schedule     // of faults
	Settings *settings.Settings    // of each node, but for its number; nil for DefaultSettings
	Limit    int                   // RoundRobin: attempts in flight at a server from one node; 0 for twice an even part
	RTT      time.Duration         // round trip between a node and a server; 0 for 500 µs
	Quota    float64               // baselines: a tenant's units a second; 0 for those of DefaultSettings
	Burst    float64               // baselines: a tenant's bucket, units; 0 for two seconds of Quota
}

// ConfigError is a configuration that can't be run.
type ConfigError struct {
	Setting string // with its value, where that helps
	Reason  string
}

func (e *ConfigError) Error() string { return "model: " + e.Setting + " " + e.Reason }

// check returns a *ConfigError, or nil where the configuration can be run.
func (c *Config) check() error {
	if c.Nodes < 1 || c.Server.Servers < 1 || !(c.Seconds > 0) {
		return &ConfigError{"nodes, servers and seconds", "must be above 0"}
	}
	switch c.Policy {
	case Module, RoundRobin, LeastBusy:
		return nil
	default:
		return &ConfigError{"policy \"" + string(c.Policy) + "\"", "is none of module, round-robin, late"}
	}
}

// setDefaults sets what is 0 and has a default.
func (c *Config) setDefaults() {
	if c.RTT <= 0 {
		c.RTT = 500 * time.Microsecond
	}
	if c.Limit <= 0 {
		c.Limit = max(1, c.Server.Concurrency*2/max(1, c.Nodes))
	}
	if c.Quota <= 0 {
		c.Quota, c.Burst = defaultRate, defaultBurst
	}
	if c.Burst <= 0 {
		c.Burst = 2 * c.Quota
	}
}
