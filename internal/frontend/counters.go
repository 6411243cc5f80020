package frontend

import "sync/atomic"

// Counters count client connections and requests since the node's start. They are safe for concurrent use.
// docs/oncall.md describes each counter.
type Counters struct {
	Connections, Requests, MalformedRequests atomic.Int64

	// Results of requests. Each finished request is counted in exactly one of these counters.
	Completed, Rejected, Failed, ClientsGone, Denied atomic.Int64

	RequestsOverMemory atomic.Int64 // requests that were rejected for want of memory
	HaltedClosed       atomic.Int64 // messages of halted clients that were given up for their memory

	ResponsesUnwritten atomic.Int64 // responses that could not be written completely

	OverheadMicroseconds atomic.Int64 // processor time of work without a request that an app server executes
	RejectionsDelayed    atomic.Int64 // rejections that waited for others, because such work had used up its processor time

	CloseViolations, StartViolations atomic.Int64 // violations of invariant.Closing and invariant.Starting
}
