package node

import (
	"slices"
	"strconv"
	"syscall"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/netio"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

const (
	settingsTick          = 100 * time.Microsecond // the unit of times in the settings
	defaultConnectTimeout = time.Second            // where the settings give none above 0
)

// boolSetting reports whether a setting is on.
func (c *config) boolSetting(name string) bool { return c.settings[name] == settings.On }

// intSetting is a setting that is a whole number; one that can't be read counts as 0, as the decision engine has it.
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
func (c *config) transportLimits() netio.Limits {
	limits := netio.Limits{
		Sockets:           c.Limits.Sockets,
		MemoryMB:          c.Limits.MemoryMB,
		ServerIdleTimeout: c.durationSetting(settings.IdleTimeout),
		ConnectTimeout:    c.durationSetting(settings.ConnectTimeout),
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
func (c *config) pollsDiscovery() bool {
	return c.settings[settings.EndpointList] == settings.EndpointListPoll
}

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks: where the operators want it,
// the platform allows health checks and messages between nodes, and this node is one of several with an address.
func (c *config) sharesHealthChecks() bool {
	wanted := c.healthChecks.Enabled && c.boolSetting(settings.HealthChecks) && c.boolSetting(settings.Peers)
	self, err := strconv.Atoi(c.settings[settings.Node])
	return wanted && c.Peer.IsValid() && len(c.Peers) > 1 && err == nil && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig is what the shared health checks start with.
func (c *config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Self:        healthcheck.NodeID(int(c.floatSetting(settings.Node))),
		Nodes:       len(c.Peers),
		Seed:        c.randomSeed,
		ReceiveRate: c.floatSetting(settings.PeerRate),
		SendRate:    c.healthChecks.MaxBytesPerS,
		Interval:    time.Duration(c.healthChecks.IntervalMs * float64(time.Millisecond)),
	}
}

// requestClasses lists the names and latency objectives of the request classes, by number.
func (c *config) requestClasses() (names []string, objectives []time.Duration) {
	names = settings.ClassNames(c.settings)
	for i := range names {
		objectives = append(objectives, c.durationSetting(settings.ClassKey(i, settings.ClassLatencyObjective)))
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
		Self:         quota.NodeID(c.intSetting(settings.Node)),
		Nodes:        c.intSetting(settings.Nodes),
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
	if c.boolSetting(settings.RetryAfter) {
		cfg.MaxRetryAfter = c.durationSetting(settings.MaxRetryAfter)
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
