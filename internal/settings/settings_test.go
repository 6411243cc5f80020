package settings

import (
	"maps"
	"testing"
)

// testSettings has settings of each kind in the text form, and an unknown name.
const testSettings = "services.count=1\nservices.0.slo=600000\nservices.0.semantics=idempotent\n" +
	"tiers_of_service.count=1\ntiers_of_service.0.units_per_s=5\ntick=4000\nsome.new.key=7\n"

// TestFromText checks that FromText translates the platform's names, values and units to those of this package, and ignores
// unknown names.
func TestFromText(t *testing.T) {
	values := valuesFromText([]byte(testSettings + "registry_mode=subscribe\nfeedback.columns=rif,busy\nservices.x=1\n"))
	for name, want := range map[string]string{
		ClassKey(0, ClassLatencyObjective): "6000", ClassKey(0, ClassRetrySafety): RetrySafe, ClassCount: "1",
		PlanKey(0, PlanRate): "5", Tick: "40", EndpointList: EndpointListPoll,
		LoadReportFields: LoadInFlight + "," + LoadUtilization,
	} {
		t.Run(name, func(t *testing.T) {
			if values[name] != want {
				t.Errorf("setting %q = %q, want %q", name, values[name], want)
			}
		})
	}
}

// TestBothFormsReadAlike checks that both forms of the platform's configuration give the same settings. Otherwise a node
// would behave differently in the simulator and in production.
func TestBothFormsReadAlike(t *testing.T) {
	nested := `{"services":[{"slo":600000,"semantics":"idempotent"}],"tick":4000,"some":{"new":{"key":7}},
		"tiers_of_service":[{"units_per_s":5}],"feedback":{"columns":["rif","busy"]},"limits":{"peers":true}}`
	got, err := valuesFromJSON([]byte(nested))
	if err != nil {
		t.Fatalf("valuesFromJSON(%s) failed: %v, want no error", nested, err)
	}
	want := valuesFromText([]byte(testSettings + "feedback.columns=rif,busy\nlimits.peers=true\n"))
	if !maps.Equal(got, want) {
		t.Errorf("settings from JSON = %v, want those from text: %v", got, want)
	}
	if _, err := valuesFromJSON([]byte(`[1]`)); err == nil {
		t.Error("valuesFromJSON(\"[1]\") returned no error, want an error for a list")
	}
}
