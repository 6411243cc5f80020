package discovery

import "sync/atomic"

// Counters count the responses of discovery since the node's start. They are safe for concurrent use. docs/oncall.md
// describes each counter.
type Counters struct{ EndpointLists, MalformedLists atomic.Int64 }
