package operatorfile

import (
	"errors"
	"maps"
	"reflect"
	"strings"
	"testing"

	"cherrygap/internal/settings"
)

// platformSettings are the settings of a platform with two classes and one plan.
var platformSettings = settings.Values{
	settings.ClassCount: "2", settings.ClassKey(0, settings.ClassName): "next-leg",
	settings.ClassKey(1, settings.ClassName):        "stop-update",
	settings.ClassKey(1, settings.ClassRetrySafety): settings.RetryUnsafe, settings.PlanCount: "1",
	settings.PlanKey(0, settings.PlanName): "pro", settings.PlanKey(0, settings.PlanRate): "12",
	settings.MaxAttempts: "4", settings.Peers: settings.On,
}

// Guards against an override that changes a setting that the file does not give, writes the wrong unit, or writes into the
// platform's own settings. The engine's unit of time is 0.1 ms, so 1500.5 ms becomes 15005.
func TestApply(t *testing.T) {
	defaults, base := Default(), settings.Parse(platformSettings)
	if set, err := defaults.Settings.Apply(base); err != nil || !reflect.DeepEqual(set, settings.Parse(platformSettings)) || defaults.Shadow.Enabled {
		t.Fatalf("Apply of the default file = %+v, %v, want %+v and no error; shadow evaluation enabled: %v, want false",
			set, err, settings.Parse(platformSettings), defaults.Shadow.Enabled)
	}
	f, errs := Parse("[settings]\nexecutions = 3\npeers = false\ncold_ms = 1500.5\n[[settings.band]]\nname = \"stop-update\"\n" +
		"repeats = \"referenced\"\ngroup = \"cell\"\nwindow_ms = 3000\n[[settings.plan]]\nname = \"pro\"\nopen = 2\n" +
		"ceiling_rate = 25.5\n[watch]\non = true\n[watch.settings]\nadvice = true\n")
	if len(errs) > 0 {
		t.Fatalf("Parse of the overrides: errors %v, want none", errs)
	}
	want := maps.Clone(platformSettings)
	maps.Copy(want, settings.Values{
		settings.MaxAttempts: "3", settings.Peers: "false", settings.SlowStartSpan: "15005",
		settings.ClassKey(1, settings.ClassRetrySafety):       settings.RetryKeyed,
		settings.ClassKey(1, settings.ClassIdempotencyGroup):  settings.GroupCell,
		settings.ClassKey(1, settings.ClassIdempotencyWindow): "30000",
		settings.PlanKey(0, settings.PlanMaxInFlight):         "2",
		settings.PlanKey(0, settings.PlanCeilingRate):         "25.5",
	})
	if set, err := f.Settings.Apply(base); err != nil || !reflect.DeepEqual(set, settings.Parse(want)) || !f.Shadow.Enabled {
		t.Errorf("Apply of the overrides = %+v, %v, want %+v and no error; shadow evaluation enabled: %v, want true",
			set, err, settings.Parse(want), f.Shadow.Enabled)
	}
	if !reflect.DeepEqual(base, settings.Parse(platformSettings)) {
		t.Errorf("Apply changed the platform's settings to %+v, want %+v as before", base, settings.Parse(platformSettings))
	}
}

// Guards against errors from which an operator can't tell how to correct the file. The error of an invalid value names the key
// and the valid values. The error of an unknown class or plan names the known ones.
func TestErrorsNameValidValues(t *testing.T) {
	for text, want := range map[string]string{
		"[settings]\nexecutions = 0\n":                                            "line 2: settings.executions: 0 is out of range 1 to 100",
		"[watch.settings]\ncold_from = 1.5\n":                                     "line 2: watch.settings.cold_from: 1.5 is out of range",
		"[settings]\nexecution = 3\n":                                             "line 2: settings.execution: no such key",
		"[[settings.band]]\nname = \"a\"\ngroup = \"hall\"\n":                     "settings.band.0.group: \"hall\" is none of all, zone, cell",
		"[[settings.band]]\nname = \"a\"\nrepeats = \"twice\"\n":                  "is none of replayable, referenced, single-use",
		"[[settings.plan]]\nrate = 1.0\n":                                         "settings.plan.0.name: is empty",
		"[[settings.plan]]\nname = \"a\"\n[[settings.plan]]\nname = \"a\"\n":      "settings.plan.1.name: \"a\" is given twice",
		"[[settings.plan]]\nname = \"a\"\nceiling_rate = -1.0\n":                  "settings.plan.0.ceiling_rate: -1 is out of range",
		"[[settings.plan]]\nname = \"a\"\nrate = nan\n":                           "settings.plan.0.rate: NaN is out of range",
		"[[watch.settings.band]]\nname = \"a\"\nwindow_ms = 1e9\n":                "watch.settings.band.0.window_ms",
		"[[watch.settings.band]]\nname = \"a\"\n[[watch.settings.plan]]\nx = 1\n": "no such key",
	} {
		t.Run(text, func(t *testing.T) {
			_, errs := Parse(text)
			if got := describeErrors(errs); !strings.Contains(got, want) {
				t.Errorf("Parse(%q): errors %q, want them to contain %q", text, got, want)
			}
		})
	}
	s := SettingsOverride{Classes: []ClassOverride{{Name: "dock"}, {Name: "stop-update"}}, Plans: []PlanOverride{{Name: "gold"}}}
	word := "all"
	s.Classes[0].Group = &word
	var unknown *UnknownNameError
	if set, err := s.Apply(settings.Parse(platformSettings)); set != nil || !errors.As(err, &unknown) || !strings.Contains(err.Error(), "next-leg, stop-update") {
		t.Errorf("Apply with the unknown class \"dock\" = %v, %v, want nil and an UnknownNameError that lists %q",
			set, err, "next-leg, stop-update")
	}
}
