package model

import (
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// The default plan of a tenant: units a second, and units of its bucket.
const (
	defaultRate  = 100
	defaultBurst = 200
)

// The default settings, but for those that follow from the traffic and the fleet's size.
const (
	tickMs              = 50
	maxAttempts         = 3
	maxRetryAfterMs     = 2000
	slowStartShare      = 0.25 // of its capacity, at an app server's start
	slowStartMs         = 10_000
	overloadMultiple    = 3
	overloadMs          = 2000
	idempotencyWindowMs = 2000
)

// DefaultSettings are the node's settings for a run, made from the traffic's classes and plan: each class's latency objective
// is half of its client's timeout; the plan gives each tenant 100 units a second with a bucket of 200. A run may instead have
// the settings of a real deployment (Config.Settings), read from its JSON configuration.
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
