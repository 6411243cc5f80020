package main

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/quota"
	"cherrygap/internal/transport"
)

// Names of the settings that the node itself reads, as package settings gives them; the decision module reads the others.
const (
	settingNode           = "node"  // this node's number
	settingNodes          = "nodes" // how many there are
	settingEndpointMode   = "roster"
	settingHealthChecks   = "probes"
	settingPeers          = "peers"
	settingPeerRate       = "peers.take" // messages a second that a node receives
	settingRetryAfter     = "advice"
	settingMaxRetryAfter  = "advice.most"
	settingIdleTimeout    = "idle"
	settingConnectTimeout = "connect"
	settingClassCount     = "band.count"
	settingClassName      = "band.%d.name"
	settingClassObjective = "band.%d.contract"

	settingOn         = "true" // of those that are on or off
	endpointModePolls = "ask"  // of settingEndpointMode
)

const (
	settingsTick          = 100 * time.Microsecond // the unit of times in the settings
	defaultConnectTimeout = time.Second            // where the settings give none above 0
)

// boolSetting reports whether a setting is on.
func (c *config) boolSetting(name string) bool { return c.settings[name] == settingOn }

// intSetting is a setting that is a whole number; one that can't be read counts as 0, as the decision module has it.
func (c *config) intSetting(name string) int {
	value, _ := strconv.Atoi(c.settings[name])
	return value
}

// floatSetting is a setting that is a number; one that can't be read counts as 0.
func (c *config) floatSetting(name string) float64 {
	value, _ := strconv.ParseFloat(c.settings[name], 64)
	return value
}

// durationSetting is a setting that is a time; one that can't be read counts as 0.
func (c *config) durationSetting(name string) time.Duration {
	ticks, _ := strconv.ParseInt(c.settings[name], 10, 64)
	return time.Duration(ticks) * settingsTick
}

// transportLimits are the limits of the node's own sockets and buffers. Of descriptors the process may have fewer than the
// platform says.
func (c *config) transportLimits() transport.Limits {
	limits := transport.Limits{
		Sockets:           c.Limits.Sockets,
		MemoryMB:          c.Limits.MemoryMB,
		ServerIdleTimeout: c.durationSetting(settingIdleTimeout),
		ConnectTimeout:    c.durationSetting(settingConnectTimeout),
		GRPC:              c.grpc.Listen != "",
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(limits.Sockets) {
		limits.Sockets = int(files.Cur)
	}
	if limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = defaultConnectTimeout
	}
	return limits
}

// pollsDiscovery reports whether the node asks the discovery service for lists when the decision module says so; else the
// service pushes them.
func (c *config) pollsDiscovery() bool { return c.settings[settingEndpointMode] == endpointModePolls }

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks: where the operators want it,
// the platform allows health checks and messages between nodes, and this node is one of several with an address.
func (c *config) sharesHealthChecks() bool {
	wanted := c.healthChecks.Enabled && c.boolSetting(settingHealthChecks) && c.boolSetting(settingPeers)
	self, err := strconv.Atoi(c.settings[settingNode])
	return wanted && c.Peer.IsValid() && len(c.Peers) > 1 && err == nil && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig is what the shared health checks start with.
func (c *config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Self:        healthcheck.NodeID(int(c.floatSetting(settingNode))),
		Nodes:       len(c.Peers),
		Seed:        c.randomSeed,
		ReceiveRate: c.floatSetting(settingPeerRate),
		SendRate:    c.healthChecks.MaxBytesPerS,
		Interval:    time.Duration(c.healthChecks.IntervalMs * float64(time.Millisecond)),
	}
}

// requestClasses lists the names and latency objectives of the request classes, by number.
func (c *config) requestClasses() (names []string, objectives []time.Duration) {
	for i := range c.intSetting(settingClassCount) {
		names = append(names, c.settings[fmt.Sprintf(settingClassName, i)])
		objectives = append(objectives, c.durationSetting(fmt.Sprintf(settingClassObjective, i)))
	}
	return names, objectives
}

// quotaConfig is what the leasing of quotas from a shared store starts with.
func (c *config) quotaConfig() quota.Config {
	shortest := time.Duration(0)
	if _, objectives := c.requestClasses(); len(objectives) > 0 {
		shortest = slices.Min(objectives)
	}
	return quota.Config{
		Self:         quota.NodeID(c.intSetting(settingNode)),
		Nodes:        c.intSetting(settingNodes),
		Seed:         c.randomSeed,
		ExchangeRate: c.quota.MaxCallsPerS,
		Timeout:      quota.ExchangeTimeout(shortest),
	}
}

// authorizationConfig is what the external authorization of requests starts with, and the numbers of the request classes by
// name. A class that the platform does not name is an operatorfile.UnknownNameError.
func (c *config) authorizationConfig() (authz.Config, map[string]int, error) {
	names, objectives := c.requestClasses()
	cfg, numbers := authz.Config{MaxInFlight: c.authz.MaxInFlight}, map[string]int{}
	if c.boolSetting(settingRetryAfter) {
		cfg.MaxRetryAfter = c.durationSetting(settingMaxRetryAfter)
	}
	for i, name := range names {
		numbers[name] = i
		cfg.Classes = append(cfg.Classes, authz.Class{LatencyObjective: objectives[i], FailOpen: slices.Contains(c.authz.FailOpen, name)})
	}
	for _, name := range c.authz.FailOpen {
		if _, ok := numbers[name]; !ok {
			return cfg, nil, &operatorfile.UnknownNameError{List: "authz.fail_open", Name: name, Known: names}
		}
	}
	return cfg, numbers, nil
}
