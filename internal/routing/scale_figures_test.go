package routing_test

import (
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// figures are the results of one play, by name.
type figures map[string]float64

// timings are the CPU times of calls in ns, and counts, of the measured part of a play.
type timings struct {
	samples                      map[string][]float64 // by operation
	calls                        time.Duration        // sum over all calls
	added                        []float64            // by request: latency that the calls of its node added, ns
	requests, admitted, rejected int
	completed, failed            int // attempts
	sent, sentBytes              [kindCount]int
	sentToAll, sentToAllBytes    [kindCount]int // of those, to every other node
	received, receivedBytes      [kindCount]int
}

func (t *timings) add(op string, d time.Duration) { t.samples[op] = append(t.samples[op], float64(d)) }

// measure starts the timings.
func (w *scaleWorld) measure() { w.timings = &timings{samples: map[string][]float64{}} }

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// threadTime is the CPU time of the thread.
func threadTime() time.Duration {
	const clock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic(errno)
	}
	return time.Duration(t.Nano())
}

// processSeconds is the CPU time of the process, s.
func processSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// prepareScaleWorld makes a play whose nodes know their tenants and have found their limits.
func prepareScaleWorld(s fleetSize, seed uint64, warm time.Duration) (w *scaleWorld, f figures) {
	w, f = newScaleWorld(s, seed), figures{}
	raw := w.discoveryList()
	f["list KB"] = float64(len(raw)) / 1e3
	before := heapBytes()
	for range playedNodes {
		start := threadTime()
		list, err := protocol.ParseEndpointList(raw)
		if err != nil {
			panic(err)
		}
		f["list: parse ms"] += milliseconds(float64(threadTime()-start)) / playedNodes
		f["list: first ms"] += milliseconds(float64(w.addNode(seed, &list))) / playedNodes
	}
	w.meetAllTenants()
	w.start()
	w.playFor(warm)
	f["heap MB"] = (heapBytes() - before) / playedNodes / 1e6
	return w, f
}

// playScale plays one fleet: preparation, the measured span of virtual time, a burst of a hundred changes, and the complete
// list once more.
func playScale(s fleetSize, seed uint64, warm, span time.Duration) figures {
	w, f := prepareScaleWorld(s, seed, warm)
	w.measure()
	cpu, from := processSeconds(), w.now
	w.playFor(span)
	f["core: process %"] = 100 * (processSeconds() - cpu) / (w.now - from).Seconds() / playedNodes
	w.figures(f, (w.now - from).Seconds())
	w.timings = nil
	changes, lists := 0.0, 0.0
	for _, n := range w.nodes {
		for k := range burstOfChanges {
			e := w.endpoints[(k/2*31+1)%w.Servers]
			if k%2 == 0 {
				e.State = protocol.Terminating
			}
			list := &protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}
			changes += float64(n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) }))
		}
	}
	f["100 changes ms"] = milliseconds(changes / playedNodes)
	for _, n := range w.nodes {
		list := &protocol.EndpointList{Full: true, Endpoints: slices.Clone(w.endpoints)}
		lists += float64(n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) }))
	}
	f["list: again ms"] = milliseconds(lists / playedNodes)
	return f
}

func microseconds(ns float64) float64 { return ns / 1e3 }

func milliseconds(ns float64) float64 { return ns / 1e6 }

// quantile is the exact one of the samples (nearest rank); 0 of none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(q*float64(len(sorted))))-1))]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / max(1, float64(len(v)))
}

// figures summarises the timings and counts of that many virtual seconds.
func (w *scaleWorld) figures(f figures, seconds float64) {
	s := w.timings
	for _, v := range s.samples {
		slices.Sort(v)
	}
	slices.Sort(s.added)
	for _, op := range []string{"pick", "pick by the clock", "report"} {
		f[op+" p50 us"], f[op+" p99 us"] = microseconds(quantile(s.samples[op], 0.5)), microseconds(quantile(s.samples[op], 0.99))
	}
	f["retry p50 us"], f["receive p50 us"] = microseconds(quantile(s.samples["retry"], 0.5)), microseconds(quantile(s.samples["receive"], 0.5))
	f["change p50 us"], f["change max us"] = microseconds(quantile(s.samples["change"], 0.5)), microseconds(quantile(s.samples["change"], 1))
	f["timer mean us"], f["timer max us"] = microseconds(mean(s.samples["timer"])), microseconds(quantile(s.samples["timer"], 1))
	f["timers /s"] = float64(len(s.samples["timer"])) / seconds / playedNodes
	f["interval mean us"], f["interval max us"] = microseconds(mean(s.samples["interval"])), microseconds(quantile(s.samples["interval"], 1))
	f["added p50 us"], f["added p99 us"] = microseconds(quantile(s.added, 0.5)), microseconds(quantile(s.added, 0.99))
	f["added max us"] = microseconds(quantile(s.added, 1))
	f["core: calls %"] = 100 * s.calls.Seconds() / seconds / playedNodes
	f["requests /s"] = float64(s.requests) / seconds / playedNodes
	f["admitted %"] = 100 * float64(s.admitted) / max(1, float64(s.requests))
	sent, received, bytes := 0.0, 0.0, 0.0
	for k, name := range kindNames {
		each := func(v [kindCount]int) float64 { return float64(v[k]) / seconds / playedNodes }
		f["sent "+name+" /s"], f["sent "+name+" B/s"] = each(s.sent), each(s.sentBytes)
		// A message to one node reaches one of the group. Messages to all come from all other nodes of the fleet.
		in := each(s.sent) - each(s.sentToAll) + each(s.sentToAll)*float64(w.Nodes-1)
		inBytes := each(s.sentBytes) - each(s.sentToAllBytes) + each(s.sentToAllBytes)*float64(w.Nodes-1)
		f["received "+name+" /s (computed)"], f["received "+name+" B/s (computed)"] = in, inBytes
		if k != kindSuspicion { // too rare for a short play: see the sweep of faults
			sent, received, bytes = sent+each(s.sent), received+in, bytes+each(s.sentBytes)+inBytes
		}
	}
	f["sent but suspicions /s"], f["received but suspicions /s (computed)"] = sent, received
	f["both ways but suspicions B/s (computed)"] = bytes
}
