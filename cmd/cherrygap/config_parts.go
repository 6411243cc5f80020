package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/quota"
	"cherrygap/internal/transport"
)

const (
	settingsTick          = 100 * time.Microsecond // the unit of times in the settings
	defaultConnectTimeout = time.Second            // where the settings give none above 0
)

// A number in the settings that can't be read counts as 0, as the decision module has it.

func (c *config) intSetting(name string) int {
	value, _ := strconv.Atoi(c.settings[name])
	return value
}

func (c *config) floatSetting(name string) float64 {
	value, _ := strconv.ParseFloat(c.settings[name], 64)
	return value
}

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
		ServerIdleTimeout: c.durationSetting("idle"),
		ConnectTimeout:    c.durationSetting("connect"),
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
func (c *config) pollsDiscovery() bool { return c.settings["roster"] == "ask" }

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks: where the operators want it,
// the platform allows health checks and messages between nodes, and this node is one of several with an address.
func (c *config) sharesHealthChecks() bool {
	wanted := c.healthChecks.On && c.settings["probes"] == "true" && c.settings["peers"] == "true"
	self, err := strconv.Atoi(c.settings["node"])
	return wanted && c.Peer.IsValid() && len(c.Peers) > 1 && err == nil && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig is what the shared health checks start with.
func (c *config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Me:    int(c.floatSetting("node")),
		Nodes: len(c.Peers),
		Seed:  c.randomSeed,
		Take:  c.floatSetting("peers.take"),
		Bytes: c.healthChecks.Bytes,
		Every: time.Duration(c.healthChecks.CheckMs * float64(time.Millisecond)),
	}
}

// requestClasses lists the names and latency objectives of the request classes, by number.
func (c *config) requestClasses() (names []string, objectives []time.Duration) {
	for i := range c.intSetting("band.count") {
		names = append(names, c.settings[fmt.Sprintf("band.%d.name", i)])
		objectives = append(objectives, c.durationSetting(fmt.Sprintf("band.%d.contract", i)))
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
		Me:    c.intSetting("node"),
		Nodes: c.intSetting("nodes"),
		Seed:  c.randomSeed,
		Calls: c.quota.Calls,
		Wait:  quota.ExchangeTimeout(shortest),
	}
}

// unknownClassError is a request class in the operator file that the platform's settings do not name.
type unknownClassError struct {
	key, class string
	known      []string
}

func (e *unknownClassError) Error() string {
	return fmt.Sprintf("%s %q: the platform's settings name %s", e.key, e.class, strings.Join(e.known, ", "))
}

// authorizationConfig is what the external authorization of requests starts with, and the numbers of the request classes by
// name. A class that the platform does not name is an unknownClassError.
func (c *config) authorizationConfig() (authz.Config, map[string]int, error) {
	names, objectives := c.requestClasses()
	cfg, numbers := authz.Config{Most: c.authz.Most}, map[string]int{}
	if c.settings["advice"] == "true" {
		cfg.Advice = c.durationSetting("advice.most")
	}
	for i, name := range names {
		numbers[name] = i
		cfg.Bands = append(cfg.Bands, authz.Band{Contract: objectives[i], Open: slices.Contains(c.authz.PassOpen, name)})
	}
	for _, name := range c.authz.PassOpen {
		if _, ok := numbers[name]; !ok {
			return cfg, nil, &unknownClassError{key: "authz.pass_open", class: name, known: names}
		}
	}
	return cfg, numbers, nil
}
