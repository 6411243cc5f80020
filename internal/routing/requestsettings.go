package routing

import (
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

// requestSettings is what the settings say of requests before the engine sees them. It does not change after New.
type requestSettings struct {
	classes, plans map[string]int   // numbers by name
	repeats        []repeatRule     // by class
	quotas         []quota.Customer // by plan: only Rate and Burst are set
	nodes          int
	maxUnits       float64 // of a request; 0 or less: no bound
}

func newRequestSettings(set decision.Settings) requestSettings {
	s := requestSettings{
		classes:  numbersByName(settings.ClassNames(set)),
		plans:    numbersByName(settings.PlanNames(set)),
		nodes:    max(1, int(set.Number(settings.Nodes))),
		maxUnits: set.Number(settings.MaxUnits),
	}
	s.repeats = newRepeatRules(set, max(1, int(set.Number(settings.ClassCount))))
	for plan := range len(s.plans) {
		s.quotas = append(s.quotas, quota.Customer{
			Rate:  set.Number(settings.PlanKey(plan, settings.PlanRate)),
			Burst: set.Number(settings.PlanKey(plan, settings.PlanBurst)),
		})
	}
	return s
}

// settingDuration is a setting that is a time; one that is missing or can't be read is 0.
func settingDuration(set map[string]string, key string) time.Duration {
	return duration(decision.Settings(set).Duration(key))
}

// numbersByName maps the names of a list's entries to their numbers; of a name given twice it is the last.
func numbersByName(names []string) map[string]int {
	numbers := map[string]int{}
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// KnowsClassAndPlan returns whether the settings have the request's class and plan.
func (r *Router) KnowsClassAndPlan(req *protocol.Request) bool {
	_, class := r.settings.classes[req.Class]
	_, plan := r.settings.plans[req.Plan]
	return class && plan
}

// WithinLimits returns whether the request's units and set of nodes are such as the settings allow; a setting that is
// missing allows anything. It protects a tenant's bucket and set from whoever writes odd figures under its name.
func (r *Router) WithinLimits(req *protocol.Request) bool {
	s := &r.settings
	return (s.maxUnits <= 0 || req.Units <= s.maxUnits) && req.Spread <= s.nodes && req.FirstNode < s.nodes
}

// leased returns the tenant of a request under a plan whose quota can be leased, or false.
func (s *requestSettings) leased(plan int, req *protocol.Request) (quota.Customer, bool) {
	if plan < len(s.quotas) && s.quotas[plan].Rate > 0 {
		c := s.quotas[plan]
		c.Key, c.FirstNode, c.Spread = quota.CustomerKey(req.Customer), quota.NodeID(req.FirstNode), req.Spread
		return c, true
	}
	return quota.Customer{}, false
}
