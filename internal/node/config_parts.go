package node

import (
	"slices"
	"syscall"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/netio"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/quota"
)

const defaultConnectTimeout = time.Second // where the settings give none above 0

// transportLimits are the limits of the node's own sockets and buffers. Of descriptors the process may have fewer than the
// platform says.
func (c *config) transportLimits() netio.Limits {
	limits := netio.Limits{
		Sockets:           c.Limits.Sockets,
		MemoryMB:          c.Limits.MemoryMB,
		ServerIdleTimeout: c.settings.IdleTimeout.Whole(),
		ConnectTimeout:    c.settings.ConnectTimeout.Whole(),
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

// pollsDiscovery reports whether the node asks the discovery service for lists when the decision engine says so; else the
// service pushes them.
func (c *config) pollsDiscovery() bool { return c.settings.PollsEndpoints() }

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks: where the operators want it,
// the platform allows health checks and messages between nodes, and this node is one of several with an address.
func (c *config) sharesHealthChecks() bool {
	wanted := c.healthChecks.Enabled && c.settings.HealthChecks && c.settings.Peers
	self, ok := c.settings.Node.Whole()
	return wanted && c.Peer.IsValid() && len(c.Peers) > 1 && ok && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig is what the shared health checks start with.
func (c *config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Self:        healthcheck.NodeID(int(c.settings.Node.FloatOrInf())),
		Nodes:       len(c.Peers),
		Seed:        c.randomSeed,
		ReceiveRate: c.settings.PeerRate.FloatOrInf(),
		SendRate:    c.healthChecks.MaxBytesPerS,
		Interval:    time.Duration(c.healthChecks.IntervalMs * float64(time.Millisecond)),
	}
}

// requestClasses lists the names and latency objectives of the request classes, by number.
func (c *config) requestClasses() (names []string, objectives []time.Duration) {
	names = c.settings.ClassNames()
	for i := range names {
		objectives = append(objectives, c.settings.Classes.At(i).LatencyObjective.Whole())
	}
	return names, objectives
}

// quotaConfig is what the leasing of quotas from a shared store starts with.
func (c *config) quotaConfig() quota.Config {
	shortest := time.Duration(0)
	if _, objectives := c.requestClasses(); len(objectives) > 0 {
		shortest = slices.Min(objectives)
	}
	self, _ := c.settings.Node.Whole()
	nodes, _ := c.settings.Nodes.Whole()
	return quota.Config{
		Self:         quota.NodeID(self),
		Nodes:        nodes,
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
	if c.settings.RetryAfter {
		cfg.MaxRetryAfter = c.settings.MaxRetryAfter.Whole()
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
