package model

import (
	"bytes"
	"errors"
	"io"
	"math"
	"testing"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
)

// testConfig returns the configuration of a small fleet with a schedule of faults.
func testConfig(t *testing.T, policy Policy, schedule string) Config {
	t.Helper()
	defaults := operatorfile.Default().Lab
	server, traffic := defaults.Emulator, defaults.Load
	server.Servers = 8
	faults, err := emulator.ParseSchedule(schedule, server.Servers)
	if err != nil {
		t.Fatal(err)
	}
	traffic.Rate, traffic.Spread = 800, 2
	return Config{Nodes: 6, Seconds: 20, Policy: policy, Seed: 5, Traffic: traffic, Server: server, Schedule: faults}
}

// newSim returns a run of a valid configuration.
func newSim(t *testing.T, cfg Config, series io.Writer) *Sim {
	t.Helper()
	s, err := New(cfg, NewRecorder(series))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Two runs of the same configuration and seed write the same series, byte for byte.
func TestSameSeedSameRun(t *testing.T) {
	var a, b bytes.Buffer
	for _, series := range []*bytes.Buffer{&a, &b} {
		newSim(t, testConfig(t, Module, testFaults), series).Run()
	}
	if a.Len() == 0 || !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Fatalf("two runs of one seed differ (%d and %d bytes)", a.Len(), b.Len())
	}
}

// testFaults is a schedule with a restart, resets, lost responses and slow servers.
const testFaults = `
[[fault]]
kind = "restart"
server = 1
at_s = 4
for_s = 3
[[fault]]
kind = "reset"
server = 2
at_s = 2
for_s = 10
p = 0.3
[[fault]]
kind = "lose"
server = 3
at_s = 5
for_s = 5
p = 0.5
[[fault]]
kind = "slow"
server = -1
at_s = 10
for_s = 4
x = 8
`

// Under testFaults every request gets a response and no unsafe request is executed twice, with each policy.
func TestFaultsLeaveNoRequestOpenAndNoSecondExecution(t *testing.T) {
	for _, policy := range []Policy{Module, RoundRobin, LeastBusy} {
		t.Run(string(policy), func(t *testing.T) {
			totals := newSim(t, testConfig(t, policy, testFaults), nil).Run()
			if totals.Twice != 0 || totals.Unanswered != 0 || totals.Requests < 10000 {
				t.Errorf("%+v", totals)
			}
			if totals.Outcomes["broken"] == 0 && policy != Module {
				t.Errorf("no request failed: %+v", totals.Outcomes)
			}
		})
	}
}

func TestBadConfigIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		text   string
	}{
		{"policy", func(c *Config) { c.Policy = "fastest" }, `model: policy "fastest" is none of module, round-robin, late`},
		{"nodes", func(c *Config) { c.Nodes = 0 }, "model: nodes, servers and seconds must be above 0"},
		{"servers", func(c *Config) { c.Server.Servers = 0 }, "model: nodes, servers and seconds must be above 0"},
		{"seconds", func(c *Config) { c.Seconds = math.NaN() }, "model: nodes, servers and seconds must be above 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig(t, Module, "")
			c.change(&cfg)
			_, err := New(cfg, NewRecorder(nil))
			var bad *ConfigError
			if !errors.As(err, &bad) {
				t.Fatalf("not a *ConfigError: %v", err)
			}
			if bad.Error() != c.text {
				t.Errorf("the error is %q", bad)
			}
		})
	}
}

// BenchmarkFleet300 measures the model's speed: 300 nodes and 200 servers with the engine, ten virtual seconds at 20,000
// requests/s. It reports virtual seconds per real second.
func BenchmarkFleet300(b *testing.B) {
	defaults := operatorfile.Default().Lab
	server, traffic := defaults.Emulator, defaults.Load
	server.Servers = 200
	traffic.Rate, traffic.Customers, traffic.Spread = 20000, 20000, 3
	for range b.N {
		s, err := New(Config{Nodes: 300, Seconds: 10, Policy: Module, Seed: 1, Traffic: traffic, Server: server}, NewRecorder(nil))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(s.Run().VirtualPerSecond, "virtual-s/s")
	}
}

// The engine sends no attempt to a draining server later than 500 ms after the notice of the drain (rule 3 of the
// platform). RoundRobin ignores the notice, which shows that the check can fail.
func TestNothingNewToADrainedServer(t *testing.T) {
	const drains = `
[[fault]]
kind = "drain"
server = 3
at_s = 5
for_s = 1
[[fault]]
kind = "drain"
server = 4
at_s = 8
for_s = 1
`
	for _, policy := range []Policy{Module, RoundRobin} {
		t.Run(string(policy), func(t *testing.T) {
			totals := newSim(t, testConfig(t, policy, drains), nil).Run()
			if late := totals.LateToDrained; (policy == Module) != (late == 0) || totals.Unanswered != 0 {
				t.Errorf("%d attempts late to drained servers, %d unanswered", late, totals.Unanswered)
			}
		})
	}
}
