package scale

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cherrygap/internal/settings"
)

// class is a kind of request.
type class struct {
	name    string
	method  string
	kind    string // of repeats, as the settings name them
	share   float64
	target  time.Duration // latency target
	wait    time.Duration // until its client gives up
	repeats bool          // may run twice
}

var classes = []class{
	{"quote", "GET", "idempotent", 0.7, time.Second, 2 * time.Second, true},
	{"order", "POST", "at_most_once", 0.3, 2 * time.Second, 4 * time.Second, false},
}

// plan is what a tenant may spend: units/s and units at once. Each request is one unit.
type plan struct {
	name        string
	rate, depth float64
}

var plans = []plan{{"small", 20, 60}, {"middle", 200, 600}, {"large", 4000, 8000}}

const (
	zipfSkew  = 0.8 // of tenants' demand,
	zipfFlat  = 10  // whose first ranks are about alike
	leastSet  = 3   // nodes that take a tenant in,
	perNode   = 4.0 // and one for each so many requests/s on the mean
	quotaOver = 3.0 // quotas are so many times the mean demand at least: a burst of one tenant is no subject here
)

// tenant is a customer.
type tenant struct {
	key           uint64
	plan          int
	first, spread int
}

// crowd is whom one node takes in, and how often.
type crowd struct {
	tenants []tenant
	upTo    []float64
}

// draw is the tenant of a request.
func (c *crowd) draw(rng *rand.Rand) tenant {
	total := c.upTo[len(c.upTo)-1]
	i, _ := slices.BinarySearch(c.upTo, rng.Float64()*total)
	return c.tenants[min(i, len(c.tenants)-1)]
}

// crowds deals the tenants out to the nodes that live (real ones first, then hollow ones), by the seed alone: a tenant's set
// is a run of nodes, longer for one that asks more. It is given for the wanted nodes only.
func crowds(c Config, wanted func(node int) bool) []crowd {
	live := c.Real + c.Hollow
	rng := rand.New(rand.NewPCG(c.Seed, 0x7465))
	out := make([]crowd, live)
	weights, sum := make([]float64, c.Tenants), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+zipfFlat), -zipfSkew)
		sum += weights[i]
	}
	for i, w := range weights {
		demand := w / sum * c.Rate * float64(live) // requests/s, were all nodes at the mean rate
		t := tenant{key: uint64(i) + 1, spread: min(max(leastSet, int(math.Ceil(demand/perNode))), live)}
		for t.plan < len(plans)-1 && plans[t.plan].rate < quotaOver*demand {
			t.plan++
		}
		if t.first = rng.IntN(live); live < c.Nodes { // sets run on past the last node, which is not there
			t.first = min(t.first, live-t.spread)
		}
		for k := range t.spread {
			if n := (t.first + k) % live; wanted(n) {
				last := 0.0
				if m := len(out[n].upTo); m > 0 {
					last = out[n].upTo[m-1]
				}
				out[n].tenants = append(out[n].tenants, t)
				out[n].upTo = append(out[n].upTo, last+w/float64(t.spread))
			}
		}
	}
	for n := range out { // few tenants: a node that none of them comes in by is given one, or it could draw nobody
		if wanted(n) && len(out[n].tenants) == 0 {
			out[n].tenants, out[n].upTo = []tenant{{key: uint64(c.Tenants + n + 1), first: n, spread: 1}}, []float64{1}
		}
	}
	return out
}

// pickClass draws a request's class.
func pickClass(rng *rand.Rand) *class {
	if rng.Float64() < classes[0].share {
		return &classes[0]
	}
	return &classes[1]
}

// serviceTime draws how long an app server takes: even between 2 and 6 ms, so that a quantile has little chance in it.
func serviceTime(rng *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
}

// platformSettings are a node's settings, in the platform's names; times are in microseconds.
func platformSettings(c Config, node int) json.RawMessage {
	type object = map[string]any
	var services, tiers []object
	for _, k := range classes {
		services = append(services, object{
			"name": k.name, "semantics": k.kind, "slo": k.target.Microseconds(),
			"deadline": k.wait.Microseconds(), "group": "all", "window": k.target.Microseconds(), "worth": 1,
		})
	}
	for _, p := range plans {
		tiers = append(tiers, object{"name": p.name, "units_per_s": p.rate, "depth": p.depth})
	}
	raw, err := json.Marshal(object{
		"slot_no": node, "replicas_of_me": c.Nodes, "tick": 2000, "registry_mode": "automatic",
		"services": services, "tiers_of_service": tiers,
		"limits": object{
			"attempts_cap": 3, "second_copies": false, "cancel": true, "probes": false, "peers": true,
			"retry_after": true, "max_retry_after": 2000000, "conn_idle": 15000000, "connect_timeout": 250000,
		},
		"safety": object{
			"cold": 10000000, "cold_from": 0.25, "fall_multiple": 3, "tip_after": 2000000,
			"drain_grace": grace.Microseconds(), "answer_slack": 50000, "ask_within": 2000000,
		},
		"specifics": object{"largest": 100, "peer_in_per_s": c.Take},
	})
	if err != nil {
		panic(err) // of constants and numbers that were checked
	}
	return raw
}

// moduleSettings are the same in the project's own names.
func moduleSettings(c Config, node int) map[string]string {
	set, err := settings.FromJSON(platformSettings(c, node))
	if err != nil {
		panic(err) // it was written just now
	}
	set["node"] = strconv.Itoa(node)
	return set
}
