package peersocket

import "sync/atomic"

// Counters count peer messages since the node's start. They are safe for concurrent use. docs/oncall.md describes each
// counter.
type Counters struct{ Sent, Unsent, Received, Dropped atomic.Int64 }
