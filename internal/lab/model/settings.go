package model

import (
	"strconv"

	"cherrygap/internal/operatorfile"
)

// The default plan of a tenant: units a second, and units of its bucket.
const (
	defaultRate  = 100
	defaultBurst = 200
)

// ticksPerMs is the engine's unit of time, in which its settings are: a tenth of a millisecond.
const ticksPerMs = 10

// DefaultSettings are the engine's settings for a run, in the project's own names (times in tenths of a millisecond), made
// from the traffic's classes and plan: each class's latency objective is half of its client's timeout; the plan gives each
// tenant 100 units a second with a bucket of 200. A run may instead have the settings of a real deployment
// (Config.Settings), read from its JSON configuration.
func DefaultSettings(nodes int, traffic operatorfile.Traffic) map[string]string {
	settings := map[string]string{
		"node": "0", "nodes": strconv.Itoa(nodes), "tick": "500", "roster": "push",
		"executions": "3", "copies": "false", "withdraw": "true", "peers": "false",
		"advice": "true", "advice.most": "20000",
		"cold.from": "0.25", "cold.span": "100000", "fall.multiple": "3", "fall.span": "20000",
		"band.count": strconv.Itoa(len(traffic.Classes)),
		"plan.count": "1", "plan.0.name": traffic.Plan,
		"plan.0.rate": strconv.Itoa(defaultRate), "plan.0.depth": strconv.Itoa(defaultBurst),
	}
	for i, class := range traffic.Classes {
		prefix := "band." + strconv.Itoa(i) + "."
		settings[prefix+"name"] = class.Name
		settings[prefix+"repeats"] = class.RetrySafety
		settings[prefix+"contract"] = strconv.Itoa(class.BudgetMs * ticksPerMs / 2)
		settings[prefix+"outer"] = strconv.Itoa(class.BudgetMs * ticksPerMs)
		settings[prefix+"window"] = "20000"
		settings[prefix+"group"] = "all"
		settings[prefix+"gain"] = "1"
	}
	return settings
}
