package frontend

import "sync/atomic"

// Counters count client connections and requests since the node's start. They are safe for concurrent use.
// docs/oncall.md describes each.
type Counters struct {
	Connections, Requests, MalformedRequests atomic.Int64

	// Results of requests. A finished request is counted in one of the first four.
	Completed, Rejected, Failed, ClientsGone, Denied, ResponsesUnwritten atomic.Int64

	CloseViolations, StartViolations atomic.Int64 // of invariant.Closing and invariant.Starting
}
