package upstream

import (
	"sync/atomic"

	"cherrygap/internal/protocol"
)

// Counters count attempts and connections to app servers since the node's start. They are safe for concurrent use.
// docs/oncall.md describes each.
type Counters struct {
	Attempts, Dials atomic.Int64
	Shortages       atomic.Int64 // dials that failed as this machine lacked what they take
	AttemptOutcomes [protocol.OutcomeCount]atomic.Int64

	SendViolations atomic.Int64 // of invariant.Sending
}
