package decision

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cherrygap/internal/settings"
)

// TestNumberSettingForms checks which texts are numbers, durations, switches and lists. Any other text is 0 or off. It
// guards against a change of the parser that gives a setting another value.
func TestNumberSettingForms(t *testing.T) {
	for text, want := range map[string]string{
		"": "0 0 false", "0": "0 0 false", "7": "7 7 false", "-7": "-7 -7 false", "+7": "7 7 false", "2.7": "2.7 2 false",
		"-2.7": "-2.7 -2 false", ".5": "0.5 0 false", "5.": "5 5 false", "1e3": "1000 1000 false", "1E-3": "0.001 0 false",
		"0x10": "0 0 false", "0x1p4": "16 16 false", "1_000": "1000 1000 false", "1,5": "0 0 false", " 4": "0 0 false",
		"4 ": "0 0 false", "4s": "0 0 false", "x": "0 0 false", "true": "0 0 true", "True": "0 0 false", "TRUE": "0 0 false",
		" true": "0 0 false", "1e400": "0 0 false", "-1e400": "0 0 false", "1e-400": "0 0 false",
		"NaN": "NaN -9223372036854775808 false", "Inf": "+Inf -9223372036854775808 false",
		"-inf": "-Inf -9223372036854775808 false", "1e300": "1e+300 -9223372036854775808 false",
	} {
		set := Settings{"a": text}
		if got := fmt.Sprint(set.Number("a"), int64(set.Duration("a")), set.Enabled("a")); got != want {
			t.Errorf("number, duration and switch of the text %q = %s, want %s", text, got, want)
		}
	}
	if got := Settings(nil).Number("a"); got != 0 {
		t.Errorf("Number of a missing setting = %v, want 0", got)
	}
	for text, want := range map[string][]string{"": nil, "a": {"a"}, "a,b": {"a", "b"}, "a,,b,\t": {"a", "", "b", "\t"}} {
		if got := (Settings{"a": text}).List("a"); !slices.Equal(got, want) {
			t.Errorf("list of the text %q = %q, want %q", text, got, want)
		}
	}
	if got := settings.ClassKey(3, settings.ClassIdempotencyWindow); got != "class.3.idempotency_window" {
		t.Errorf("ClassKey(3, ClassIdempotencyWindow) = %q, want \"class.3.idempotency_window\"", got)
	}
}

// engineSettingKeys returns the keys that the engine reads, for some of the classes and plans.
func engineSettingKeys() []string {
	names := []string{
		"node", "nodes", "tick", "connect_timeout", "slow_start_span", "slow_start_share", "peer_messages_per_s", "peers",
		"max_attempts", "cancel_attempts", "retry_after", "max_retry_after", "overload_multiple", "overload_span",
		"idle_timeout", "endpoint_list", "poll_within", "class.count", "plan.count",
	}
	for _, name := range []string{"latency_objective", "idempotency_window", "idempotency_group", "retry_safety"} {
		names = append(names, "class.0."+name, "class.4."+name)
	}
	for _, name := range []string{"rate", "burst", "max_in_flight", "ceiling_rate", "ceiling_burst"} {
		names = append(names, "plan.0."+name, "plan.3."+name)
	}
	return names
}

// oddSettingValues are the values that each setting gets in turn. The value "missing" removes the setting.
var oddSettingValues = []string{"missing", "x7", "-3", "2.7", "NaN", "TRUE", "3000"}

// simulateOddSetting simulates two seconds with one odd setting. It returns the digest of the decisions, or the text of a
// panic.
func simulateOddSetting(base Settings, name, value string) (digest string) {
	defer func() {
		if r := recover(); r != nil {
			digest = fmt.Sprint("panic: ", r)
		}
	}()
	nodeSettings := fleetSettings(base)
	nodeSettings[name] = value
	if value == "missing" {
		delete(nodeSettings, name)
	}
	scenario := fleetScenario{
		nodeSettings: nodeSettings, members: []int{1}, serverCount: 6, zones: 2, serversPerCell: 2, serviceTime: 150, requestsPerStep: 1, customers: 9,
		spread: 3, seconds: 2, firstList: CachedList, resetPercent: 12, restartedServers: 2, silentServers: 1, firstPollFails: true,
	}
	if nodeSettings["nodes"] == "18" {
		scenario.members, scenario.spread = []int{1, 2}, 9
	}
	p := newFleetSimulation(7, scenario)
	if name == "node" {
		for _, engine := range p.nodes {
			engine.configure(parseSettings(nodeSettings))
		}
	}
	return p.run()[1][:8]
}

// TestOddSettingsDecisions compares the decisions under missing, malformed and negative settings with the expected ones. It
// guards against a change of the settings' meaning, or a panic, under settings that no other test has.
func TestOddSettingsDecisions(t *testing.T) {
	for _, base := range []Settings{{}, {"nodes": "18"}} {
		usual := simulateOddSetting(base, "none", "")
		names := engineSettingKeys()
		if len(base) > 0 {
			names = []string{
				"node", "nodes", "idle_timeout", "peer_messages_per_s",
				"plan.3.max_in_flight", "plan.3.ceiling_rate", "plan.3.ceiling_burst",
			}
		}
		for _, name := range names {
			var got []string
			for _, value := range oddSettingValues {
				d := simulateOddSetting(base, name, value)
				if d == usual {
					d = "usual"
				}
				got = append(got, d)
			}
			compareExpected(t, fmt.Sprintf("setting %s, %s nodes", name, fleetSettings(base)["nodes"]), strings.Join(got, " "))
		}
	}
}

// TestQuotaOwnersByFleetSize checks the fleet size from which on customers have quota owners. With a wrong limit, the
// reports of all nodes to all others would exceed the peer rate.
func TestQuotaOwnersByFleetSize(t *testing.T) {
	for _, c := range []struct {
		nodes, rate string
		want        bool
	}{
		{"1", "0", false},
		{"2", "0", true},
		{"10", "40", false},
		{"11", "40", true},
		{"100", "400", false},
		{"101", "400", true},
		{"100", "395", true},
		{"2", "4", true},
		{"2", "4.01", false},
		{"830", "3316", true},
		{"830", "3317", false},
		{"5", "-3", true},
		{"x", "", false},
		{"40", "NaN", false},
	} {
		if engine := New(1, Settings{"nodes": c.nodes, "peer_messages_per_s": c.rate}.parse(), Second); engine.config.usesOwners != c.want {
			t.Errorf("usesOwners with %q nodes and a peer rate of %q messages a second = %v, want %v",
				c.nodes, c.rate, engine.config.usesOwners, c.want)
		}
	}
}
