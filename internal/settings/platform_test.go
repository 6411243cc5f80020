package settings

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// The tests of this file compare the translation of the platform's two forms with the expected settings. A name that is no
// longer translated, or is translated differently, would change the decisions of a node without an error.

// checkValues fails the test case unless its settings, sorted by key and written as "key=value;", are equal to want.
func checkValues(t *testing.T, name string, values Values, want string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		got := ""
		for _, key := range slices.Sorted(maps.Keys(values)) {
			got += fmt.Sprintf("%s=%s;", key, values[key])
		}
		if got != want {
			t.Errorf("settings from case %q:\ngot  %q\nwant %q", name, got, want)
		}
	})
}

// fullText has every name that the text form knows.
const fullText = `slot_no=2
replicas_of_me=5
tick=4000
registry_mode=subscribe
services.count=2
services.0.name=seats
services.0.semantics=idempotent
services.0.slo=600000
services.0.deadline=1200000
services.0.group=zone
services.0.window=3000000
services.0.worth=1.5
services.0.late_value=0.25
services.0.stream=3
services.0.aim_stretch=1.1
services.1.name=buy
services.1.semantics=deduplicated
tiers_of_service.count=1
tiers_of_service.0.name=team
tiers_of_service.0.depth=40
tiers_of_service.0.units_per_s=12.5
tiers_of_service.0.max_out=7
tiers_of_service.0.value_factor=2
tiers_of_service.0.beyond_earns=0.5
tiers_of_service.0.beyond_costs=0.75
tiers_of_service.0.hard_rate=25
tiers_of_service.0.never_over_depth=80
tiers_of_service.0.cap_slack=1.05
limits.attempts_cap=4
limits.second_copies=true
limits.cancel=true
limits.probes=false
limits.peers=true
limits.retry_after=true
limits.max_retry_after=2000000
limits.max_open=512
limits.conn_idle=30000000
limits.connect_timeout=1000000
safety.cold=10000000
safety.cold_from=0.25
safety.fall_multiple=3
safety.tip_after=2000000
safety.drain_grace=5000000
safety.answer_slack=50000
safety.ask_within=70000
specifics.trued_up=true
specifics.largest=6
specifics.peer_in_per_s=60
feedback.columns=rif,q,busy,lat_ms,rate,fail_rate
feedback.how=header
`

// fullJSON has every name that the JSON form knows.
const fullJSON = `{"slot_no":2,"replicas_of_me":5,"tick":4000,"registry_mode":"automatic",
"services":[{"name":"seats","semantics":"idempotent","slo":600000,"deadline":1200000,"group":"zone","window":3000000,
"worth":1.5,"late_value":0.25,"stream":3,"aim_stretch":1.1},{"name":"buy","semantics":"at_most_once"}],
"tiers_of_service":[{"name":"team","depth":40,"units_per_s":12.5,"max_out":7,"value_factor":2,"beyond_earns":0.5,
"beyond_costs":0.75,"hard_rate":25,"never_over_depth":80,"cap_slack":1.05}],
"limits":{"attempts_cap":4,"second_copies":true,"cancel":true,"probes":false,"peers":true,"retry_after":true,
"max_retry_after":2000000,"max_open":512,"conn_idle":30000000,"connect_timeout":1000000},
"safety":{"cold":10000000,"cold_from":0.25,"fall_multiple":3,"tip_after":2000000,"drain_grace":5000000,
"answer_slack":50000,"ask_within":70000},
"specifics":{"trued_up":true,"largest":6,"peer_in_per_s":60},
"feedback":{"columns":["rif","q","busy","lat_ms","rate","fail_rate"],"how":"header"}}`

// TestTextForm checks that the text form is translated name by name, also with unknown names and malformed values. Without
// the expected values, a change of the parser could go unnoticed.
func TestTextForm(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"full", fullText, "cancel_attempts=true;class.0.deadline=12000;class.0.idempotency_group=zone;class.0.idempotency_window=30000;class.0.late_share=0.25;class.0.latency_objective=6000;class.0.name=seats;class.0.objective_stretch=1.1;class.0.priority_weight=1.5;class.0.retry_safety=safe;class.0.streaming=3;class.1.name=buy;class.1.retry_safety=keyed;class.count=2;connect_timeout=10000;drain_grace=50000;endpoint_list=poll;estimated_units=true;health_checks=false;hedging=true;idle_timeout=300000;load_report.channel=header;load_report.fields=in_flight,queued,utilization,latency,rate,error_rate;max_attempts=4;max_requests=512;max_retry_after=20000;max_units=6;node=2;nodes=5;overload_multiple=3;overload_span=20000;peer_messages_per_s=60;peers=true;plan.0.burst=40;plan.0.ceiling_burst=80;plan.0.ceiling_rate=25;plan.0.ceiling_slack=1.05;plan.0.max_in_flight=7;plan.0.name=team;plan.0.over_quota_cost=0.75;plan.0.over_quota_share=0.5;plan.0.priority_factor=2;plan.0.rate=12.5;plan.count=1;poll_within=700;response_slack=500;retry_after=true;slow_start_share=0.25;slow_start_span=100000;tick=40;"},
		{"empty", "", ""},
		{"unknown names", "some.new.key=7\nclasses=3\nservices.0.new=1\nlimits=4\nlimits.new=5\nclass.0.name=x\nplan=1\n", ""},
		{"keys of this package are ignored", "node=1\nendpoint_list=poll\nclass.count=3\nplan.count=2\nmax_attempts=9\n", ""},
		{"no equals sign, leading equals sign, two equals signs", "tick\n=4\nlimits.attempts_cap=3=4\n", "max_attempts=3=4;"},
		{"blanks", "  tick=4000  \r\nslot_no = 3\nreplicas_of_me= 4\n", "nodes= 4;tick=40;"},
		{"given twice", "slot_no=1\nslot_no=2\n", "node=2;"},
		{"empty values", "slot_no=\ntick=\nregistry_mode=\nfeedback.columns=\nservices.0.semantics=\n", "class.0.retry_safety=;endpoint_list=;load_report.fields=;node=;tick=;"},
		{"unknown enumerated values", "registry_mode=other\nservices.0.semantics=sometimes\nfeedback.columns=rif,new,q\n", "class.0.retry_safety=;endpoint_list=;load_report.fields=in_flight,,queued;"},
		{"values of another enumerated setting", "registry_mode=idempotent\nservices.0.semantics=subscribe\n", "class.0.retry_safety=poll;endpoint_list=safe;"},
		// Converting a float beyond the range of int64 gives a result that depends on the processor. The next two cases expect
		// the result on amd64.
		{"malformed times", "tick=soon\nsafety.cold=NaN\nsafety.drain_grace=1e400\n", "drain_grace=1e400;slow_start_span=-92233720368547758;tick=soon;"},
		{"times beyond 64 bits", "tick=1e300\nsafety.cold=Inf\n", "slow_start_span=-92233720368547758;tick=-92233720368547758;"},
		{"fractional, exponential, negative and hexadecimal times", "tick=4099.9\nsafety.cold=1e7\nsafety.tip_after=-250\nsafety.ask_within=0x10p4\nsafety.drain_grace=99\n", "drain_grace=0;overload_span=-2;poll_within=2;slow_start_span=100000;tick=40;"},
		{"lists without a number", "services=3\nservices.count=2\nservices.x.slo=1000\nservices..slo=2000\nservices.0=1\ntiers_of_service.name=x\n", "class=3;class..latency_objective=20;class.count=2;class.x.latency_objective=10;"},
		{"entries beyond the declared length", "services.count=1\nservices.7.slo=1000\n", "class.7.latency_objective=10;class.count=1;"},
		{"deep names", "services.0.slo.more=1\nlimits.peers.more=true\ntiers_of_service.0.depth.x=2\n", ""},
		{"capitals", "TICK=4000\nLimits.Peers=true\n", ""},
	} {
		checkValues(t, c.name, valuesFromText([]byte(c.text)), c.want)
	}
}

// TestJSONForm checks that the JSON form is translated name by name, also with unknown names and unexpected types. Input
// that is neither an object nor null is an error with the text of encoding/json.
func TestJSONForm(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"full", fullJSON, "cancel_attempts=true;class.0.deadline=12000;class.0.idempotency_group=zone;class.0.idempotency_window=30000;class.0.late_share=0.25;class.0.latency_objective=6000;class.0.name=seats;class.0.objective_stretch=1.1;class.0.priority_weight=1.5;class.0.retry_safety=safe;class.0.streaming=3;class.1.name=buy;class.1.retry_safety=unsafe;class.count=2;connect_timeout=10000;drain_grace=50000;endpoint_list=push;estimated_units=true;health_checks=false;hedging=true;idle_timeout=300000;load_report.channel=header;load_report.fields=in_flight,queued,utilization,latency,rate,error_rate;max_attempts=4;max_requests=512;max_retry_after=20000;max_units=6;node=2;nodes=5;overload_multiple=3;overload_span=20000;peer_messages_per_s=60;peers=true;plan.0.burst=40;plan.0.ceiling_burst=80;plan.0.ceiling_rate=25;plan.0.ceiling_slack=1.05;plan.0.max_in_flight=7;plan.0.name=team;plan.0.over_quota_cost=0.75;plan.0.over_quota_share=0.5;plan.0.priority_factor=2;plan.0.rate=12.5;plan.count=1;poll_within=700;response_slack=500;retry_after=true;slow_start_share=0.25;slow_start_span=100000;tick=40;"},
		{"empty", `{}`, ""},
		{"null", `null`, ""},
		{"nulls inside", `{"tick":null,"services":null,"limits":{"peers":null},"slot_no":1}`, "node=1;"},
		{"empty lists", `{"services":[],"tiers_of_service":[],"feedback":{"columns":[]}}`, "class=;load_report.fields=;plan=;"},
		{"lists of words", `{"services":["a","b"],"slot_no":[1,2],"feedback":{"columns":["rif"]}}`, "class=a,b;load_report.fields=in_flight;node=1,2;"},
		{"lists of objects and words", `{"services":["a",{"slo":1000},"b"],"tiers_of_service":[{"depth":1},"x"]}`, "class.1.latency_objective=10;class.count=3;plan.0.burst=1;plan.count=2;"},
		{"lists of nulls", `{"slot_no":[null,1],"services":[null,{"slo":1000}]}`, "class.1.latency_objective=10;class.count=2;node=<nil>,1;"},
		{"lists in lists", `{"slot_no":[[1,2],3]}`, "node=[1 2],3;"},
		{"objects in place of words", `{"slot_no":{"x":1},"registry_mode":{"y":2}}`, ""},
		{"numbers as written", `{"slot_no":1.0,"replicas_of_me":1e2,"tick":4.0e3,"limits":{"max_open":12345678901234567890}}`, "max_requests=12345678901234567890;node=1.0;nodes=1e2;tick=40;"},
		{"numbers as strings", `{"slot_no":"1","tick":"4000","limits":{"peers":"true"}}`, "node=1;peers=true;tick=40;"},
		{"names with dots", `{"limits.peers":true,"services.0.slo":1000,"services.count":4}`, "class.0.latency_objective=10;class.count=4;peers=true;"},
		{"unknown names", `{"some":{"new":{"key":7}},"services":[{"new":1}]}`, "class.count=1;"},
		{"text after the object", `{"slot_no":1} trailing`, "node=1;"},
	} {
		values, err := valuesFromJSON([]byte(c.text))
		if err != nil {
			t.Errorf("valuesFromJSON of case %q failed: %v, want no error", c.name, err)
		}
		checkValues(t, c.name, values, c.want)
	}
	for text, want := range map[string]string{
		`[1]`:     "json: cannot unmarshal array into Go value of type map[string]interface {}",
		``:        "EOF",
		`{"a":`:   "unexpected EOF",
		`"words"`: "json: cannot unmarshal string into Go value of type map[string]interface {}",
	} {
		if values, err := valuesFromJSON([]byte(text)); values != nil || err == nil || err.Error() != want {
			t.Errorf("valuesFromJSON(%q) = %v, %v, want no settings and the error %q", text, values, err, want)
		}
	}
}
