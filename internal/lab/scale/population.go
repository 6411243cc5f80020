package scale

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cherrygap/internal/settings"
)

// requestClass is a class of requests.
type requestClass struct {
	name        string
	method      string
	retrySafety settings.RetrySafety
	share       float64       // share of all requests
	objective   time.Duration // latency objective and idempotency window
	timeout     time.Duration // timeout of the clients
	idempotent  bool          // whether a server may execute a request more than once
}

// classes lists the request classes. drawClass expects two classes.
var classes = []requestClass{
	{"quote", http.MethodGet, settings.RetrySafe, 0.7, time.Second, 2 * time.Second, true},
	{"order", http.MethodPost, settings.RetryUnsafe, 0.3, 2 * time.Second, 4 * time.Second, false},
}

// lastResponseTimeout returns the time after the last request within which all responses must arrive.
func lastResponseTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.timeout)
	}
	return longest + responseGrace
}

// quotaPlan is a plan's quota. A request costs one unit.
type quotaPlan struct {
	name  string
	rate  float64 // units/s
	burst float64 // units
}

// plans lists the plans in ascending order of rate.
var plans = []quotaPlan{{"small", 20, 60}, {"middle", 200, 600}, {"large", 4000, 8000}}

const (
	zipfExponent      = 0.8 // exponent of the Zipf distribution of demand over the tenants' ranks
	zipfOffset        = 10  // offset added to each rank; it brings the largest tenants' demands closer together
	minSpread         = 3   // smallest number of nodes that a tenant sends to
	tenantRatePerNode = 4.0 // mean requests/s of a tenant at each of its nodes, if it sends to more than minSpread nodes
	quotaHeadroom     = 3.0 // ratio of rate to mean demand with which a plan suffices, so that bursts are not rejected
)

// tenant is a customer. It sends to spread consecutive nodes, from firstNode on.
type tenant struct {
	key       uint64 // customer ID in requests
	plan      int    // index of plans
	firstNode int    // number of the first node
	spread    int    // number of nodes
}

// population holds the tenants of one node and their shares of its requests.
type population struct {
	tenants    []tenant
	cumulative []float64 // sum of the shares up to and including each tenant, not normalized
}

// add adds a tenant with its share. The sum of all shares may differ from 1.
func (p *population) add(t tenant, share float64) {
	if last := len(p.cumulative) - 1; last >= 0 {
		share += p.cumulative[last]
	}
	p.tenants, p.cumulative = append(p.tenants, t), append(p.cumulative, share)
}

// draw draws a request's tenant with a probability proportional to the tenant's share. The population must not be empty.
func (p *population) draw(rng *rand.Rand) tenant {
	total := p.cumulative[len(p.cumulative)-1]
	i, _ := slices.BinarySearch(p.cumulative, rng.Float64()*total)
	return p.tenants[min(i, len(p.tenants)-1)]
}

// assignTenants returns the populations of the live nodes, by node number. They depend on cfg alone, so that all processes
// of a run agree. Populations of nodes for which wanted returns false are empty.
func assignTenants(cfg Config, wanted func(node int) bool) []population {
	live := cfg.liveNodes()
	rng := rand.New(rand.NewPCG(cfg.Seed, tenantStream))
	populations := make([]population, live)
	weights, sum := make([]float64, cfg.Tenants), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+zipfOffset), -zipfExponent)
		sum += weights[i]
	}
	for i, weight := range weights {
		demand := weight / sum * cfg.Rate * float64(live) // requests/s, as if all nodes had the mean rate of real nodes
		t := tenant{key: uint64(i) + 1, plan: planFor(demand)}
		t.spread = min(max(minSpread, int(math.Ceil(demand/tenantRatePerNode))), live)
		t.firstNode = rng.IntN(live)
		if live < cfg.Nodes { // the nodes after the last live one do not run
			t.firstNode = min(t.firstNode, live-t.spread)
		}
		for k := range t.spread {
			if node := (t.firstNode + k) % live; wanted(node) {
				populations[node].add(t, weight/float64(t.spread))
			}
		}
	}
	for node := range populations {
		// With few tenants a node may have none. It gets an additional one, as draw needs a tenant.
		if wanted(node) && len(populations[node].tenants) == 0 {
			populations[node].add(tenant{key: uint64(cfg.Tenants + node + 1), firstNode: node, spread: 1}, 1)
		}
	}
	return populations
}

// planFor returns the index of the smallest plan that has quotaHeadroom for a mean demand in requests/s, or of the largest
// plan if none has.
func planFor(demand float64) int {
	plan := 0
	for plan < len(plans)-1 && plans[plan].rate < quotaHeadroom*demand {
		plan++
	}
	return plan
}

// drawClass draws a request's class by the classes' shares.
func drawClass(rng *rand.Rand) *requestClass {
	if rng.Float64() < classes[0].share {
		return &classes[0]
	}
	return &classes[1]
}

// drawServiceTime draws an app server's service time. The distribution is uniform from 2 to 6 ms, so that quantiles vary
// little between runs.
func drawServiceTime(rng *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
}
