package settings

import (
	"strconv"
	"strings"
)

// translate turns a value of the platform into the decision module's.
type translate func(value string) string

// translation is the name, and the form of the value, that the decision module has for a setting.
type translation struct {
	name  string
	value translate
}

// lists are the settings that come as lists, and their names in the decision module. An entry keeps its number.
var lists = map[string]string{
	"services":         "band",
	"tiers_of_service": "plan",
}

// translations are the settings that are read, by the platform's names. The name of a list's entry has no number here.
var translations = map[string]translation{
	"slot_no":          {"node", verbatim},
	"replicas_of_me":   {"nodes", verbatim},
	"tick":             {"tick", tenths},
	"registry_mode":    {"roster", choice},
	"feedback.columns": {"load.fields", columns},
	"feedback.how":     {"load.how", verbatim},

	// Request classes.
	"services":             {"band", verbatim},
	"services.name":        {"name", verbatim},
	"services.semantics":   {"repeats", choice},
	"services.slo":         {"contract", tenths},
	"services.deadline":    {"outer", tenths},
	"services.group":       {"group", verbatim},
	"services.window":      {"window", tenths},
	"services.worth":       {"gain", verbatim},
	"services.late_value":  {"late", verbatim},
	"services.stream":      {"stream", verbatim},
	"services.aim_stretch": {"stretch", verbatim},

	// Plans of tenants: quotas and what a request is worth.
	"tiers_of_service":                  {"plan", verbatim},
	"tiers_of_service.name":             {"name", verbatim},
	"tiers_of_service.depth":            {"depth", verbatim},
	"tiers_of_service.units_per_s":      {"rate", verbatim},
	"tiers_of_service.max_out":          {"open", verbatim},
	"tiers_of_service.value_factor":     {"price", verbatim},
	"tiers_of_service.beyond_earns":     {"over.gain", verbatim},
	"tiers_of_service.beyond_costs":     {"over.cost", verbatim},
	"tiers_of_service.hard_rate":        {"ceiling.rate", verbatim},
	"tiers_of_service.never_over_depth": {"ceiling.depth", verbatim},
	"tiers_of_service.cap_slack":        {"ceiling.slack", verbatim},

	// What the node may do, and how much of it.
	"limits.attempts_cap":    {"executions", verbatim},
	"limits.second_copies":   {"copies", verbatim},
	"limits.cancel":          {"withdraw", verbatim},
	"limits.probes":          {"probes", verbatim},
	"limits.peers":           {"peers", verbatim},
	"limits.retry_after":     {"advice", verbatim},
	"limits.max_retry_after": {"advice.most", tenths},
	"limits.max_open":        {"tickets.most", verbatim},
	"limits.conn_idle":       {"idle", tenths},
	"limits.connect_timeout": {"connect", tenths},

	// What app servers bear: slow start, overload and draining.
	"safety.cold":          {"cold.span", tenths},
	"safety.cold_from":     {"cold.from", verbatim},
	"safety.fall_multiple": {"fall.multiple", verbatim},
	"safety.tip_after":     {"fall.span", tenths},
	"safety.drain_grace":   {"drain.grace", tenths},
	"safety.answer_slack":  {"answer.slack", tenths},
	"safety.ask_within":    {"ask.within", tenths},

	"specifics.trued_up":      {"settled", verbatim},
	"specifics.largest":       {"largest", verbatim},
	"specifics.peer_in_per_s": {"peers.take", verbatim},
}

// choices are the words that name one of a few, of the retry safety of a class and of how the endpoint list comes.
var choices = map[string]string{
	"idempotent": "replayable", "deduplicated": "referenced", "at_most_once": "single-use",
	"subscribe": "ask", "automatic": "push",
}

// loadColumns are the figures that load reports carry.
var loadColumns = map[string]string{
	"rif": "open", "q": "waiting", "busy": "used", "lat_ms": "latency", "rate": "rate", "fail_rate": "errors",
}

// microsPerTenth is how many microseconds a tenth of a millisecond has.
const microsPerTenth = 100

func verbatim(value string) string { return value }

func choice(value string) string { return choices[value] }

// tenths turns microseconds, a fraction of which is dropped, into tenths of a millisecond.
func tenths(value string) string {
	micros, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return value
	}
	return strconv.FormatInt(int64(micros)/microsPerTenth, 10)
}

// columns turns the names of a list of load figures; one that is not known becomes empty, so that the others keep their
// places.
func columns(value string) string {
	names := strings.Split(value, ",")
	for i, name := range names {
		names[i] = loadColumns[name]
	}
	return strings.Join(names, ",")
}
