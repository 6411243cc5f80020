package node

import (
	"slices"
	"syscall"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/numeric"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/quota"
	"cherrygap/internal/routing"
)

// defaultConnectTimeout is the connect timeout if the settings have none above 0.
const defaultConnectTimeout = time.Second

// socketLimits returns the limits of the node's sockets and buffers. The limit on descriptors is the lower of the platform's
// limit and the process's.
func (c *Config) socketLimits() netio.Limits {
	limits := netio.Limits{
		MaxDescriptors:    c.Limits.Sockets,
		MemoryMiB:         c.Limits.MemoryMB,
		ServerIdleTimeout: c.settings.IdleTimeout.Whole(),
		ConnectTimeout:    c.settings.ConnectTimeout.Whole(),
		GRPC:              c.operator.GRPC.Listen != "",
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < uint64(limits.MaxDescriptors) {
		limits.MaxDescriptors = int(descriptors.Cur)
	}
	if limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = defaultConnectTimeout
	}
	return limits
}

// customerTableShare is the share of the tables' memory for customers. The front end uses the rest.
const customerTableShare = 0.5

// minCustomers is the lower bound of maxCustomers.
const minCustomers = 1024

// maxCustomers returns how many customers' states fit into the memory, or 0 if the memory has no limit.
func maxCustomers(limits netio.Limits) int {
	tables := limits.MemoryPlan().Tables
	if tables == 0 {
		return 0
	}
	return membudget.Entries(numeric.Truncate[int64](customerTableShare*float64(tables)), routing.CustomerMemory, minCustomers)
}

// Bounds of a drain. The platform sends SIGKILL no sooner than the longest deadline of the request classes, at most maxKillDeadline, and
// killMargin after SIGTERM.
const (
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
	// drainReserve is the part of that time in which the node writes its last responses and ends.
	drainReserve = 300 * time.Millisecond
)

// drainLimit returns the time after SIGTERM by which requests have their responses, although SIGKILL may follow at once.
func (c *Config) drainLimit() time.Duration {
	longest := time.Duration(0)
	for i := range c.settings.Classes.Len() {
		deadline := c.settings.Classes.At(i).Deadline.Whole()
		if deadline <= 0 {
			deadline = maxKillDeadline
		}
		longest = max(longest, deadline)
	}
	if longest == 0 {
		longest = maxKillDeadline
	}
	return min(longest, maxKillDeadline) + killMargin - drainReserve
}

// pollsDiscovery reports whether the node polls the discovery service whenever the decision engine requests it. Otherwise the
// service pushes endpoint lists.
func (c *Config) pollsDiscovery() bool { return c.settings.PollsEndpoints() }

// sharesHealthChecks reports whether this node takes part in the fleet's shared health checks. The operator file must enable
// them, the platform must allow health checks and peer messages, and the node must be one of at least two peers.
func (c *Config) sharesHealthChecks() bool {
	enabled := c.operator.HealthChecks.Enabled && c.settings.HealthChecks && c.settings.Peers
	self, ok := c.settings.Node.Whole()
	return enabled && c.PeerListen.IsValid() && len(c.Peers) > 1 && ok && self >= 0 && self < len(c.Peers)
}

// healthCheckConfig returns the configuration of the shared health checks. It is valid only if sharesHealthChecks is true.
func (c *Config) healthCheckConfig() healthcheck.Config {
	return healthcheck.Config{
		Self:        healthcheck.NodeID(numeric.Truncate[int](c.settings.Node.FloatOrInf())),
		Nodes:       len(c.Peers),
		Seed:        c.randomSeed,
		ReceiveRate: c.settings.PeerRate.FloatOrInf(),
		SendRate:    c.operator.HealthChecks.MaxBytesPerS,
		Interval:    numeric.Truncate[time.Duration](c.operator.HealthChecks.IntervalMs * float64(time.Millisecond)),
	}
}

// requestClass holds those values of a request class that are used outside the decision engine.
type requestClass struct {
	name             string
	latencyObjective time.Duration
}

// requestClasses returns the request classes in the order of their class numbers.
func (c *Config) requestClasses() []requestClass {
	names := c.settings.ClassNames()
	classes := make([]requestClass, len(names))
	for i, name := range names {
		classes[i] = requestClass{name: name, latencyObjective: c.settings.Classes.At(i).LatencyObjective.Whole()}
	}
	return classes
}

// quotaConfig returns the configuration of the quota leases. The timeout of an exchange with the store follows from the
// shortest latency objective of the request classes.
func (c *Config) quotaConfig() quota.Config {
	shortestObjective := time.Duration(0)
	for i, class := range c.requestClasses() {
		if i == 0 || class.latencyObjective < shortestObjective {
			shortestObjective = class.latencyObjective
		}
	}
	self, _ := c.settings.Node.Whole() // 0 if the setting is not an integer
	nodes, _ := c.settings.Nodes.Whole()
	return quota.Config{
		Self:         quota.NodeID(self),
		Nodes:        nodes,
		Seed:         c.randomSeed,
		ExchangeRate: c.operator.Quota.MaxCallsPerS,
		Timeout:      quota.ExchangeTimeout(shortestObjective),
	}
}

// authorizationConfig is the configuration of the external authorizer's client.
type authorizationConfig struct {
	policy       authz.Config   // configuration of the client's authz.Policy
	classNumbers map[string]int // class numbers by class name
}

// authorization returns the configuration of the external authorizer's client. The error is an
// *operatorfile.UnknownNameError if authz.fail_open names a request class that the platform's settings lack. Even then
// the field policy is complete.
func (c *Config) authorization() (authorizationConfig, error) {
	failOpen := c.operator.Authz.FailOpen
	policy := authz.Config{MaxInFlight: c.operator.Authz.MaxInFlight}
	numbersByName := map[string]int{}
	var classNames []string
	if c.settings.RetryAfter {
		policy.MaxRetryAfter = c.settings.MaxRetryAfter.Whole()
	}
	for i, class := range c.requestClasses() {
		numbersByName[class.name] = i
		classNames = append(classNames, class.name)
		policy.Classes = append(policy.Classes,
			authz.Class{LatencyObjective: class.latencyObjective, FailOpen: slices.Contains(failOpen, class.name)})
	}
	for _, name := range failOpen {
		if _, ok := numbersByName[name]; !ok {
			return authorizationConfig{policy: policy}, &operatorfile.UnknownNameError{List: "authz.fail_open", Name: name, Known: classNames}
		}
	}
	return authorizationConfig{policy: policy, classNumbers: numbersByName}, nil
}
