package model

import (
	"strconv"

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/settings"
)

// The default plan of a tenant: units a second, and units of its bucket.
const (
	defaultRate  = 100
	defaultBurst = 200
)

// ticksPerMs is the engine's unit of time, in which its settings are: a tenth of a millisecond.
const ticksPerMs = 10

// defaultIdempotencyWindow is that of all classes, in ticks.
const defaultIdempotencyWindow = "20000"

// DefaultSettings are the engine's settings for a run, by the keys of package settings (times in tenths of a millisecond),
// made from the traffic's classes and plan: each class's latency objective is half of its client's timeout; the plan gives
// each tenant 100 units a second with a bucket of 200. A run may instead have the settings of a real deployment
// (Config.Settings), read from its JSON configuration.
func DefaultSettings(nodes int, traffic operatorfile.Traffic) map[string]string {
	set := map[string]string{
		settings.Node: "0", settings.Nodes: strconv.Itoa(nodes), settings.Tick: "500",
		settings.EndpointList: settings.EndpointListPush,
		settings.MaxAttempts:  "3", settings.Hedging: "false", settings.CancelAttempts: settings.On, settings.Peers: "false",
		settings.RetryAfter: settings.On, settings.MaxRetryAfter: "20000",
		settings.SlowStartShare: "0.25", settings.SlowStartSpan: "100000",
		settings.OverloadMultiple: "3", settings.OverloadSpan: "20000",
		settings.ClassCount: strconv.Itoa(len(traffic.Classes)), settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName):  traffic.Plan,
		settings.PlanKey(0, settings.PlanRate):  strconv.Itoa(defaultRate),
		settings.PlanKey(0, settings.PlanBurst): strconv.Itoa(defaultBurst),
	}
	for i, class := range traffic.Classes {
		for field, value := range map[settings.ClassField]string{
			settings.ClassName:              class.Name,
			settings.ClassRetrySafety:       class.RetrySafety,
			settings.ClassLatencyObjective:  strconv.Itoa(class.BudgetMs * ticksPerMs / 2),
			settings.ClassDeadline:          strconv.Itoa(class.BudgetMs * ticksPerMs),
			settings.ClassIdempotencyWindow: defaultIdempotencyWindow,
			settings.ClassIdempotencyGroup:  settings.GroupAll,
			settings.ClassPriorityWeight:    "1",
		} {
			set[settings.ClassKey(i, field)] = value
		}
	}
	return set
}
