package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"cherrygap/internal/settings"
)

// requestClass is a request class of the settings.
type requestClass struct {
	name        string
	method      string
	retrySafety settings.RetrySafety
	timeout     time.Duration
	window      time.Duration // within which servers know an idempotency key
}

// requestClasses are the request classes of the settings.
var requestClasses = []requestClass{
	{"find", http.MethodGet, settings.RetrySafe, 800 * time.Millisecond, time.Second},
	{"hold", http.MethodPost, settings.RetryKeyed, time.Second, 600 * time.Millisecond},
	{"book", http.MethodPost, settings.RetryUnsafe, 1500 * time.Millisecond, time.Second},
}

// The zones and cells of the app servers.
const (
	zones          = 3
	serversPerCell = 4
)

// The plans. The first has limits that are never reached. The other has a hard ceiling for each customer over all nodes.
const (
	planName       = "team"
	cappedPlanName = "capped"

	cappedShare     = 12  // percentage of the requests under the capped plan
	cappedCustomers = 2   // customers under the capped plan
	ceilingRate     = 0.5 // units a second for each node, about half of the demand
	ceilingDepth    = 2.5 // units for each node
)

// The settings' values for app servers and nodes.
const (
	drainGrace        = 500 * time.Millisecond // from the notice of a drain to the last attempt that may begin
	slowStartSpan     = 8 * time.Second        // age at which a server is warm
	slowStartShare    = 0.2                    // part of its capacity that a server has at its start
	overloadMultiple  = 2.0                    // times its capacity that a server in slow start bears within overloadWindow
	overloadWindow    = 2 * time.Second
	serverIdleTimeout = 4 * time.Second
	connectTimeout    = 250 * time.Millisecond
	nodeSockets       = 256
	nodeMemoryMB      = 128
	tick              = 2 * time.Millisecond // longest delay of a node's timer
	pollWithin        = 2 * time.Second
	maxAttempts       = 4
	maxRetryAfter     = 2 * time.Second
	responseSlack     = 50 * time.Millisecond // time after the deadline within which a response counts
	maxUnits          = 100                   // units of a request
	unlimitedUnits    = 1_000_000             // rate and burst of a quota that is never reached
)

// platformSettings returns a node's settings in the platform's form.
func platformSettings(nodes, node int) json.RawMessage {
	classes := make([]settings.Class, len(requestClasses))
	for i, class := range requestClasses {
		classes[i] = settings.Class{
			Name:              class.name,
			RetrySafety:       class.retrySafety,
			LatencyObjective:  settings.DurationOf(class.timeout / 2),
			Deadline:          settings.DurationOf(class.timeout),
			IdempotencyGroup:  settings.GroupAll,
			IdempotencyWindow: settings.DurationOf(class.window),
			PriorityWeight:    settings.IntNumber(1),
		}
	}
	return settings.PlatformJSON(&settings.Settings{
		Node:             settings.IntNumber(node),
		Nodes:            settings.IntNumber(nodes),
		Tick:             settings.DurationOf(tick),
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
		OverloadSpan:     settings.DurationOf(overloadWindow),
		DrainGrace:       settings.DurationOf(drainGrace),
		ResponseSlack:    settings.DurationOf(responseSlack),
		MaxUnits:         settings.IntNumber(maxUnits),
		Classes:          settings.NewList(classes...),
		Plans: settings.NewList(
			settings.Plan{Name: planName, Rate: settings.IntNumber(unlimitedUnits), Burst: settings.IntNumber(unlimitedUnits)},
			settings.Plan{
				Name:         cappedPlanName,
				Rate:         settings.IntNumber(unlimitedUnits),
				Burst:        settings.IntNumber(unlimitedUnits),
				CeilingRate:  settings.FloatNumber(ceilingRate * float64(nodes)),
				CeilingBurst: settings.FloatNumber(ceilingDepth * float64(nodes)),
				CeilingSlack: settings.IntNumber(0),
			},
		),
	})
}
