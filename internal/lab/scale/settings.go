package scale

import (
	"encoding/json"
	"time"

	"cherrygap/internal/settings"
)

// Values of the settings that all nodes have in common.
const (
	tick              = 2 * time.Millisecond // longest delay of an engine's timer
	pollWithin        = 2 * time.Second
	maxAttempts       = 3
	maxRetryAfter     = 2 * time.Second
	serverIdleTimeout = 15 * time.Second
	connectTimeout    = 250 * time.Millisecond
	slowStartSpan     = 10 * time.Second // age of a server at which its slow start ends
	slowStartShare    = 0.25             // share of its full capacity that a server has at its start
	overloadMultiple  = 3                // multiple of its capacity that a server in slow start sustains for at most overloadSpan
	overloadSpan      = 2 * time.Second
	responseSlack     = 50 * time.Millisecond // time after the deadline within which a response counts
	maxUnits          = 100                   // largest number of units of a request
)

// nodeSettings returns the settings of the node with a number.
func nodeSettings(cfg Config, node int) *settings.Settings {
	classSettings := make([]settings.Class, len(classes))
	for i, class := range classes {
		classSettings[i] = settings.Class{
			Named:             true,
			Name:              class.name,
			RetrySafety:       class.retrySafety,
			LatencyObjective:  settings.DurationOf(class.objective),
			Deadline:          settings.DurationOf(class.timeout),
			IdempotencyGroup:  settings.GroupAll,
			IdempotencyWindow: settings.DurationOf(class.objective),
			PriorityWeight:    settings.IntNumber(1),
		}
	}
	planSettings := make([]settings.Plan, len(plans))
	for i, plan := range plans {
		planSettings[i] = settings.Plan{Name: plan.name, Rate: settings.FloatNumber(plan.rate), Burst: settings.FloatNumber(plan.burst)}
	}
	return &settings.Settings{
		Node:             settings.IntNumber(node),
		Nodes:            settings.IntNumber(cfg.Nodes),
		Tick:             settings.DurationOf(tick),
		EndpointList:     settings.EndpointListPush,
		PollWithin:       settings.DurationOf(pollWithin),
		MaxAttempts:      settings.IntNumber(maxAttempts),
		CancelAttempts:   true,
		Peers:            true,
		PeerRate:         settings.FloatNumber(cfg.PeerRate),
		RetryAfter:       true,
		MaxRetryAfter:    settings.DurationOf(maxRetryAfter),
		IdleTimeout:      settings.DurationOf(serverIdleTimeout),
		ConnectTimeout:   settings.DurationOf(connectTimeout),
		SlowStartSpan:    settings.DurationOf(slowStartSpan),
		SlowStartShare:   settings.FloatNumber(slowStartShare),
		OverloadMultiple: settings.IntNumber(overloadMultiple),
		OverloadSpan:     settings.DurationOf(overloadSpan),
		DrainGrace:       settings.DurationOf(drainGrace),
		ResponseSlack:    settings.DurationOf(responseSlack),
		MaxUnits:         settings.IntNumber(maxUnits),
		Classes:          settings.NewList(classSettings...),
		Plans:            settings.NewList(planSettings...),
	}
}

// platformSettings returns the settings of the node with a number in the platform's JSON format.
func platformSettings(cfg Config, node int) json.RawMessage {
	return settings.PlatformJSON(nodeSettings(cfg, node))
}
