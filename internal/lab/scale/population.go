package scale

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cherrygap/internal/settings"
)

// requestClass is a request class.
type requestClass struct {
	name        string
	method      string
	retrySafety settings.RetrySafety
	share       float64 // of all requests
	objective   time.Duration
	timeout     time.Duration // of the client
	idempotent  bool
}

// classes lists the request classes.
var classes = []requestClass{
	{"quote", http.MethodGet, settings.RetrySafe, 0.7, time.Second, 2 * time.Second, true},
	{"order", http.MethodPost, settings.RetryUnsafe, 0.3, 2 * time.Second, 4 * time.Second, false},
}

// lastResponseTimeout returns the time after the last request within which every response must arrive.
func lastResponseTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.timeout)
	}
	return longest + responseGrace
}

// quotaPlan is a quota. A request costs one unit.
type quotaPlan struct {
	name  string
	rate  float64 // units/s
	burst float64 // units
}

// plans lists the plans by their rate.
var plans = []quotaPlan{{"small", 20, 60}, {"middle", 200, 600}, {"large", 4000, 8000}}

const (
	zipfExponent      = 0.8 // exponent of the tenants' demand by rank
	zipfOffset        = 10  // added to each rank, which flattens the demand of the first ones
	minSpread         = 3   // smallest number of nodes that a tenant sends to
	tenantRatePerNode = 4.0 // mean requests/s of a tenant at each of its nodes, if it sends to more than minSpread
	quotaHeadroom     = 3.0 // smallest ratio of a tenant's quota to its mean demand, so that bursts are not rejected
)

// tenant is a customer. It sends to consecutive nodes.
type tenant struct {
	key       uint64
	plan      int // index of plans
	firstNode int
	spread    int // number of nodes
}

// population holds the tenants of one node and their shares of its requests.
type population struct {
	tenants    []tenant
	cumulative []float64 // sum of the shares up to each tenant, not normalized
}

// add adds a tenant with its share, which is not normalized.
func (p *population) add(t tenant, share float64) {
	if last := len(p.cumulative) - 1; last >= 0 {
		share += p.cumulative[last]
	}
	p.tenants, p.cumulative = append(p.tenants, t), append(p.cumulative, share)
}

// draw draws the tenant of a request by the shares. The population must not be empty.
func (p *population) draw(rng *rand.Rand) tenant {
	total := p.cumulative[len(p.cumulative)-1]
	i, _ := slices.BinarySearch(p.cumulative, rng.Float64()*total)
	return p.tenants[min(i, len(p.tenants)-1)]
}

// assignTenants returns the populations of the live nodes, by node. They depend on cfg alone, so that all processes of a
// run agree. Only the populations of wanted nodes are set.
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
		demand := weight / sum * cfg.Rate * float64(live) // requests/s, if all nodes have the mean rate of real ones
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

// planFor returns the index of the smallest plan for a mean demand in requests/s.
func planFor(demand float64) int {
	plan := 0
	for plan < len(plans)-1 && plans[plan].rate < quotaHeadroom*demand {
		plan++
	}
	return plan
}

// drawClass draws a request's class.
func drawClass(rng *rand.Rand) *requestClass {
	if rng.Float64() < classes[0].share {
		return &classes[0]
	}
	return &classes[1]
}

// drawServiceTime draws an app server's service time: uniform from 2 to 6 ms, for which quantiles vary little between runs.
func drawServiceTime(rng *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
}
