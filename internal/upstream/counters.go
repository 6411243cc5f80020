package upstream

import (
	"sync/atomic"

	"cherrygap/internal/protocol"
)

// Counters count attempts and connections to app servers since the node's start. They are safe for concurrent use.
// docs/oncall.md describes each counter.
type Counters struct {
	Attempts, Dials     atomic.Int64
	ResourceExhaustions atomic.Int64 // dials that failed because this machine ran out of a resource
	AttemptOutcomes     [protocol.OutcomeCount]atomic.Int64

	SendViolations atomic.Int64 // violations of invariant.Sending
}
