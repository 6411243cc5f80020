package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"cherrygap/internal/settings"
)

// requestClass describes a request class of the settings.
type requestClass struct {
	name              string
	method            string
	retrySafety       settings.RetrySafety
	timeout           time.Duration
	idempotencyWindow time.Duration // time for which servers remember an idempotency key
}

// requestClasses lists the request classes of the settings.
var requestClasses = []requestClass{
	{"find", http.MethodGet, settings.RetrySafe, 800 * time.Millisecond, time.Second},
	{"hold", http.MethodPost, settings.RetryKeyed, time.Second, 600 * time.Millisecond},
	{"book", http.MethodPost, settings.RetryUnsafe, longestTimeout, time.Second},
}

// longestTimeout is the longest timeout of the request classes.
const longestTimeout = 1500 * time.Millisecond

// nodeLimits are the limits of a node in its configuration.
type nodeLimits struct {
	memoryMB int
	sockets  int // limit on descriptors
}

// limitsOf returns the limits of all nodes of a run. Every second seed gives them the least memory that the platform names, with many
// descriptors.
func limitsOf(seed uint64) nodeLimits {
	if seed%2 == 1 {
		return nodeLimits{memoryMB: 32, sockets: 1024}
	}
	return nodeLimits{memoryMB: 128, sockets: 256}
}

// The layout of the app servers.
const (
	zones          = 3 // number of zones over which the servers are spread
	serversPerCell = 4
)

// The plans. The unlimited plan has limits that are never reached. The capped plan has a hard ceiling for each customer over all
// nodes.
const (
	unlimitedPlanName = "team"
	cappedPlanName    = "capped"

	cappedPercent   = 12  // percentage of requests under the capped plan
	cappedCustomers = 2   // number of customers under the capped plan
	ceilingRate     = 0.5 // refill rate for each node in units a second, about half of the demand
	ceilingBurst    = 2.5 // bucket capacity for each node in units
)

// Values of the settings for app servers and nodes.
const (
	drainGrace        = 500 * time.Millisecond // time after the notice of a drain in which attempts may still begin
	slowStartSpan     = 8 * time.Second        // age at which a server is warm
	slowStartShare    = 0.2                    // share of its capacity that a server has at its start
	overloadMultiple  = 2.0                    // multiple of its capacity that a server in slow start sustains for at most overloadSpan
	overloadSpan      = 2 * time.Second
	serverIdleTimeout = 4 * time.Second
	connectTimeout    = 250 * time.Millisecond
	nodeTick          = 2 * time.Millisecond // longest delay of a node's timers
	pollWithin        = 2 * time.Second
	maxAttempts       = 4
	maxRetryAfter     = 2 * time.Second
	responseSlack     = 50 * time.Millisecond // time after the deadline in which a response still counts
	maxUnits          = 100                   // maximum number of units of a request
	unlimitedUnits    = 1_000_000             // rate and burst of a quota that is never reached
)

// platformSettings returns the settings of a node in a fleet of nodes, in the platform's JSON form.
func platformSettings(nodes, node int) json.RawMessage {
	classes := make([]settings.Class, len(requestClasses))
	for i, class := range requestClasses {
		classes[i] = settings.Class{
			Name:              class.name,
			RetrySafety:       class.retrySafety,
			LatencyObjective:  settings.DurationOf(class.timeout / 2),
			Deadline:          settings.DurationOf(class.timeout),
			IdempotencyGroup:  settings.GroupAll,
			IdempotencyWindow: settings.DurationOf(class.idempotencyWindow),
			PriorityWeight:    settings.IntNumber(1),
		}
	}
	return settings.PlatformJSON(&settings.Settings{
		Node:             settings.IntNumber(node),
		Nodes:            settings.IntNumber(nodes),
		Tick:             settings.DurationOf(nodeTick),
		EndpointList:     settings.EndpointListPush,
		PollWithin:       settings.DurationOf(pollWithin),
		MaxAttempts:      settings.IntNumber(maxAttempts),
		CancelAttempts:   true,
		RetryAfter:       true,
		MaxRetryAfter:    settings.DurationOf(maxRetryAfter),
		IdleTimeout:      settings.DurationOf(serverIdleTimeout),
		ConnectTimeout:   settings.DurationOf(connectTimeout),
		SlowStartSpan:    settings.DurationOf(slowStartSpan),
		SlowStartShare:   settings.FloatNumber(slowStartShare),
		OverloadMultiple: settings.FloatNumber(overloadMultiple),
		OverloadSpan:     settings.DurationOf(overloadSpan),
		DrainGrace:       settings.DurationOf(drainGrace),
		ResponseSlack:    settings.DurationOf(responseSlack),
		MaxUnits:         settings.IntNumber(maxUnits),
		Classes:          settings.NewList(classes...),
		Plans: settings.NewList(
			settings.Plan{Name: unlimitedPlanName, Rate: settings.IntNumber(unlimitedUnits), Burst: settings.IntNumber(unlimitedUnits)},
			settings.Plan{
				Name:         cappedPlanName,
				Rate:         settings.IntNumber(unlimitedUnits),
				Burst:        settings.IntNumber(unlimitedUnits),
				CeilingRate:  settings.FloatNumber(ceilingRate * float64(nodes)),
				CeilingBurst: settings.FloatNumber(ceilingBurst * float64(nodes)),
				CeilingSlack: settings.IntNumber(0),
			},
		),
	})
}
