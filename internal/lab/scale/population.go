package scale

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// requestClass is a class of request.
type requestClass struct {
	name       string
	method     string
	semantics  string  // of repeats, as the platform's settings name them
	share      float64 // of all requests
	objective  time.Duration
	timeout    time.Duration // until the client gives up
	idempotent bool
}

var classes = []requestClass{
	{"quote", http.MethodGet, "idempotent", 0.7, time.Second, 2 * time.Second, true},
	{"order", http.MethodPost, "at_most_once", 0.3, 2 * time.Second, 4 * time.Second, false},
}

// lastAnswerTimeout is how long after the last request every answer must have come.
func lastAnswerTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.timeout)
	}
	return longest + answerGrace
}

// quotaPlan is what a tenant may spend: units/s, and units at once. Each request is one unit.
type quotaPlan struct {
	name        string
	rate, burst float64
}

var plans = []quotaPlan{{"small", 20, 60}, {"middle", 200, 600}, {"large", 4000, 8000}}

const (
	zipfSkew              = 0.8 // of tenants' demand
	zipfOffset            = 10  // so that the first ranks are about alike
	minSpread             = 3   // nodes that a tenant comes in by,
	requestsPerSpreadNode = 4.0 // and one for each so many requests/s, mean
	quotaHeadroom         = 3.0 // quotas are so many times the mean demand at least: a tenant's bursts are not what is measured
)

// tenant is a customer.
type tenant struct {
	key       uint64
	plan      int // index of plans
	firstNode int // of the nodes that it comes in by, which are consecutive
	spread    int // how many those are
}

// population are the tenants that come in by one node, and how often.
type population struct {
	tenants    []tenant
	cumulative []float64 // share of the requests of the tenants up to this one, not scaled
}

func (p *population) add(t tenant, share float64) {
	if last := len(p.cumulative) - 1; last >= 0 {
		share += p.cumulative[last]
	}
	p.tenants, p.cumulative = append(p.tenants, t), append(p.cumulative, share)
}

// draw draws the tenant of a request.
func (p *population) draw(rng *rand.Rand) tenant {
	total := p.cumulative[len(p.cumulative)-1]
	i, _ := slices.BinarySearch(p.cumulative, rng.Float64()*total)
	return p.tenants[min(i, len(p.tenants)-1)]
}

// dealTenants deals the tenants out to the live nodes (real ones first, then simulated ones), by the seed alone, so that
// every process deals alike. It fills in the wanted nodes only.
func dealTenants(cfg Config, wanted func(node int) bool) []population {
	live := cfg.liveNodes()
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x7465))
	populations := make([]population, live)
	weights, sum := make([]float64, cfg.Tenants), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+zipfOffset), -zipfSkew)
		sum += weights[i]
	}
	for i, weight := range weights {
		demand := weight / sum * cfg.Rate * float64(live) // requests/s, were all nodes at the mean rate
		t := tenant{key: uint64(i) + 1, plan: planFor(demand)}
		t.spread = min(max(minSpread, int(math.Ceil(demand/requestsPerSpreadNode))), live)
		t.firstNode = rng.IntN(live)
		if live < cfg.Nodes { // the nodes behind the last live one don't run
			t.firstNode = min(t.firstNode, live-t.spread)
		}
		for k := range t.spread {
			if node := (t.firstNode + k) % live; wanted(node) {
				populations[node].add(t, weight/float64(t.spread))
			}
		}
	}
	for node := range populations {
		// With few tenants a node may have none of them: it gets one of its own, as there would be nobody to draw.
		if wanted(node) && len(populations[node].tenants) == 0 {
			populations[node].add(tenant{key: uint64(cfg.Tenants + node + 1), firstNode: node, spread: 1}, 1)
		}
	}
	return populations
}

// planFor is the smallest plan that a demand (requests/s) fits.
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

// drawServiceTime draws how long an app server takes: uniform from 2 to 6 ms, so that quantiles vary little by chance.
func drawServiceTime(rng *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
}
