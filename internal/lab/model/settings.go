package model

import (
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// The quota of the default plan.
const (
	defaultRate  = 100 // units/s
	defaultBurst = 200 // units
)

// The default settings that depend neither on the traffic nor on the size of the fleet.
const (
	tickMs              = 50
	maxAttempts         = 3
	maxRetryAfterMs     = 2000
	slowStartShare      = 0.25 // initial share of an app server's capacity
	slowStartMs         = 10_000
	overloadMultiple    = 3
	overloadMs          = 2000
	idempotencyWindowMs = 2000
)

// DefaultSettings returns the settings of a run without Config.Settings. The classes and the plan are those of the traffic.
// A class's latency objective is half of its client's timeout. The plan's quota is defaultRate with defaultBurst.
func DefaultSettings(nodes int, traffic operatorfile.Traffic) *settings.Settings {
	classes := make([]settings.Class, len(traffic.Classes))
	for i, class := range traffic.Classes {
		timeoutMs := float64(class.BudgetMs)
		classes[i] = settings.Class{
			Named:             true,
			Name:              class.Name,
			RetrySafety:       settings.RetrySafety(class.RetrySafety),
			LatencyObjective:  settings.Milliseconds(timeoutMs / 2),
			Deadline:          settings.Milliseconds(timeoutMs),
			IdempotencyWindow: settings.Milliseconds(idempotencyWindowMs),
			IdempotencyGroup:  settings.GroupAll,
			PriorityWeight:    settings.IntNumber(1),
		}
	}
	return &settings.Settings{
		Node:             settings.IntNumber(0),
		Nodes:            settings.IntNumber(nodes),
		Tick:             settings.Milliseconds(tickMs),
		EndpointList:     settings.EndpointListPush,
		MaxAttempts:      settings.IntNumber(maxAttempts),
		CancelAttempts:   true,
		RetryAfter:       true,
		MaxRetryAfter:    settings.Milliseconds(maxRetryAfterMs),
		SlowStartShare:   settings.FloatNumber(slowStartShare),
		SlowStartSpan:    settings.Milliseconds(slowStartMs),
		OverloadMultiple: settings.IntNumber(overloadMultiple),
		OverloadSpan:     settings.Milliseconds(overloadMs),
		Classes:          settings.NewList(classes...),
		Plans: settings.NewList(settings.Plan{
			Name:  traffic.Plan,
			Rate:  settings.IntNumber(defaultRate),
			Burst: settings.IntNumber(defaultBurst),
		}),
	}
}
