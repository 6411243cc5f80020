package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"cherrygap/internal/lab/crowd"
	"cherrygap/internal/lab/memusage"
)

// HostileCrowd is the name of the fault in which a hostile crowd acts on a node.
const HostileCrowd = "hostile"

// crowdIDPrefix begins the ids of requests from hostile crowds. The checker does not follow these requests.
const crowdIDPrefix = "crowd-"

// isFromCrowd reports whether a request comes from a hostile crowd.
func isFromCrowd(id string) bool { return strings.HasPrefix(id, crowdIDPrefix) }

// crowdResponseBytes is the length of the body of a response to a request of a crowd.
const crowdResponseBytes = 40 << 10

// Bounds of a hostile crowd.
const (
	minCrowdConns = 100
	maxCrowdConns = 300
	maxFloodConns = 4
	minCrowdTime  = 500 * time.Millisecond
	maxCrowdTime  = 2500 * time.Millisecond
)

// drawCrowd draws a crowd of many connections, or a flood of a few that send at full speed.
func drawCrowd(rng *rand.Rand) (kind crowd.Kind, conns int) {
	if floods := crowd.Floods(); rng.IntN(3) == 0 {
		return floods[rng.IntN(len(floods))], 1 + rng.IntN(maxFloodConns)
	}
	kinds := crowd.Kinds()
	return kinds[rng.IntN(len(kinds))], minCrowdConns + rng.IntN(maxCrowdConns-minCrowdConns)
}

// injectHostileCrowd lets a crowd of one kind, or a flood of a single connection, act on a node for a while. The node must keep to its
// memory limit.
func (r *run) injectHostileCrowd(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.faultMu.Unlock()
	process := n.currentProcess()
	if process == nil || process.HasExited() {
		return
	}
	kind, conns := drawCrowd(rng)
	duration := randomDuration(rng, minCrowdTime, maxCrowdTime)
	n.setDescriptorsExhausted(time.Now().Add(duration + descriptorRecovery))
	sampler := memusage.StartSampler(process.PID())
	hostile := crowd.Start(crowd.Target{
		Addr: n.addr, Class: "hold", Plan: unlimitedPlanName, Customer: uint64(n.number), TimeoutMs: 1000,
		IDPrefix: crowdIDPrefix + kind.Name + "-",
	}, kind, conns)
	sleep(ctx, duration)
	hostile.Stop()
	if peak, limit := sampler.Stop(), int64(n.limits.memoryMB)<<20; peak.Total > limit {
		r.checker.recordViolation(ruleMemory, n.number, "", "%d connections of kind %s: %d bytes, %d of them resident and %d in socket buffers; want at most %d",
			conns, kind.Name, peak.Total, peak.Resident, peak.SocketMemory, limit)
	}
}
