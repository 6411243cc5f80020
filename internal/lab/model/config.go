package model

import (
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// Policy is the policy by which the nodes make decisions. The values are those of the command line.
type Policy string

const (
	// Module is the real decision engine, through internal/routing.
	Module Policy = "module"
	// RoundRobin is a baseline: rotation, with a static limit of attempts in flight per server and node.
	RoundRobin Policy = "round-robin"
	// LeastBusy is a baseline: the server with the least work at the last sample, which is up to 1 s old.
	LeastBusy Policy = "late"
)

// defaultRTT is the default of Config.RTT.
const defaultRTT = 500 * time.Microsecond

// Config configures a run.
type Config struct {
	Nodes    int
	Seconds  float64 // virtual time of the arrivals; the run ends with the last request
	Policy   Policy
	Seed     uint64
	Traffic  operatorfile.Traffic  // Rate is the rate of the whole fleet; Target and DurationS are not used
	Server   operatorfile.Emulator // of each server; Listen and Schedule are not used
	Schedule emulator.Schedule     // faults
	Settings *settings.Settings    // of each node, except Node; nil for DefaultSettings
	Limit    int                   // RoundRobin: limit of attempts in flight per server and node; 0 for twice an equal share
	RTT      time.Duration         // round-trip time between a node and a server; 0 for defaultRTT
	Quota    float64               // baselines: units per second of a tenant; 0 for the rate of DefaultSettings
	Burst    float64               // baselines: units of a tenant's bucket; 0 for two seconds of Quota
}

// ConfigError is the error for an invalid configuration.
type ConfigError struct {
	Setting string // name of the setting, with its value if it is one word
	Reason  string
}

// Error names the setting and the reason.
func (e *ConfigError) Error() string { return "model: " + e.Setting + " " + e.Reason }

// check returns a *ConfigError for an invalid configuration.
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

// setDefaults replaces zero values by defaults.
func (c *Config) setDefaults() {
	if c.RTT <= 0 {
		c.RTT = defaultRTT
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
