package decision

import (
	"math"
	"testing"

	"cherrygap/internal/settings"
)

// settingsCases are settings with a value that newConfig derives from them.
var settingsCases = []struct {
	name string
	set  Settings
	get  func(*config) any
	want any
}{
	{"no nodes", nil, func(c *config) any { return c.nodes }, 1},
	{"nodes below 0", Settings{settings.Nodes: "-3"}, func(c *config) any { return c.nodes }, 1},
	{"a fraction of a node", Settings{settings.Nodes: "3.9"}, func(c *config) any { return c.nodes }, 3},
	{"nodes in words", Settings{settings.Nodes: "three"}, func(c *config) any { return c.nodes }, 1},
	{"nodes that are no number", Settings{settings.Nodes: "NaN"}, func(c *config) any { return c.nodes }, 1},
	{"node below 0", Settings{settings.Node: "-3"}, func(c *config) any { return c.self }, NodeID(-3)},
	{"no attempts", Settings{settings.MaxAttempts: "0"}, func(c *config) any { return c.maxAttempts }, 1},
	{"a fraction of an attempt", Settings{settings.MaxAttempts: "2.9"}, func(c *config) any { return c.maxAttempts }, 2},
	{"a tick below 0", Settings{settings.Tick: "-7.9"}, func(c *config) any { return c.tick }, Time(-7)},
	{"on in capitals", Settings{settings.Peers: "TRUE"}, func(c *config) any { return c.peersEnabled }, false},
	{"on", Settings{settings.Peers: settings.On}, func(c *config) any { return c.peersEnabled }, true},
	{"on by a number", Settings{settings.CancelAttempts: "1"}, func(c *config) any { return c.cancelAllowed }, false},
	{"lists polled", Settings{settings.EndpointList: settings.EndpointListPoll}, func(c *config) any { return c.pollEndpoints }, true},
	{"lists pushed", Settings{settings.EndpointList: settings.EndpointListPush}, func(c *config) any { return c.pollEndpoints }, false},
	{"no classes", nil, func(c *config) any { return len(c.classes) }, 1},
	{"classes below 0", Settings{settings.ClassCount: "-2"}, func(c *config) any { return len(c.classes) }, 1},
	{"no objective", nil, func(c *config) any { return c.shortestObjective }, Time(1)},
	{"an objective below 0", Settings{settings.ClassKey(0, settings.ClassLatencyObjective): "-9"}, func(c *config) any { return c.shortestObjective }, Time(1)},
	{
		"the shortest objective",
		Settings{
			settings.ClassCount: "3", settings.ClassKey(0, settings.ClassLatencyObjective): "9",
			settings.ClassKey(1, settings.ClassLatencyObjective): "7",
			settings.ClassKey(2, settings.ClassLatencyObjective): "8",
		},
		func(c *config) any { return c.shortestObjective }, Time(7),
	},
	{"no retry safety", nil, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
	{"an unknown retry safety", Settings{settings.ClassKey(0, settings.ClassRetrySafety): "always"}, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
	{"safe", Settings{settings.ClassKey(0, settings.ClassRetrySafety): settings.RetrySafe}, func(c *config) any { return c.classes[0].retrySafety }, retrySafe},
	{"keyed", Settings{settings.ClassKey(0, settings.ClassRetrySafety): settings.RetryKeyed}, func(c *config) any { return c.classes[0].retrySafety }, retryKeyed},
	{"unsafe", Settings{settings.ClassKey(0, settings.ClassRetrySafety): settings.RetryUnsafe}, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
	{"an unknown group", Settings{settings.ClassKey(0, settings.ClassIdempotencyGroup): "rack"}, func(c *config) any { return c.classes[0].keyGroup }, groupUnknown},
	{"no group", nil, func(c *config) any { return c.classes[0].keyGroup }, groupUnknown},
	{"all", Settings{settings.ClassKey(0, settings.ClassIdempotencyGroup): settings.GroupAll}, func(c *config) any { return c.classes[0].keyGroup }, groupAll},
	{"zone", Settings{settings.ClassKey(0, settings.ClassIdempotencyGroup): settings.GroupZone}, func(c *config) any { return c.classes[0].keyGroup }, groupZone},
	{"cell", Settings{settings.ClassKey(0, settings.ClassIdempotencyGroup): settings.GroupCell}, func(c *config) any { return c.classes[0].keyGroup }, groupCell},
	{"no plans", nil, func(c *config) any { return c.plans[0] }, quotaPlan{}},
	{
		"a plan",
		Settings{
			settings.PlanKey(0, settings.PlanRate): "1.5", settings.PlanKey(0, settings.PlanBurst): "-2",
			settings.PlanKey(0, settings.PlanMaxInFlight):  "3.9",
			settings.PlanKey(0, settings.PlanCeilingRate):  "x",
			settings.PlanKey(0, settings.PlanCeilingBurst): "1e3",
		},
		func(c *config) any { return c.plans[0] },
		quotaPlan{rate: 1.5, burst: -2, maxInFlight: 3, ceilingBurst: 1000},
	},
	{"an endless span", Settings{settings.OverloadSpan: "Inf"}, func(c *config) any { return c.overloadSpan }, Time(math.MinInt64)},
	{"the owners' timeout", Settings{settings.ClassKey(0, settings.ClassLatencyObjective): "6000"}, func(c *config) any { return c.ownerTimeout }, Time(1200)},
}

// A missing, malformed, fractional or negative setting must not stop a node: newConfig reads each as a defined value.
func TestParseSettings(t *testing.T) {
	for _, c := range settingsCases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.get(parseSettings(c.set)); got != c.want {
				t.Errorf("newConfig(%v) has the value %v, want %v", c.set, got, c.want)
			}
		})
	}
}
