package scale

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestInvalidConfig guards against runs with values out of range, and against errors that don't name the flag. The default
// configuration with a program is valid.
func TestInvalidConfig(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"no program":   func(c *Config) { c.Program = "" },
		`fault "rain"`: func(c *Config) { c.Faults = []string{"rain"} },
		"real:":        func(c *Config) { c.Real = 0 },
		"nodes:":       func(c *Config) { c.Simulated = 900 },
		"servers:":     func(c *Config) { c.Servers = 0 },
		"tenants:":     func(c *Config) { c.Tenants = 0 },
		"rate: 0":      func(c *Config) { c.Rate = 0 },
		"for:":         func(c *Config) { c.Duration = 0 },
		"sockets: 3 ":  func(c *Config) { c.Sockets = 3 },

		"simulated-rate: NaN": func(c *Config) { c.SimulatedRate = math.NaN() },
		"direct: 1.5":         func(c *Config) { c.DirectShare = 1.5 },
		"memory-mb: 15":       func(c *Config) { c.MemoryMB = 15 },
	} {
		c := Default()
		c.Program = "cherrygap"
		invalidate(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Check() of an invalid configuration = %v, want an error with %q", err, want)
		}
	}
	c := Default()
	c.Program = "cherrygap"
	if err := c.Check(); err != nil || c.Simulated != 827 || c.TimeLimit <= c.Duration {
		t.Errorf("Check() of the default configuration = %v with Simulated %d, TimeLimit %v; want nil, 827, TimeLimit above %v",
			err, c.Simulated, c.TimeLimit, c.Duration)
	}
}

// TestTenantsSendToTheirNodes guards against requests at nodes that don't belong to the tenant, which a node would route by
// other rules. It also guards against processes of a run that disagree: a node's population must not depend on which other
// populations are wanted.
func TestTenantsSendToTheirNodes(t *testing.T) {
	for _, c := range []Config{
		{Nodes: 830, Real: 3, Simulated: 827, Tenants: 43000, Rate: 85, Seed: 7},
		{Nodes: 830, Real: 2, Simulated: 10, Tenants: 300, Rate: 85, Seed: 7},
		{Nodes: 5, Real: 2, Simulated: 3, Tenants: 2, Rate: 85, Seed: 7},
	} {
		all := assignTenants(c, func(int) bool { return true })
		some := assignTenants(c, func(n int) bool { return n == 1 })
		live := c.Real + c.Simulated
		if len(all) != live {
			t.Fatalf("assignTenants of %d tenants returned %d populations, want %d", c.Tenants, len(all), live)
		}
		if !slices.Equal(all[1].tenants, some[1].tenants) || !slices.Equal(all[1].cumulative, some[1].cumulative) {
			t.Fatalf("with only node 1 wanted, node 1 has the tenants %v with the cumulative shares %v; want %v with %v, as with all nodes wanted",
				some[1].tenants, some[1].cumulative, all[1].tenants, all[1].cumulative)
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for n := range all {
			for range 20 {
				drawn := all[n].draw(rng)
				if offset := (n - drawn.firstNode + c.Nodes) % c.Nodes; offset >= drawn.spread || drawn.firstNode >= live || drawn.spread > live ||
					live < c.Nodes && drawn.firstNode+drawn.spread > live {
					t.Fatalf("node %d of %d nodes, of which the first %d are live, drew tenant %+v; want a tenant that sends to this node and to live nodes only",
						n, c.Nodes, live, drawn)
				}
			}
		}
	}
}
