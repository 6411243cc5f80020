package model

import (
	"strconv"

	"cherrygap/internal/operatorfile"
)

// The default plan: units a second of one customer, and its bucket.
const defaultRate, defaultDepth = 100, 200

// DefaultSettings are the module's settings for a model run, in the project's own names (times in tenths of a
// millisecond), made from the traffic's bands and plan: each band's contract time is half its client's
// budget; the plan gives each customer 100 units a second with a bucket of 200. A run may instead carry the
// settings of a real deployment (Config.Settings), read from its JSON configuration.
func DefaultSettings(nodes int, tr operatorfile.Traffic) map[string]string {
	set := map[string]string{
		"node": "0", "nodes": strconv.Itoa(nodes), "tick": "500", "roster": "push",
		"executions": "3", "copies": "false", "withdraw": "true", "peers": "false", "advice": "true",
		"advice.most": "20000", "cold.from": "0.25", "cold.span": "100000", "fall.multiple": "3",
		"fall.span": "20000", "band.count": strconv.Itoa(len(tr.Bands)), "plan.count": "1",
		"plan.0.name": tr.Plan, "plan.0.rate": strconv.Itoa(defaultRate), "plan.0.depth": strconv.Itoa(defaultDepth),
	}
	for i, b := range tr.Bands {
		p := "band." + strconv.Itoa(i) + "."
		set[p+"name"], set[p+"repeats"] = b.Name, b.Repeats
		set[p+"contract"] = strconv.Itoa(b.BudgetMs * 10 / 2)
		set[p+"outer"] = strconv.Itoa(b.BudgetMs * 10)
		set[p+"window"], set[p+"group"], set[p+"gain"] = "20000", "all", "1"
	}
	return set
}
