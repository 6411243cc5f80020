package settings

import (
	"strconv"
	"strings"
)

// Values maps this package's keys (Node, MaxAttempts, the results of ClassKey, and so on) to the texts of the settings.
type Values map[string]string

// Parse returns the settings whose texts are in v. It accepts all texts: see Number and Duration.
func Parse(v Values) *Settings {
	return &Settings{
		Node:              v.number(Node),
		Nodes:             v.number(Nodes),
		Tick:              v.duration(Tick),
		EndpointList:      EndpointListMode(v[EndpointList]),
		PollWithin:        v.duration(PollWithin),
		LoadReportFields:  v.stringList(LoadReportFields),
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

// parseList parses a list with all entries that v contains, whatever the declared length is.
func parseList[E any](v Values, prefix, countKey string, parse func(v Values, i int) E) List[E] {
	l := List[E]{Count: v.number(countKey), entries: map[int]E{}}
	for key := range v {
		parts := strings.SplitN(key, ".", 3) // The parts are the list's prefix, the entry's number and the field.
		if len(parts) < 3 || parts[0] != prefix {
			continue
		}
		i, err := strconv.Atoi(parts[1])
		if err != nil || strconv.Itoa(i) != parts[1] {
			continue // The part is not a number in its shortest decimal form: "x" or "01".
		}
		if _, parsed := l.entries[i]; !parsed {
			l.entries[i] = parse(v, i)
		}
	}
	return l
}

// parseClass parses the request class with the number i.
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

// parsePlan parses the plan with the number i.
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

// number parses a numeric setting.
func (v Values) number(key string) Number { return ParseNumber(v[key]) }

// duration parses a time setting.
func (v Values) duration(key string) Duration { return ParseDuration(v[key]) }

// enabled reports whether a boolean setting is true: its text is exactly On.
func (v Values) enabled(key string) bool { return v[key] == On }

// stringList returns the parts of a text that are separated by commas. It returns nil for an empty text.
func (v Values) stringList(key string) []string {
	if v[key] == "" {
		return nil
	}
	return strings.Split(v[key], ",")
}
