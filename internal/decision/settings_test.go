package decision

import (
	"math"
	"testing"
)

// What is missing, malformed, odd or negative reads as it always did: nothing is refused.
func TestParseSettings(t *testing.T) {
	for _, c := range []struct {
		name string
		set  Settings
		get  func(*config) any
		want any
	}{
		{"no nodes", nil, func(c *config) any { return c.nodes }, 1},
		{"nodes below 0", Settings{"nodes": "-3"}, func(c *config) any { return c.nodes }, 1},
		{"a part of a node", Settings{"nodes": "3.9"}, func(c *config) any { return c.nodes }, 3},
		{"nodes in words", Settings{"nodes": "three"}, func(c *config) any { return c.nodes }, 1},
		{"nodes that are no number", Settings{"nodes": "NaN"}, func(c *config) any { return c.nodes }, 1},
		{"node below 0", Settings{"node": "-3"}, func(c *config) any { return c.self }, NodeID(-3)},
		{"no attempts", Settings{"executions": "0"}, func(c *config) any { return c.maxAttempts }, 1},
		{"a part of an attempt", Settings{"executions": "2.9"}, func(c *config) any { return c.maxAttempts }, 2},
		{"a tick below 0", Settings{"tick": "-7.9"}, func(c *config) any { return c.tick }, Time(-7)},
		{"on in capitals", Settings{"peers": "TRUE"}, func(c *config) any { return c.peers }, false},
		{"on", Settings{"peers": "true"}, func(c *config) any { return c.peers }, true},
		{"on by a number", Settings{"withdraw": "1"}, func(c *config) any { return c.cancel }, false},
		{"lists asked for", Settings{"roster": "ask"}, func(c *config) any { return c.pollEndpoints }, true},
		{"lists pushed", Settings{"roster": "push"}, func(c *config) any { return c.pollEndpoints }, false},
		{"no classes", nil, func(c *config) any { return len(c.classes) }, 1},
		{"classes below 0", Settings{"band.count": "-2"}, func(c *config) any { return len(c.classes) }, 1},
		{"no objective", nil, func(c *config) any { return c.shortestObjective }, Time(1)},
		{"an objective below 0", Settings{"band.0.contract": "-9"}, func(c *config) any { return c.shortestObjective }, Time(1)},
		{
			"the shortest objective",
			Settings{"band.count": "3", "band.0.contract": "9", "band.1.contract": "7", "band.2.contract": "8"},
			func(c *config) any { return c.shortestObjective }, Time(7),
		},
		{"no retry safety", nil, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
		{"an unknown retry safety", Settings{"band.0.repeats": "always"}, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
		{"safe", Settings{"band.0.repeats": "replayable"}, func(c *config) any { return c.classes[0].retrySafety }, retrySafe},
		{"keyed", Settings{"band.0.repeats": "referenced"}, func(c *config) any { return c.classes[0].retrySafety }, retryKeyed},
		{"unsafe", Settings{"band.0.repeats": "single-use"}, func(c *config) any { return c.classes[0].retrySafety }, retryNever},
		{"an unknown group", Settings{"band.0.group": "rack"}, func(c *config) any { return c.classes[0].keyGroup }, groupOther},
		{"no group", nil, func(c *config) any { return c.classes[0].keyGroup }, groupOther},
		{"all", Settings{"band.0.group": "all"}, func(c *config) any { return c.classes[0].keyGroup }, groupAll},
		{"zone", Settings{"band.0.group": "zone"}, func(c *config) any { return c.classes[0].keyGroup }, groupZone},
		{"cell", Settings{"band.0.group": "cell"}, func(c *config) any { return c.classes[0].keyGroup }, groupCell},
		{"no plans", nil, func(c *config) any { return c.plans[0] }, quotaPlan{}},
		{
			"a plan",
			Settings{
				"plan.0.rate": "1.5", "plan.0.depth": "-2", "plan.0.open": "3.9", "plan.0.ceiling.rate": "x", "plan.0.ceiling.depth": "1e3",
			},
			func(c *config) any { return c.plans[0] },
			quotaPlan{rate: 1.5, burst: -2, maxInFlight: 3, ceilingBurst: 1000},
		},
		{"an endless span", Settings{"fall.span": "Inf"}, func(c *config) any { return c.recoverySpan }, Time(math.MinInt64)},
		{"the owners' timeout", Settings{"band.0.contract": "6000"}, func(c *config) any { return c.ownerTimeout }, Time(1200)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.get(parseSettings(c.set)); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}
