package routing_test

import (
	"strconv"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// benchSeed is the benchmarks' seed.
const benchSeed = 1

// benchScales are the sizes of the benchmarks, one matter changed at a time.
func benchScales() (out []fleetSize) {
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

// BenchmarkScale plays until b.N requests came; one op is one request with all that goes on beside it.
func BenchmarkScale(b *testing.B) {
	for _, s := range benchScales() {
		b.Run(s.String(), func(b *testing.B) {
			w, f := prepareScaleWorld(s, benchSeed, 6*time.Second)
			w.measure()
			from := w.now
			b.ResetTimer()
			for n := 0; n < b.N; {
				if w.playEvent() == eventArrival {
					n++
				}
			}
			b.StopTimer()
			w.figures(f, max(1e-3, (w.now-from).Seconds()))
			for _, m := range []string{
				"pick p50 us", "pick p99 us", "report p50 us", "change p50 us", "timer mean us", "timer max us",
				"interval max us", "core: calls %", "heap MB", "both ways but suspicions B/s (computed)",
			} {
				b.ReportMetric(f[m], metricUnit(m))
			}
		})
	}
}

// metricUnit is a figure's name as ReportMetric wants it: without spaces.
func metricUnit(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == ' ' || r == ':' {
			out[i] = '-'
		}
	}
	return string(out)
}

// BenchmarkList sends a node the whole list again.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			w := newScaleWorld(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchSeed)
			w.addNode(benchSeed, &protocol.EndpointList{Full: true, Endpoints: w.endpoints})
			for b.Loop() {
				w.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: w.endpoints}, routing.FromDiscovery)
			}
		})
	}
}

// BenchmarkParseList reads the whole list as discovery writes it.
func BenchmarkParseList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			raw := newScaleWorld(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchSeed).discoveryList()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if _, err := protocol.ParseEndpointList(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange sends a node one server's change.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			w := newScaleWorld(fleetSize{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, FailedShare: 0.01}, benchSeed)
			w.addNode(benchSeed, &protocol.EndpointList{Full: true, Endpoints: w.endpoints})
			k := 0
			for b.Loop() {
				t := w.endpoints[k/2*31%n]
				if k%2 == 0 {
					t.State = protocol.Terminating
				}
				k++
				w.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{t}}, routing.FromDiscovery)
			}
		})
	}
}
