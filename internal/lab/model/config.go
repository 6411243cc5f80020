package model

import (
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// Policy is the policy by which the nodes decide on requests.
type Policy string

// The policies. Module is the policy of real nodes; the others are baselines.
const (
	Module     Policy = "module"      // the decision engine, through internal/routing
	RoundRobin Policy = "round-robin" // rotation with a static limit of attempts in flight per server and node
	LeastBusy  Policy = "late"        // the server with the fewest attempts at the last sample, which is up to 1 s old
)

// Config configures a run.
type Config struct {
	Nodes    int
	Seconds  float64 // virtual time with arrivals; the run ends with the last response
	Policy   Policy
	Seed     uint64
	Traffic  operatorfile.Traffic  // Rate is that of the fleet; Target and DurationS are not used
	Server   operatorfile.Emulator // of each server; Listen and Schedule are not used
	Schedule emulator.Schedule     // of faults
	Settings *settings.Settings    // of each node, without its number; nil for DefaultSettings
	Limit    int                   // RoundRobin: attempts in flight per server and node; 0 for twice an equal share
	RTT      time.Duration         // round trip between a node and a server; 0 for 500 µs
	Quota    float64               // baselines: rate of a tenant, units/s; 0 for that of DefaultSettings
	Burst    float64               // baselines: burst of a tenant, units; 0 for two seconds of Quota
}

// ConfigError is the error of an invalid configuration.
type ConfigError struct {
	Setting string // with its value if there is one
	Reason  string
}

// Error returns the setting and the reason.
func (e *ConfigError) Error() string { return "model: " + e.Setting + " " + e.Reason }

// check returns a *ConfigError if the configuration is invalid.
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

// setDefaults replaces each 0 that stands for a default.
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
