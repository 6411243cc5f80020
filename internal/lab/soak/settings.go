package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

// requestClass is a class of requests, as the settings and the clients know it.
type requestClass struct {
	name, method, semantics string
	timeout                 time.Duration
	window                  time.Duration // in which servers know an idempotency key
}

// Semantics of a class, in the platform's words.
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

// The plans: one without limits that matter, and one with a hard ceiling for each customer over all nodes together.
const (
	planName       = "team"
	cappedPlanName = "capped"

	cappedShare     = 12  // of requests, in percent, under the capped plan,
	cappedCustomers = 2   // of so many customers
	ceilingRate     = 0.5 // units a second for each node, about half of what is asked
	ceilingDepth    = 2.5 // units for each node
)

// What the settings promise of servers.
const (
	drainGrace    = 500 * time.Millisecond // nothing new to a draining server after it
	coldSpan      = 8 * time.Second        // a server warms up in it
	coldShare     = 0.2                    // of its capacity at its start
	coldMultiple  = 2.0                    // of its capacity that a cold server bears within coldWindow
	coldWindow    = 2 * time.Second
	connIdle      = 4 * time.Second
	connectWithin = 250 * time.Millisecond
	nodeSockets   = 256
	nodeMemoryMB  = 128
)

// platformSettings are a node's settings, in the platform's names; times are in microseconds.
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
			"max_retry_after": 2000000, "conn_idle": connIdle.Microseconds(), "connect_timeout": connectWithin.Microseconds(),
		},
		"safety": object{
			"cold": coldSpan.Microseconds(), "cold_from": coldShare, "fall_multiple": coldMultiple,
			"tip_after": coldWindow.Microseconds(), "drain_grace": drainGrace.Microseconds(), "answer_slack": 50000,
			"ask_within": 2000000,
		},
		"specifics": object{"largest": 100},
	})
	if err != nil {
		panic(err) // of constants
	}
	return raw
}
