package routing

import (
	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

// requestSettings are the settings of requests that the Router itself uses. They do not change after New.
type requestSettings struct {
	classes  map[string]decision.ClassID // class numbers by name
	plans    map[string]decision.PlanID  // plan numbers by name
	repeats  []repeatRule                // rules on repeated attempts, by class number
	quotas   []quota.Customer            // quotas by plan number, with only Rate and Burst set
	nodes    int                         // number of nodes in the fleet, at least 1
	maxUnits float64                     // largest number of units of a request; 0 or less for no limit
}

// newRequestSettings extracts the requestSettings from the node's settings.
func newRequestSettings(set *settings.Settings) requestSettings {
	s := requestSettings{
		classes:  numbersByName[decision.ClassID](set.ClassNames()),
		plans:    numbersByName[decision.PlanID](set.PlanNames()),
		repeats:  newRepeatRules(set),
		nodes:    max(1, set.Nodes.Truncated()),
		maxUnits: set.MaxUnits.Float(),
	}
	for i := range len(s.plans) {
		plan := set.Plans.At(i)
		s.quotas = append(s.quotas, quota.Customer{Rate: plan.Rate.Float(), Burst: plan.Burst.Float()})
	}
	return s
}

// numbersByName maps the names of a list's entries to their numbers. A name that occurs twice gets the later number.
func numbersByName[N ~int](names []string) map[string]N {
	numbers := map[string]N{}
	for i, name := range names {
		numbers[name] = N(i)
	}
	return numbers
}

// KnowsClassAndPlan reports whether the request's class and plan are in the settings.
func (r *Router) KnowsClassAndPlan(req *protocol.Request) bool {
	_, classKnown := r.settings.classes[req.Class]
	_, planKnown := r.settings.plans[req.Plan]
	return classKnown && planKnown
}

// WithinLimits reports whether the request's units and set of nodes are within the limits of the settings. Without a
// setting, units have no limit. The check protects a customer's token bucket and set of nodes: requests in the customer's
// name may carry wrong numbers.
func (r *Router) WithinLimits(req *protocol.Request) bool {
	s := &r.settings
	return (s.maxUnits <= 0 || req.Units <= s.maxUnits) && req.Spread <= s.nodes && req.FirstNode < s.nodes
}

// leaseCustomer returns the customer whose quota lease a request uses, and false if the plan has no quota to lease.
func (s *requestSettings) leaseCustomer(plan decision.PlanID, req *protocol.Request) (quota.Customer, bool) {
	if int(plan) < len(s.quotas) && s.quotas[plan].Rate > 0 {
		c := s.quotas[plan]
		c.Key, c.FirstNode, c.Spread = quota.CustomerKey(req.Customer), quota.NodeID(req.FirstNode), req.Spread
		return c, true
	}
	return quota.Customer{}, false
}
