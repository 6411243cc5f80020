package node

import (
	"fmt"
	"maps"
	"os"
	"runtime/metrics"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"cherrygap/internal/membudget"
	"cherrygap/internal/routing"
)

// LogCounters logs the counters of the node and of its optional parts in one line with the given message.
func (n *Node) LogCounters(message string) {
	line := n.log.Info().Object("counters", n.counters).Object("memory", memoryState{limit: n.limits.MemoryMiB, budget: n.memory})
	if n.config.shadowSettings != nil {
		line = line.Object("shadow", shadowCounters{n.router})
	}
	if n.healthChecks != nil {
		line = line.Object("health_checks", n.healthChecks)
	}
	if n.authorizer != nil {
		line = line.Object("authz", n.authorizer)
	}
	if n.quotas != nil {
		line = line.Object("quota", n.quotas)
	}
	line.Msg(message)
}

// memoryState logs the memory of the process and of messages, in KiB.
type memoryState struct {
	limit  int // memory limit in MiB
	budget *membudget.Budget
}

// MarshalZerologObject writes the limit, the resident set and its peak (0 where the kernel does not tell them), the Go runtime's
// memory, and the budget for messages.
func (m memoryState) MarshalZerologObject(event *zerolog.Event) {
	const kib = 1 << 10
	resident := residentSet()
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	usage := m.budget.Usage()
	event.Int("limit_kib", m.limit*kib).Int64("resident_kib", resident.now).Int64("resident_peak_kib", resident.peak).
		Uint64("runtime_kib", (samples[0].Value.Uint64()-samples[1].Value.Uint64())/kib).Int64("messages_limit_kib", usage.Limit/kib).
		Int64("messages_kib", usage.Used/kib).Int64("messages_peak_kib", usage.Peak/kib).Int64("messages_short", usage.Shortages)
}

// residentMemory is a process's resident set in KiB.
type residentMemory struct{ now, peak int64 }

// residentSet returns the resident set of this process, or 0 for what /proc does not tell.
func residentSet() residentMemory {
	var resident residentMemory
	raw, _ := os.ReadFile("/proc/self/status") // without the file, no line is found
	for line := range strings.Lines(string(raw)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &resident.now) // other lines don't match
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &resident.peak)
	}
	return resident
}

// shadowCounters logs the counts of the shadow evaluation: the compared decisions, and the differing ones by kind of
// difference.
type shadowCounters struct{ router *routing.Router }

// MarshalZerologObject writes the counts of the differing decisions in alphabetical order of their kinds.
func (c shadowCounters) MarshalZerologObject(event *zerolog.Event) {
	compared, differing := c.router.ShadowCounts()
	event.Int64("decisions", compared)
	for _, kind := range slices.Sorted(maps.Keys(differing)) {
		event.Int64(kind, differing[kind])
	}
}
