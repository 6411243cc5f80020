package main

import (
	"strconv"
	"strings"

	"cherrygap/rules"
)

// settingNames turns the wire's names into the project's own. A list's entries keep their number.
var settingNames = map[string]string{
	"slot_no":                 "node",
	"replicas_of_me":          "nodes",
	"tick":                    "tick",
	"registry_mode":           "roster",
	"services":                "band",
	"services.semantics":      "repeats",
	"services.slo":            "contract",
	"services.deadline":       "outer",
	"services.group":          "group",
	"services.window":         "window",
	"services.worth":          "gain",
	"services.late_value":     "late",
	"services.stream":         "stream",
	"services.aim_stretch":    "stretch",
	"tiers_of_service":        "plan",
	"tiers_of_service.depth":  "depth",
	"limits.attempts_cap":     "executions",
	"limits.second_copies":    "copies",
	"limits.cancel":           "withdraw",
	"limits.probes":           "probes",
	"limits.peers":            "peers",
	"limits.retry_after":      "advice",
	"limits.max_retry_after":  "advice.most",
	"limits.max_open":         "tickets.most",
	"safety.cold":             "cold.span",
	"safety.cold_from":        "cold.from",
	"safety.fall_multiple":    "fall.multiple",
	"safety.tip_after":        "fall.span",
	"safety.drain_grace":      "drain.grace",
	"safety.answer_slack":     "answer.slack",
	"safety.ask_within":       "ask.within",
	"specifics.meter":         "meter",
	"specifics.trued_up":      "settled",
	"specifics.largest":       "largest",
	"specifics.peer_in_per_s": "peers.take",

	"tiers_of_service.units_per_s":      "rate",
	"tiers_of_service.max_out":          "open",
	"tiers_of_service.value_factor":     "price",
	"tiers_of_service.beyond_earns":     "over.gain",
	"tiers_of_service.beyond_costs":     "over.cost",
	"tiers_of_service.hard_rate":        "ceiling.rate",
	"tiers_of_service.never_over_depth": "ceiling.depth",
	"tiers_of_service.cap_slack":        "ceiling.slack",
	"feedback.columns":                  "load.fields",
	"feedback.how":                      "load.how",
}

// settingTimes are the wire's names whose values are microseconds.
var settingTimes = map[string]bool{
	"tick": true, "services.slo": true, "services.deadline": true, "services.window": true,
	"limits.max_retry_after": true, "safety.cold": true, "safety.tip_after": true, "safety.drain_grace": true,
	"safety.answer_slack": true, "safety.ask_within": true, "specifics.meter": true,
}

var settingValues = map[string]string{
	"idempotent": "replayable", "deduplicated": "referenced", "at_most_once": "single-use",
	"subscribe": "ask", "automatic": "push",
}

var loadFields = map[string]string{
	"rif": "open", "q": "waiting", "busy": "used", "lat_ms": "latency", "rate": "rate", "fail_rate": "errors",
}

// settings reads the wire's settings text; names that it does not know are passed over.
func settings(text []byte) rules.Settings {
	set := rules.Settings{}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if !ok {
			continue
		}
		parts := strings.SplitN(name, ".", 3)
		wire, prefix := name, ""
		if own := settingNames[parts[0]]; len(parts) > 1 && (own == "band" || own == "plan") {
			if name == parts[0]+".count" {
				set[own+".count"] = value
				continue
			}
			if len(parts) < 3 {
				continue
			}
			wire, prefix = parts[0]+"."+parts[2], own+"."+parts[1]+"."
		}
		own, known := settingNames[wire]
		if !known {
			continue
		}
		switch {
		case settingTimes[wire]:
			if us, err := strconv.ParseFloat(value, 64); err == nil {
				value = strconv.FormatInt(int64(us)/microsPerTenth, 10)
			}
		case wire == "feedback.columns":
			fields := strings.Split(value, ",")
			for i, f := range fields {
				fields[i] = loadFields[f]
			}
			value = strings.Join(fields, ",")
		case wire == "services.semantics" || wire == "registry_mode":
			value = settingValues[value]
		}
		set[prefix+own] = value
	}
	return set
}
