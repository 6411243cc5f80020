package scale

import (
	"encoding/json"

	"cherrygap/internal/settings"
)

// platformSettings returns a node's settings in the platform's JSON form, which has times in microseconds.
func platformSettings(cfg Config, node int) json.RawMessage {
	type object = map[string]any
	var services, tiers []object
	for _, class := range classes {
		services = append(services, object{
			"name": class.name, "semantics": class.semantics, "slo": class.objective.Microseconds(),
			"deadline": class.timeout.Microseconds(), "group": "all", "window": class.objective.Microseconds(), "worth": 1,
		})
	}
	for _, plan := range plans {
		tiers = append(tiers, object{"name": plan.name, "units_per_s": plan.rate, "depth": plan.burst})
	}
	raw, err := json.Marshal(object{
		"slot_no": node, "replicas_of_me": cfg.Nodes, "tick": 2000, "registry_mode": "automatic",
		"services": services, "tiers_of_service": tiers,
		"limits": object{
			"attempts_cap": 3, "second_copies": false, "cancel": true, "probes": false, "peers": true,
			"retry_after": true, "max_retry_after": 2000000, "conn_idle": 15000000, "connect_timeout": 250000,
		},
		"safety": object{
			"cold": 10000000, "cold_from": 0.25, "fall_multiple": 3, "tip_after": 2000000,
			"drain_grace": drainGrace.Microseconds(), "answer_slack": 50000, "ask_within": 2000000,
		},
		"specifics": object{"largest": 100, "peer_in_per_s": cfg.PeerRate},
	})
	if err != nil {
		panic(err) // all values are constants or were checked by Config.Check
	}
	return raw
}

// engineSettings returns the same settings for an engine without a node's process.
func engineSettings(cfg Config, node int) *settings.Settings {
	set, err := settings.FromJSON(platformSettings(cfg, node))
	if err != nil {
		panic(err) // platformSettings returns valid settings
	}
	set.Node = settings.IntNumber(node)
	return set
}
