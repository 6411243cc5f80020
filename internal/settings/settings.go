// Package settings turns the names of an instance's settings, as the simulator's wire and the edge
// node's configuration give them, into the project's own. Both forms hold the same names.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

const microsPerTenth = 100

// names turns the wire's names into the project's own. A list's entries keep their number.
var names = map[string]string{
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
	"limits.conn_idle":        "idle",
	"limits.connect_timeout":  "connect",
	"services.name":           "name",
	"tiers_of_service.name":   "name",
	"safety.cold":             "cold.span",
	"safety.cold_from":        "cold.from",
	"safety.fall_multiple":    "fall.multiple",
	"safety.tip_after":        "fall.span",
	"safety.drain_grace":      "drain.grace",
	"safety.answer_slack":     "answer.slack",
	"safety.ask_within":       "ask.within",
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

// times are the wire's names whose values are microseconds.
var times = map[string]bool{
	"tick": true, "services.slo": true, "services.deadline": true, "services.window": true,
	"limits.conn_idle": true, "limits.connect_timeout": true,
	"limits.max_retry_after": true, "safety.cold": true, "safety.tip_after": true, "safety.drain_grace": true,
	"safety.answer_slack": true, "safety.ask_within": true,
}

var values = map[string]string{
	"idempotent": "replayable", "deduplicated": "referenced", "at_most_once": "single-use",
	"subscribe": "ask", "automatic": "push",
}

var loadFields = map[string]string{
	"rif": "open", "q": "waiting", "busy": "used", "lat_ms": "latency", "rate": "rate", "fail_rate": "errors",
}

// FromText reads the simulator's text, a name=value a line; names that are not known are passed over.
func FromText(text []byte) map[string]string {
	set := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			add(set, name, value)
		}
	}
	return set
}

// FromJSON reads the nested form of the configuration.
func FromJSON(raw []byte) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	set := map[string]string{}
	flatten(set, "", tree)
	return set, nil
}

// flatten writes a nested value as the text form would: lists of objects by number, others by commas.
func flatten(set map[string]string, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			if name != "" {
				key = name + "." + key
			}
			flatten(set, key, inner)
		}
	case []any:
		words := make([]string, len(v))
		for i, inner := range v {
			if _, object := inner.(map[string]any); object {
				flatten(set, name+"."+strconv.Itoa(i), inner)
				words = nil
			} else if words != nil {
				words[i] = fmt.Sprint(inner)
			}
		}
		if len(v) > 0 && words == nil {
			add(set, name+".count", strconv.Itoa(len(v)))
		} else {
			add(set, name, strings.Join(words, ","))
		}
	case nil:
	default:
		add(set, name, fmt.Sprint(v))
	}
}

// add notes one setting under its own name.
func add(set map[string]string, name, value string) {
	parts := strings.SplitN(name, ".", 3)
	wire, prefix := name, ""
	if own := names[parts[0]]; len(parts) > 1 && (own == "band" || own == "plan") {
		if name == parts[0]+".count" {
			set[own+".count"] = value
			return
		}
		if len(parts) < 3 {
			return
		}
		wire, prefix = parts[0]+"."+parts[2], own+"."+parts[1]+"."
	}
	own, known := names[wire]
	if !known {
		return
	}
	switch {
	case times[wire]:
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
		value = values[value]
	}
	set[prefix+own] = value
}
