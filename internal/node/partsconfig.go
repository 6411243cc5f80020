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

// defaultConnectTimeout is the connect timeout where the settings give none above 0.
const defaultConnectTimeout = time.Second

// socketLimits returns the limits of the node's sockets and buffers. The limit on descriptors is the platform's or that of
// the process, the lower one.
func (c *Config) socketLimits() netio.Limits {
	limits := netio.Limits{
		Sockets:           c.Limits.Sockets,
		MemoryMB:          c.Limits.MemoryMB,
		ServerIdleTimeout: c.settings.IdleTimeout.Whole(),
		ConnectTimeout:    c.settings.ConnectTimeout.Whole(),
		GRPC:              c.operator.GRPC.Listen != "",
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

// pollsDiscovery reports whether the node polls the discovery service when the decision engine asks for it. Else the
// service pushes endpoint lists.
func (c *Config) pollsDiscovery() bool { return c.settings.PollsEndpoints() }

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks. The operators have to enable
// them, the platform has to allow health checks and peer messages, and the node has to be one of several peers.
func (c *Config) sharesHealthChecks() bool {
	wanted := c.operator.HealthChecks.Enabled && c.settings.HealthChecks && c.settings.Peers
	self, ok := c.settings.Node.Whole()
	return wanted && c.Peer.IsValid() && len(c.Peers) > 1 && ok && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig returns the configuration of the shared health checks. It is valid only if sharesHealthChecks.
func (c *Config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Self:        healthcheck.NodeID(int(c.settings.Node.FloatOrInf())),
		Nodes:       len(c.Peers),
		Seed:        c.randomSeed,
		ReceiveRate: c.settings.PeerRate.FloatOrInf(),
		SendRate:    c.operator.HealthChecks.MaxBytesPerS,
		Interval:    time.Duration(c.operator.HealthChecks.IntervalMs * float64(time.Millisecond)),
	}
}

// requestClass holds the values of a request class that the node's parts outside the decision engine use.
type requestClass struct {
	name             string
	latencyObjective time.Duration
}

// requestClasses returns the request classes by class number.
func (c *Config) requestClasses() []requestClass {
	names := c.settings.ClassNames()
	classes := make([]requestClass, len(names))
	for i, name := range names {
		classes[i] = requestClass{name: name, latencyObjective: c.settings.Classes.At(i).LatencyObjective.Whole()}
	}
	return classes
}

// quotaConfig returns the configuration of the quota leases. The shortest latency objective bounds an exchange with the
// store.
func (c *Config) quotaConfig() quota.Config {
	shortest := time.Duration(0)
	for i, class := range c.requestClasses() {
		if i == 0 || class.latencyObjective < shortest {
			shortest = class.latencyObjective
		}
	}
	self, _ := c.settings.Node.Whole() // 0 if the settings have no whole number
	nodes, _ := c.settings.Nodes.Whole()
	return quota.Config{
		Self:         quota.NodeID(self),
		Nodes:        nodes,
		Seed:         c.randomSeed,
		ExchangeRate: c.operator.Quota.MaxCallsPerS,
		Timeout:      quota.ExchangeTimeout(shortest),
	}
}

// authorizationConfig is the configuration of the external authorizer's client.
type authorizationConfig struct {
	limits       authz.Config
	classNumbers map[string]int // of the request classes, by name
}

// authorization returns the configuration of the external authorizer's client. A name in authz.fail_open that is no request
// class of the platform is an operatorfile.UnknownNameError; the limits are complete even then.
func (c *Config) authorization() (authorizationConfig, error) {
	failOpen := c.operator.Authz.FailOpen
	limits := authz.Config{MaxInFlight: c.operator.Authz.MaxInFlight}
	numbers := map[string]int{}
	var names []string
	if c.settings.RetryAfter {
		limits.MaxRetryAfter = c.settings.MaxRetryAfter.Whole()
	}
	for i, class := range c.requestClasses() {
		numbers[class.name] = i
		names = append(names, class.name)
		limits.Classes = append(limits.Classes,
			authz.Class{LatencyObjective: class.latencyObjective, FailOpen: slices.Contains(failOpen, class.name)})
	}
	for _, name := range failOpen {
		if _, ok := numbers[name]; !ok {
			return authorizationConfig{limits: limits}, &operatorfile.UnknownNameError{List: "authz.fail_open", Name: name, Known: names}
		}
	}
	return authorizationConfig{limits: limits, classNumbers: numbers}, nil
}
