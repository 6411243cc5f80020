package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

// requestClass is a request class of the settings.
type requestClass struct {
	name, method, semantics string
	timeout                 time.Duration
	window                  time.Duration // within which servers know an idempotency key
}

// Semantics of a class, in the platform's words: safe, keyed and unsafe requests.
const (
	semanticsSafe   = "idempotent"
	semanticsKeyed  = "deduplicated"
	semanticsUnsafe = "at_most_once"
)

var requestClasses = []requestClass{
	{"find", http.MethodGet, semanticsSafe, 800 * time.Millisecond, time.Second},
	{"hold", http.MethodPost, semanticsKeyed, time.Second, 600 * time.Millisecond},
	{"book", http.MethodPost, semanticsUnsafe, 1500 * time.Millisecond, time.Second},
}

// The plans. The first has limits that are never reached. The other has a hard ceiling for each customer over all nodes.
const (
	planName       = "team"
	cappedPlanName = "capped"

	cappedShare     = 12  // percentage of the requests under the capped plan
	cappedCustomers = 2   // customers under the capped plan
	ceilingRate     = 0.5 // units a second for each node, about half of the demand
	ceilingDepth    = 2.5 // units for each node
)

// The settings' values for app servers and nodes.
const (
	drainGrace        = 500 * time.Millisecond // from the notice of a drain to the last attempt that may begin
	slowStartSpan     = 8 * time.Second        // age at which a server is warm
	slowStartShare    = 0.2                    // part of its capacity that a server has at its start
	overloadMultiple  = 2.0                    // times its capacity that a server in slow start bears within overloadWindow
	overloadWindow    = 2 * time.Second
	serverIdleTimeout = 4 * time.Second
	connectTimeout    = 250 * time.Millisecond
	nodeSockets       = 256
	nodeMemoryMB      = 128
)

// platformSettings returns a node's settings by the platform's names. Times are in microseconds.
func platformSettings(nodes, node int) json.RawMessage {
	type object = map[string]any
	services := make([]object, len(requestClasses))
	for i, class := range requestClasses {
		services[i] = object{
			"name": class.name, "semantics": class.semantics, "slo": (class.timeout / 2).Microseconds(),
			"deadline": class.timeout.Microseconds(), "group": "all", "window": class.window.Microseconds(), "worth": 1,
		}
	}
	raw, err := json.Marshal(object{
		"slot_no": node, "replicas_of_me": nodes, "tick": 2000, "registry_mode": "automatic", "services": services,
		"tiers_of_service": []object{
			{"name": planName, "units_per_s": 1e6, "depth": 1e6},
			{
				"name": cappedPlanName, "units_per_s": 1e6, "depth": 1e6, "hard_rate": ceilingRate * float64(nodes),
				"never_over_depth": ceilingDepth * float64(nodes), "cap_slack": 0,
			},
		},
		"limits": object{
			"attempts_cap": 4, "second_copies": false, "cancel": true, "probes": false, "peers": false, "retry_after": true,
			"max_retry_after": 2000000, "conn_idle": serverIdleTimeout.Microseconds(), "connect_timeout": connectTimeout.Microseconds(),
		},
		"safety": object{
			"cold": slowStartSpan.Microseconds(), "cold_from": slowStartShare, "fall_multiple": overloadMultiple,
			"tip_after": overloadWindow.Microseconds(), "drain_grace": drainGrace.Microseconds(), "answer_slack": 50000,
			"ask_within": 2000000,
		},
		"specifics": object{"largest": 100},
	})
	if err != nil {
		panic(err) // constants can be marshalled
	}
	return raw
}
