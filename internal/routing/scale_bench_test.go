package routing_test

import (
	"strconv"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// benchmarkSeed is the seed of the benchmarks' random numbers.
const benchmarkSeed = 1

// benchmarkSizes returns the fleet sizes of BenchmarkScale. Each differs from the base in at most one parameter.
func benchmarkSizes() (out []fleetSize) {
	base := fleetSize{Servers: 2000, Nodes: 830, Spread: 3, Tenants: 1000, Rate: 85, FailedShare: 0.01}
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		s := base
		s.Servers = n
		out = append(out, s)
	}
	for _, n := range []int{4, 50, 300} {
		s := base
		s.Nodes = n
		out = append(out, s)
	}
	for _, n := range []int{100, 10000, 43000} {
		s := base
		s.Tenants = n
		out = append(out, s)
	}
	for _, r := range []float64{170, 340, 680} {
		s := base
		s.Rate = r
		out = append(out, s)
	}
	return out
}

// BenchmarkScale simulates a fleet until b.N requests have arrived. An operation is one request, with all other events that
// happen meanwhile.
func BenchmarkScale(b *testing.B) {
	for _, s := range benchmarkSizes() {
		b.Run(s.String(), func(b *testing.B) {
			sim, f := prepareScaleSimulation(s, benchmarkSeed, 6*time.Second)
			sim.measure()
			from := sim.now
			b.ResetTimer()
			for n := 0; n < b.N; {
				if sim.runEvent() == eventArrival {
					n++
				}
			}
			b.StopTimer()
			sim.figures(f, max(1e-3, (sim.now-from).Seconds()))
			for _, m := range []string{
				"pick p50 us", "pick p99 us", "report p50 us", "change p50 us", "timer mean us", "timer max us",
				"interval max us", "core: calls %", "heap MB", "both ways but suspicions B/s (computed)",
			} {
				b.ReportMetric(f[m], metricUnit(m))
			}
		})
	}
}

// metricUnit returns the name of a figure in the form that ReportMetric accepts: without spaces and colons.
func metricUnit(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == ' ' || r == ':' {
			out[i] = '-'
		}
	}
	return string(out)
}

// BenchmarkList measures the update of a node with a complete list that it already has.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			sim := newScaleSimulation(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchmarkSeed)
			sim.addNode(benchmarkSeed, &protocol.EndpointList{Full: true, Endpoints: sim.endpoints})
			for b.Loop() {
				sim.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: sim.endpoints}, routing.FromDiscovery)
			}
		})
	}
}

// BenchmarkParseList measures the parsing of a complete list in the format of the discovery service.
func BenchmarkParseList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			raw := newScaleSimulation(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchmarkSeed).discoveryList()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if _, err := protocol.ParseEndpointList(raw); err != nil {
					b.Fatalf("ParseEndpointList of %d servers: %v", n, err)
				}
			}
		})
	}
}

// BenchmarkChange measures the update of a node with a change of one server.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			sim := newScaleSimulation(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchmarkSeed)
			sim.addNode(benchmarkSeed, &protocol.EndpointList{Full: true, Endpoints: sim.endpoints})
			change := 0
			for b.Loop() {
				endpoint := sim.endpoints[change/2*31%n]
				if change%2 == 0 {
					endpoint.State = protocol.Terminating
				}
				change++
				sim.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{endpoint}}, routing.FromDiscovery)
			}
		})
	}
}
