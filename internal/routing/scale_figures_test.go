package routing_test

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// figures are the results of one simulation run, by name.
type figures map[string]float64

// timings holds the times of calls and the counts of the measured part of a run.
type timings struct {
	samples                      map[string][]float64 // CPU times in ns, by operation; "pick by the clock" has wall-clock times
	callTime                     time.Duration        // CPU time of all calls
	addedLatency                 []float64            // latency in ns that the node's calls added, by request
	requests, admitted, rejected int
	completed, failed            int            // completed attempts, and those with any other outcome
	sent, sentBytes              [kindCount]int // peer messages by kind
	sentToAll, sentToAllBytes    [kindCount]int // part of sent that goes to all other nodes
	received, receivedBytes      [kindCount]int // peer messages that simulated nodes received, by kind
}

// add adds a time to the samples of an operation.
func (t *timings) add(op string, d time.Duration) { t.samples[op] = append(t.samples[op], float64(d)) }

// measure starts the measured part of the run.
func (sim *scaleSimulation) measure() { sim.timings = &timings{samples: map[string][]float64{}} }

// heapBytes returns the size of the live objects on the heap in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// threadCPUTime returns the CPU time of the current thread.
func threadCPUTime() time.Duration {
	const clock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic(fmt.Errorf("clock_gettime of the thread's CPU time: %w", errno))
	}
	return time.Duration(t.Nano())
}

// processCPUSeconds returns the CPU time of the process in seconds, or 0 if it cannot be read.
func processCPUSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// prepareScaleSimulation returns a simulation whose nodes know all tenants and have adapted their limits. It also returns
// the figures of the preparation, in which the nodes run for the virtual time warm.
func prepareScaleSimulation(s fleetSize, seed uint64, warm time.Duration) (sim *scaleSimulation, f figures) {
	sim, f = newScaleSimulation(s, seed), figures{}
	raw := sim.discoveryList()
	f["list KB"] = float64(len(raw)) / 1e3
	before := heapBytes()
	for range simulatedNodes {
		start := threadCPUTime()
		list, err := protocol.ParseEndpointList(raw)
		if err != nil {
			panic(err)
		}
		f["list: parse ms"] += milliseconds(float64(threadCPUTime()-start)) / simulatedNodes
		f["list: first ms"] += milliseconds(float64(sim.addNode(seed, &list))) / simulatedNodes
	}
	sim.sendRequestOfEachTenant()
	sim.start()
	sim.runFor(warm)
	f["heap MB"] = (heapBytes() - before) / simulatedNodes / 1e6
	return sim, f
}

// runScale simulates one fleet and returns its figures. After the preparation it measures the virtual time span, a burst of
// changeBurstSize changes, and an update with the complete list.
func runScale(s fleetSize, seed uint64, warm, span time.Duration) figures {
	sim, f := prepareScaleSimulation(s, seed, warm)
	sim.measure()
	cpu, from := processCPUSeconds(), sim.now
	sim.runFor(span)
	f["core: process %"] = 100 * (processCPUSeconds() - cpu) / (sim.now - from).Seconds() / simulatedNodes
	sim.figures(f, (sim.now - from).Seconds())
	sim.timings = nil
	changeTime, listTime := 0.0, 0.0
	for _, n := range sim.nodes {
		for k := range changeBurstSize {
			e := sim.endpoints[(k/2*31+1)%sim.Servers]
			if k%2 == 0 {
				e.State = protocol.Terminating
			}
			list := &protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}
			changeTime += float64(n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) }))
		}
	}
	f["100 changes ms"] = milliseconds(changeTime / simulatedNodes)
	for _, n := range sim.nodes {
		list := &protocol.EndpointList{Full: true, Endpoints: slices.Clone(sim.endpoints)}
		listTime += float64(n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) }))
	}
	f["list: again ms"] = milliseconds(listTime / simulatedNodes)
	return f
}

// microseconds converts nanoseconds to microseconds.
func microseconds(ns float64) float64 { return ns / 1e3 }

// milliseconds converts nanoseconds to milliseconds.
func milliseconds(ns float64) float64 { return ns / 1e6 }

// quantile returns the q-quantile of sorted samples by the nearest rank, or 0 without samples.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(q*float64(len(sorted))))-1))]
}

// mean returns the mean of the samples, or 0 without samples.
func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / max(1, float64(len(v)))
}

// figures adds the summary of the measured part, which took the given virtual seconds.
func (sim *scaleSimulation) figures(f figures, seconds float64) {
	s := sim.timings
	for _, v := range s.samples {
		slices.Sort(v)
	}
	slices.Sort(s.addedLatency)
	for _, op := range []string{"pick", "pick by the clock", "report"} {
		f[op+" p50 us"], f[op+" p99 us"] = microseconds(quantile(s.samples[op], 0.5)), microseconds(quantile(s.samples[op], 0.99))
	}
	f["retry p50 us"], f["receive p50 us"] = microseconds(quantile(s.samples["retry"], 0.5)), microseconds(quantile(s.samples["receive"], 0.5))
	f["change p50 us"], f["change max us"] = microseconds(quantile(s.samples["change"], 0.5)), microseconds(quantile(s.samples["change"], 1))
	f["timer mean us"], f["timer max us"] = microseconds(mean(s.samples["timer"])), microseconds(quantile(s.samples["timer"], 1))
	f["timers /s"] = float64(len(s.samples["timer"])) / seconds / simulatedNodes
	f["interval mean us"], f["interval max us"] = microseconds(mean(s.samples["interval"])), microseconds(quantile(s.samples["interval"], 1))
	f["added p50 us"], f["added p99 us"] = microseconds(quantile(s.addedLatency, 0.5)), microseconds(quantile(s.addedLatency, 0.99))
	f["added max us"] = microseconds(quantile(s.addedLatency, 1))
	f["core: calls %"] = 100 * s.callTime.Seconds() / seconds / simulatedNodes
	f["requests /s"] = float64(s.requests) / seconds / simulatedNodes
	f["admitted %"] = 100 * float64(s.admitted) / max(1, float64(s.requests))
	sent, received, bothWaysBytes := 0.0, 0.0, 0.0
	for k, name := range kindNames {
		perNodeSecond := func(v [kindCount]int) float64 { return float64(v[k]) / seconds / simulatedNodes }
		f["sent "+name+" /s"], f["sent "+name+" B/s"] = perNodeSecond(s.sent), perNodeSecond(s.sentBytes)
		// A message to one node reaches a simulated node. Messages to all nodes come from all other nodes of the fleet.
		receivedRate := perNodeSecond(s.sent) - perNodeSecond(s.sentToAll) + perNodeSecond(s.sentToAll)*float64(sim.Nodes-1)
		receivedByteRate := perNodeSecond(s.sentBytes) - perNodeSecond(s.sentToAllBytes) + perNodeSecond(s.sentToAllBytes)*float64(sim.Nodes-1)
		f["received "+name+" /s (computed)"], f["received "+name+" B/s (computed)"] = receivedRate, receivedByteRate
		if k != kindSuspicion { // Suspicions are too rare for a short run: see the sweep "faults".
			sent, received, bothWaysBytes = sent+perNodeSecond(s.sent), received+receivedRate, bothWaysBytes+perNodeSecond(s.sentBytes)+receivedByteRate
		}
	}
	f["sent but suspicions /s"], f["received but suspicions /s (computed)"] = sent, received
	f["both ways but suspicions B/s (computed)"] = bothWaysBytes
}
