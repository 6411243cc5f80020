package settings

import (
	"strconv"
	"strings"
)

// Values are the texts of settings by this package's keys: Node, MaxAttempts, ClassKey and so on.
type Values map[string]string

// Parse reads all settings. It accepts all texts, see Number and Duration.
func Parse(v Values) *Settings {
	return &Settings{
		Node:              v.number(Node),
		Nodes:             v.number(Nodes),
		Tick:              v.duration(Tick),
		EndpointList:      EndpointListMode(v[EndpointList]),
		PollWithin:        v.duration(PollWithin),
		LoadReportFields:  v.words(LoadReportFields),
		LoadReportChannel: v[LoadReportChannel],
		MaxAttempts:       v.number(MaxAttempts),
		Hedging:           v.enabled(Hedging),
		CancelAttempts:    v.enabled(CancelAttempts),
		HealthChecks:      v.enabled(HealthChecks),
		Peers:             v.enabled(Peers),
		PeerRate:          v.number(PeerRate),
		RetryAfter:        v.enabled(RetryAfter),
		MaxRetryAfter:     v.duration(MaxRetryAfter),
		MaxRequests:       v.number(MaxRequests),
		IdleTimeout:       v.duration(IdleTimeout),
		ConnectTimeout:    v.duration(ConnectTimeout),
		SlowStartSpan:     v.duration(SlowStartSpan),
		SlowStartShare:    v.number(SlowStartShare),
		OverloadMultiple:  v.number(OverloadMultiple),
		OverloadSpan:      v.duration(OverloadSpan),
		DrainGrace:        v.duration(DrainGrace),
		ResponseSlack:     v.duration(ResponseSlack),
		EstimatedUnits:    v.enabled(EstimatedUnits),
		MaxUnits:          v.number(MaxUnits),
		Classes:           parseList(v, classList, ClassCount, parseClass),
		Plans:             parseList(v, planList, PlanCount, parsePlan),
	}
}

// parseList reads the entries that are given. The declared length has no effect on them.
func parseList[E any](v Values, list, countKey string, parse func(v Values, i int) E) List[E] {
	l := List[E]{Count: v.number(countKey), entries: map[int]E{}}
	for key := range v {
		parts := strings.SplitN(key, ".", 3) // list, number, field
		if len(parts) < 3 || parts[0] != list {
			continue
		}
		i, err := strconv.Atoi(parts[1])
		if err != nil || strconv.Itoa(i) != parts[1] {
			continue // not the decimal form of a number, such as "01"
		}
		if _, done := l.entries[i]; !done {
			l.entries[i] = parse(v, i)
		}
	}
	return l
}

// parseClass reads the request class with the number i.
func parseClass(v Values, i int) Class {
	key := func(field ClassField) string { return ClassKey(i, field) }
	name, named := v[key(ClassName)]
	return Class{
		Named:             named,
		Name:              name,
		RetrySafety:       RetrySafety(v[key(ClassRetrySafety)]),
		LatencyObjective:  v.duration(key(ClassLatencyObjective)),
		Deadline:          v.duration(key(ClassDeadline)),
		IdempotencyGroup:  IdempotencyGroup(v[key(ClassIdempotencyGroup)]),
		IdempotencyWindow: v.duration(key(ClassIdempotencyWindow)),
		PriorityWeight:    v.number(key(ClassPriorityWeight)),
		LateShare:         v.number(key(ClassLateShare)),
		Streaming:         v.enabled(key(ClassStreaming)),
		ObjectiveStretch:  v.number(key(ClassObjectiveStretch)),
	}
}

// parsePlan reads the plan with the number i.
func parsePlan(v Values, i int) Plan {
	number := func(field PlanField) Number { return v.number(PlanKey(i, field)) }
	return Plan{
		Name:           v[PlanKey(i, PlanName)],
		Rate:           number(PlanRate),
		Burst:          number(PlanBurst),
		MaxInFlight:    number(PlanMaxInFlight),
		PriorityFactor: number(PlanPriorityFactor),
		OverQuotaShare: number(PlanOverQuotaShare),
		OverQuotaCost:  number(PlanOverQuotaCost),
		CeilingRate:    number(PlanCeilingRate),
		CeilingBurst:   number(PlanCeilingBurst),
		CeilingSlack:   number(PlanCeilingSlack),
	}
}

// number reads a numeric setting.
func (v Values) number(key string) Number { return ParseNumber(v[key]) }

// duration reads a time setting.
func (v Values) duration(key string) Duration { return ParseDuration(v[key]) }

// enabled reports whether a setting is exactly On.
func (v Values) enabled(key string) bool { return v[key] == On }

// words reads a list of words separated by commas. It returns nil for an empty text.
func (v Values) words(key string) []string {
	if v[key] == "" {
		return nil
	}
	return strings.Split(v[key], ",")
}
