package model

import (
	"fmt"
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// Policy is the policy by which the nodes choose servers and reject requests.
type Policy string

// The policies. DecisionEngine is the policy of real nodes. The others are baselines.
const (
	DecisionEngine Policy = "module"      // the decision engine, through internal/routing
	RoundRobin     Policy = "round-robin" // rotation with a static limit of attempts in flight per server and node
	LeastBusy      Policy = "late"        // the server with the fewest attempts at the last sample, which is up to 1 s old
)

// Config configures a run.
type Config struct {
	Nodes       int
	Seconds     float64 // virtual time with arrivals, s; the run ends at the first sample after it with no request in flight
	Policy      Policy
	Seed        uint64
	Traffic     operatorfile.Traffic  // traffic of the whole fleet; Target and DurationS are not used
	Server      operatorfile.Emulator // configuration of each server; Listen and Schedule are not used
	Schedule    emulator.Schedule     // schedule of the servers' faults
	Settings    *settings.Settings    // settings of each node, apart from Node; nil for DefaultSettings
	MaxInFlight int                   // RoundRobin: static limit per server and node; 0 for twice an equal share of the concurrency
	RTT         time.Duration         // round-trip time between a node and a server; 0 for 500 µs
	QuotaRate   float64               // baselines: quota of a tenant, units/s; 0 for the quota and burst of DefaultSettings
	QuotaBurst  float64               // baselines: burst of a tenant, units; 0 for two seconds of QuotaRate
}

// ConfigError is the error of an invalid configuration.
type ConfigError struct {
	Setting string // name and value of each setting that the error is about
	Reason  string // requirement that the value does not meet
}

// Error returns the settings and the reason, after the name of the package.
func (e *ConfigError) Error() string { return "model: " + e.Setting + " " + e.Reason }

// validate returns a *ConfigError if the configuration is invalid.
func (c *Config) validate() error {
	if c.Nodes < 1 || c.Server.Servers < 1 || !(c.Seconds > 0) {
		return &ConfigError{
			fmt.Sprintf("nodes %d, servers %d and seconds %v", c.Nodes, c.Server.Servers, c.Seconds), "must be above 0",
		}
	}
	switch c.Policy {
	case DecisionEngine, RoundRobin, LeastBusy:
		return nil
	default:
		return &ConfigError{"policy \"" + string(c.Policy) + "\"", "is none of module, round-robin, late"}
	}
}

// setDefaults replaces each optional field that is 0 or less by its default.
func (c *Config) setDefaults() {
	if c.RTT <= 0 {
		c.RTT = 500 * time.Microsecond
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = max(1, c.Server.Concurrency*2/max(1, c.Nodes))
	}
	if c.QuotaRate <= 0 {
		c.QuotaRate, c.QuotaBurst = defaultRate, defaultBurst
	}
	if c.QuotaBurst <= 0 {
		c.QuotaBurst = 2 * c.QuotaRate
	}
}
