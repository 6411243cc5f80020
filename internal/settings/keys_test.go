package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// formerKeys pairs each key with its name in earlier releases. The journals and notes of those releases use that name. The
// keys of class 0 and plan 0 represent those of all classes and plans.
var formerKeys = []struct{ former, key string }{
	{"node", Node},
	{"nodes", Nodes},
	{"tick", Tick},
	{"roster", EndpointList},
	{"ask.within", PollWithin},
	{"load.fields", LoadReportFields},
	{"load.how", LoadReportChannel},
	{"executions", MaxAttempts},
	{"copies", Hedging},
	{"withdraw", CancelAttempts},
	{"probes", HealthChecks},
	{"peers", Peers},
	{"peers.take", PeerRate},
	{"advice", RetryAfter},
	{"advice.most", MaxRetryAfter},
	{"tickets.most", MaxRequests},
	{"idle", IdleTimeout},
	{"connect", ConnectTimeout},
	{"cold.span", SlowStartSpan},
	{"cold.from", SlowStartShare},
	{"fall.multiple", OverloadMultiple},
	{"fall.span", OverloadSpan},
	{"drain.grace", DrainGrace},
	{"answer.slack", ResponseSlack},
	{"settled", EstimatedUnits},
	{"largest", MaxUnits},
	{"band.count", ClassCount},
	{"plan.count", PlanCount},
	{"band", classList},
	{"plan", planList},
	{"band.0.name", ClassKey(0, ClassName)},
	{"band.0.repeats", ClassKey(0, ClassRetrySafety)},
	{"band.0.contract", ClassKey(0, ClassLatencyObjective)},
	{"band.0.outer", ClassKey(0, ClassDeadline)},
	{"band.0.group", ClassKey(0, ClassIdempotencyGroup)},
	{"band.0.window", ClassKey(0, ClassIdempotencyWindow)},
	{"band.0.gain", ClassKey(0, ClassPriorityWeight)},
	{"band.0.late", ClassKey(0, ClassLateShare)},
	{"band.0.stream", ClassKey(0, ClassStreaming)},
	{"band.0.stretch", ClassKey(0, ClassObjectiveStretch)},
	{"plan.0.name", PlanKey(0, PlanName)},
	{"plan.0.depth", PlanKey(0, PlanBurst)},
	{"plan.0.rate", PlanKey(0, PlanRate)},
	{"plan.0.open", PlanKey(0, PlanMaxInFlight)},
	{"plan.0.price", PlanKey(0, PlanPriorityFactor)},
	{"plan.0.over.gain", PlanKey(0, PlanOverQuotaShare)},
	{"plan.0.over.cost", PlanKey(0, PlanOverQuotaCost)},
	{"plan.0.ceiling.rate", PlanKey(0, PlanCeilingRate)},
	{"plan.0.ceiling.depth", PlanKey(0, PlanCeilingBurst)},
	{"plan.0.ceiling.slack", PlanKey(0, PlanCeilingSlack)},
}

// formerEnumValues pairs each enumerated value with its name in earlier releases.
var formerEnumValues = []struct{ former, value string }{
	{"replayable", RetrySafe},
	{"referenced", RetryKeyed},
	{"single-use", RetryUnsafe},
	{"ask", EndpointListPoll},
	{"push", EndpointListPush},
	{"open", LoadInFlight},
	{"waiting", LoadQueued},
	{"used", LoadUtilization},
	{"latency", LoadLatency},
	{"rate", LoadRate},
	{"errors", LoadErrorRate},
}

// formatInFormerNames returns the settings as sorted entries that use the former keys and enumerated values.
func formatInFormerNames(t *testing.T, values Values) string {
	t.Helper()
	entries := make([]string, 0, len(values))
	for key, value := range values {
		firstEntryKey := strings.Replace(key, ".1.", ".0.", 1)
		i := slices.IndexFunc(formerKeys, func(k struct{ former, key string }) bool { return k.key == firstEntryKey })
		if i < 0 {
			t.Fatalf("key %q is not in formerKeys, want every key in it", key)
		}
		former := formerKeys[i].former
		if firstEntryKey != key {
			former = strings.Replace(former, ".0.", ".1.", 1)
		}
		parts := strings.Split(value, ",")
		for i, part := range parts {
			for _, enum := range formerEnumValues {
				if enum.value == part {
					parts[i] = enum.former
				}
			}
		}
		entries = append(entries, former+"="+strings.Join(parts, ",")+";")
	}
	slices.Sort(entries)
	return strings.Join(entries, "")
}

// TestValuesUnderFormerKeys checks that every setting has the value that it had under its former key. A renamed key that is
// mapped to the wrong name of the platform would give a setting the value of another one.
func TestValuesUnderFormerKeys(t *testing.T) {
	fromJSON, err := valuesFromJSON([]byte(fullJSON))
	if err != nil {
		t.Fatalf("valuesFromJSON of fullJSON failed: %v, want no error", err)
	}
	for name, c := range map[string]struct {
		values Values
		want   string
	}{
		"text": {valuesFromText([]byte(fullText)), "advice=true;advice.most=20000;answer.slack=500;ask.within=700;band.0.contract=6000;band.0.gain=1.5;band.0.group=zone;band.0.late=0.25;band.0.name=seats;band.0.outer=12000;band.0.repeats=replayable;band.0.stream=3;band.0.stretch=1.1;band.0.window=30000;band.1.name=buy;band.1.repeats=referenced;band.count=2;cold.from=0.25;cold.span=100000;connect=10000;copies=true;drain.grace=50000;executions=4;fall.multiple=3;fall.span=20000;idle=300000;largest=6;load.fields=open,waiting,used,latency,rate,errors;load.how=header;node=2;nodes=5;peers=true;peers.take=60;plan.0.ceiling.depth=80;plan.0.ceiling.rate=25;plan.0.ceiling.slack=1.05;plan.0.depth=40;plan.0.name=team;plan.0.open=7;plan.0.over.cost=0.75;plan.0.over.gain=0.5;plan.0.price=2;plan.0.rate=12.5;plan.count=1;probes=false;roster=ask;settled=true;tick=40;tickets.most=512;withdraw=true;"},
		"JSON": {fromJSON, "advice=true;advice.most=20000;answer.slack=500;ask.within=700;band.0.contract=6000;band.0.gain=1.5;band.0.group=zone;band.0.late=0.25;band.0.name=seats;band.0.outer=12000;band.0.repeats=replayable;band.0.stream=3;band.0.stretch=1.1;band.0.window=30000;band.1.name=buy;band.1.repeats=single-use;band.count=2;cold.from=0.25;cold.span=100000;connect=10000;copies=true;drain.grace=50000;executions=4;fall.multiple=3;fall.span=20000;idle=300000;largest=6;load.fields=open,waiting,used,latency,rate,errors;load.how=header;node=2;nodes=5;peers=true;peers.take=60;plan.0.ceiling.depth=80;plan.0.ceiling.rate=25;plan.0.ceiling.slack=1.05;plan.0.depth=40;plan.0.name=team;plan.0.open=7;plan.0.over.cost=0.75;plan.0.over.gain=0.5;plan.0.price=2;plan.0.rate=12.5;plan.count=1;probes=false;roster=push;settled=true;tick=40;tickets.most=512;withdraw=true;"},
	} {
		t.Run(name, func(t *testing.T) {
			want := strings.SplitAfter(strings.TrimSuffix(c.want, ";"), ";")
			want[len(want)-1] += ";"
			slices.Sort(want)
			if got := formatInFormerNames(t, c.values); got != strings.Join(want, "") {
				t.Errorf("settings from %s under their former keys:\ngot  %s\nwant %s", name, got, strings.Join(want, ""))
			}
		})
	}
}

// TestFormerKeysAreOneToOne checks that each key has one former key, and formerKeys has all keys. A key that is missing
// there would not be compared by TestValuesUnderFormerKeys.
func TestFormerKeysAreOneToOne(t *testing.T) {
	values := valuesFromText([]byte(fullText + "services=1\ntiers_of_service=1\n"))
	byFormer, byKey := map[string]bool{}, map[string]bool{}
	for _, k := range formerKeys {
		if _, ok := values[k.key]; !ok || byFormer[k.former] || byKey[k.key] {
			t.Errorf("former key %q, key %q: key is read = %v, former key repeated = %v, key repeated = %v; want true, false, false",
				k.former, k.key, ok, byFormer[k.former], byKey[k.key])
		}
		byFormer[k.former], byKey[k.key] = true, true
	}
	for key := range maps.Keys(values) {
		if !byKey[strings.Replace(key, ".1.", ".0.", 1)] {
			t.Errorf("key %q is not in formerKeys, want every key in it", key)
		}
	}
}

// TestOwnKeysAreIgnored checks that FromText ignores this package's keys and the former keys, because neither are names of
// the platform. Otherwise a setting could be given under two names. The exception is Tick, whose key is also its name of
// the platform.
func TestOwnKeysAreIgnored(t *testing.T) {
	for _, k := range formerKeys {
		for _, key := range []string{k.former, k.key} {
			if values := valuesFromText([]byte(fmt.Sprintf("%s=7\n", key))); len(values) > 0 && key != Tick {
				t.Errorf("valuesFromText(\"%s=7\") = %v, want no setting", key, values)
			}
		}
	}
}
