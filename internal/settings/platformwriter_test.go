package settings

import (
	"reflect"
	"testing"
	"time"
)

// fullSettings returns settings with a text in every field.
func fullSettings() *Settings {
	return &Settings{
		Node: IntNumber(2), Nodes: IntNumber(9), Tick: Units(20), EndpointList: EndpointListPush, PollWithin: Milliseconds(2000),
		LoadReportFields: []string{LoadInFlight, "", LoadErrorRate}, LoadReportChannel: "headers",
		MaxAttempts: IntNumber(4), Hedging: true, CancelAttempts: true, HealthChecks: true, Peers: true, PeerRate: IntNumber(40),
		RetryAfter: true, MaxRetryAfter: Milliseconds(2000), MaxRequests: IntNumber(500), IdleTimeout: Milliseconds(15000),
		ConnectTimeout: Milliseconds(250), SlowStartSpan: Milliseconds(8000), SlowStartShare: FloatNumber(0.25),
		OverloadMultiple: IntNumber(3), OverloadSpan: Milliseconds(2000), DrainGrace: Milliseconds(500),
		ResponseSlack: Milliseconds(50), EstimatedUnits: true, MaxUnits: IntNumber(100),
		Classes: NewList(
			Class{
				Named: true, Name: "find", RetrySafety: RetrySafe, LatencyObjective: Milliseconds(400), Deadline: Milliseconds(800),
				IdempotencyGroup: GroupAll, IdempotencyWindow: Milliseconds(1000), PriorityWeight: IntNumber(1),
				LateShare: FloatNumber(0.5), Streaming: true, ObjectiveStretch: FloatNumber(1.5),
			},
			parseClass(Values{ClassKey(1, ClassName): "7", ClassKey(1, ClassRetrySafety): RetryUnsafe}, 1),
		),
		Plans: NewList(Plan{
			Name: "team", Rate: FloatNumber(1e6), Burst: FloatNumber(2.5), MaxInFlight: IntNumber(4), PriorityFactor: IntNumber(2),
			OverQuotaShare: FloatNumber(0.1), OverQuotaCost: IntNumber(0), CeilingRate: IntNumber(15), CeilingBurst: IntNumber(40),
			CeilingSlack: IntNumber(0),
		}),
	}
}

// TestPlatformJSONRoundTrip checks that settings that PlatformJSON writes and FromJSON reads back are unchanged in every
// field. A field that the writer omits would be 0 or off in a node that internal/lab configures.
func TestPlatformJSONRoundTrip(t *testing.T) {
	for name, settings := range map[string]*Settings{"full": fullSettings(), "empty": Parse(Values{ClassCount: "0", PlanCount: "0"})} {
		got, err := FromJSON(PlatformJSON(settings))
		if err != nil {
			t.Fatalf("%s settings: FromJSON of PlatformJSON's result failed: %v, want no error", name, err)
		}
		if name == "empty" { // The JSON form of a list without objects has no declared length.
			got.Classes.Count, got.Plans.Count = IntNumber(0), IntNumber(0)
		}
		if !reflect.DeepEqual(got, settings) {
			t.Errorf("%s settings after PlatformJSON and FromJSON:\ngot  %+v\nwant %+v", name, got, settings)
		}
	}
	full := reflect.ValueOf(*fullSettings())
	for i := range full.NumField() {
		if full.Field(i).IsZero() {
			t.Errorf("fullSettings leaves the field %s unset, want every field set", full.Type().Field(i).Name)
		}
	}
}

// TestPlatformJSONFormat checks that PlatformJSON writes the platform's names, and times in microseconds. A round trip
// alone would not detect a wrong name that the reader has as well.
func TestPlatformJSONFormat(t *testing.T) {
	settings := &Settings{
		Node: IntNumber(3), Tick: Units(20), EndpointList: EndpointListPush, RetryAfter: true, SlowStartShare: FloatNumber(0.25),
		Classes: NewList(Class{Named: true, Name: "find", RetrySafety: RetryKeyed, LatencyObjective: Milliseconds(400)}),
		Plans:   NewList(Plan{Name: "team", Rate: FloatNumber(1e6), CeilingSlack: IntNumber(0)}),
	}
	const want = `{"limits":{"retry_after":true},"registry_mode":"automatic","safety":{"cold_from":0.25},` +
		`"services":[{"name":"find","semantics":"deduplicated","slo":400000}],"slot_no":3,"tick":2000,` +
		`"tiers_of_service":[{"cap_slack":0,"name":"team","units_per_s":1000000}]}`
	if got := string(PlatformJSON(settings)); got != want {
		t.Errorf("PlatformJSON wrote\n%s, want\n%s", got, want)
	}
}

// TestEveryTranslationIsInvertible checks that every name of the platform that FromJSON reads is written by PlatformJSON
// too, and no translation changes a number into another text. A name that is added only to the reader would be missing from the settings of
// nodes in internal/lab.
func TestEveryTranslationIsInvertible(t *testing.T) {
	written := map[string]bool{}
	for list := range listPrefixes {
		for _, name := range invertTranslations(list) {
			written[list+"."+name.path[0]] = true
		}
		written[list] = true
	}
	for _, name := range platformNames {
		key := name.path[0]
		if len(name.path) > 1 {
			key += "." + name.path[1]
		}
		written[key] = true
	}
	for name, setting := range translations {
		if !written[name] {
			t.Errorf("PlatformJSON does not write the name %q, want every name in translations written", name)
		}
		for _, text := range []string{"7", "0"} {
			if back := setting.form.parse(setting.form.format(text)); setting.key != EndpointList && back != text && back != "" {
				t.Errorf("setting %q: text %q is read back as %q, want %q or an empty text", name, text, back, text)
			}
		}
	}
}

// TestDurationOf checks that DurationOf rounds towards 0 to whole time units.
func TestDurationOf(t *testing.T) {
	for d, want := range map[time.Duration]string{250 * time.Millisecond: "2500", 199 * time.Microsecond: "1", -time.Second: "-10000"} {
		if got := DurationOf(d).String(); got != want {
			t.Errorf("DurationOf(%v) = %s time units, want %s", d, got, want)
		}
	}
}
