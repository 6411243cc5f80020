// Package healthcheck distributes a fleet's periodic tasks (above all the health checks of app servers) among its edge
// nodes: it decides which node runs a task, and when. The owner of a task is the first member in the task's rendezvous
// order that internal/membership considers alive; the next one is a backup while members join and leave. The end of each
// run is gossiped, so that every node learns the result and a new owner knows when the last run was.
//
// The package holds no I/O, no clock and no goroutine. The host passes the time with each call, reports what happened
// (ReceivePeerMessage, SetChecks, CheckEnded), which only updates what is known, and pulls decisions with Next until there
// is none. The same calls with the same seed give the same decisions. A Scheduler is not safe for concurrent use.
//
// docs/design-healthcheck.md has the options considered, docs/healthcheck.md is the operators' page.
package healthcheck

import (
	"time"

	"cherrygap/internal/membership"
)

// MessageMark is the first byte of each message of this package.
const MessageMark = membership.MessageMark

// NodeID is the number of a node of the fleet.
type NodeID = membership.NodeID

// ErrMalformed is returned for a peer's message that can't be decoded.
var ErrMalformed = membership.ErrMalformed

// Kind is the kind of a task. The values are those on the wire.
type Kind uint8

// The kinds of task.
const (
	CheckServer  Kind = iota + 1 // probe an app server
	CheckList                    // refresh a list
	CheckCounter                 // call the counter for a group of customers

	kinds = CheckCounter
)

// CheckID identifies a task among those of its kind. For CheckServer it is the server's number.
type CheckID uint64

// Check is a task that one node of the fleet has to run periodically.
type Check struct {
	Kind Kind
	ID   CheckID
}

// Config is what a Scheduler needs to know at its start.
type Config struct {
	Self        NodeID
	Nodes       int           // nodes of the fleet, this one included
	Seed        uint64        // of the random draws
	ReceiveRate float64       // messages a second that a node takes in, of all kinds; 0 for no known limit
	SendRate    float64       // bytes a second that this node sends at most, whatever the fleet's size; 0 for no limit
	Interval    time.Duration // between two runs of one task; longer where members can't be watched closely enough for it
}

// StepKind is what a Step asks of the host.
type StepKind uint8

// The steps.
const (
	Send  StepKind = iota + 1 // Text to node To
	Run                       // Check, within Timeout, and report it with CheckEnded
	Ended                     // Check was run by another node, with the result OK
)

// Step is one decision. Only the fields that its Kind names are set.
type Step struct {
	Kind    StepKind
	To      NodeID
	Text    []byte // valid until the next call
	Check   Check
	Timeout time.Duration
	OK      bool
}

// Counters count what a Scheduler did since it was made.
type Counters struct {
	membership.Counters
	Checks       int64 // runs of tasks by this node
	BackupChecks int64 // runs among them as the backup owner
}
