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
		t.Fatalf("ParseSchedule: %v", err)
	}
	traffic.Rate, traffic.Spread = 800, 2
	return Config{Nodes: 6, Seconds: 20, Policy: policy, Seed: 5, Traffic: traffic, Server: server, Schedule: faults}
}

// newSimulation returns a simulation of a valid configuration, which writes its series to the given writer.
func newSimulation(t *testing.T, cfg Config, series io.Writer) *Simulation {
	t.Helper()
	s, err := New(cfg, NewRecorder(series))
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return s
}

// Two runs of the same configuration and seed write the same series, byte for byte. A draw from an unseeded source, or an
// iteration over a map, would make them differ.
func TestSameSeedSameRun(t *testing.T) {
	var first, second bytes.Buffer
	for _, series := range []*bytes.Buffer{&first, &second} {
		newSimulation(t, testConfig(t, DecisionEngine, faultSchedule), series).Run()
	}
	if first.Len() == 0 || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatalf("two runs of the same seed wrote series of %d and %d bytes, with equal bytes: %v; want equal series that are not empty",
			first.Len(), second.Len(), bytes.Equal(first.Bytes(), second.Bytes()))
	}
}

// faultSchedule is a schedule with a restart, resets, lost responses and slow servers.
const faultSchedule = `
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

// Under faultSchedule every request ends for its client and no unsafe request is executed twice, with each policy. Restarts and
// lost responses can leave a request without an end, and a retry after them can execute a request twice.
func TestFaultsLeaveNoRequestOpenAndNoSecondExecution(t *testing.T) {
	for _, policy := range []Policy{DecisionEngine, RoundRobin, LeastBusy} {
		t.Run(string(policy), func(t *testing.T) {
			totals := newSimulation(t, testConfig(t, policy, faultSchedule), nil).Run()
			if totals.ExecutedTwice != 0 || totals.Unanswered != 0 || totals.Requests < 10000 {
				t.Errorf("%d requests were executed twice and %d are unanswered, of %d requests; want 0 and 0, of at least 10000",
					totals.ExecutedTwice, totals.Unanswered, totals.Requests)
			}
			if totals.Outcomes["broken"] == 0 && policy != DecisionEngine {
				t.Errorf("the outcomes are %+v, want failed requests (broken) with a baseline policy", totals.Outcomes)
			}
		})
	}
}

// New rejects an invalid configuration with a *ConfigError that names the setting. Without the check, a run would
// panic, never end, or use another policy than the given one.
func TestBadConfigIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		text   string
	}{
		{"policy", func(c *Config) { c.Policy = "fastest" }, `model: policy "fastest" is none of module, round-robin, late`},
		{"nodes", func(c *Config) { c.Nodes = 0 }, "model: nodes 0, servers 8 and seconds 20 must be above 0"},
		{"servers", func(c *Config) { c.Server.Servers = 0 }, "model: nodes 6, servers 0 and seconds 20 must be above 0"},
		{"seconds", func(c *Config) { c.Seconds = math.NaN() }, "model: nodes 6, servers 8 and seconds NaN must be above 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig(t, DecisionEngine, "")
			c.change(&cfg)
			_, err := New(cfg, NewRecorder(nil))
			var configErr *ConfigError
			if !errors.As(err, &configErr) {
				t.Fatalf("New returned the error %v, want a *ConfigError", err)
			}
			if configErr.Error() != c.text {
				t.Errorf("New returned the error %q, want %q", configErr, c.text)
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
		s, err := New(Config{Nodes: 300, Seconds: 10, Policy: DecisionEngine, Seed: 1, Traffic: traffic, Server: server}, NewRecorder(nil))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(s.Run().VirtualPerSecond, "virtual-s/s")
	}
}

// The engine sends no attempt to a draining server later than 500 ms after the notice of the drain (rule 3 of the
// platform). RoundRobin gets no notice, which shows that the check can fail.
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
	for _, policy := range []Policy{DecisionEngine, RoundRobin} {
		t.Run(string(policy), func(t *testing.T) {
			totals := newSimulation(t, testConfig(t, policy, drains), nil).Run()
			if late := totals.AttemptsAfterDrain; (policy == DecisionEngine) != (late == 0) || totals.Unanswered != 0 {
				t.Errorf("%d attempts were sent over 500 ms after the notice of a drain, and %d requests are unanswered; want 0 (above 0 with %s) and 0",
					late, totals.Unanswered, RoundRobin)
			}
		})
	}
}
