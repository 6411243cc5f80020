// Package healthcheck distributes the health checks of app servers among the edge nodes of a fleet. It decides which node
// runs a check, and when.
//
// The owner of a check is the first member in the check's rendezvous order that internal/membership considers alive. While
// members fail and rejoin, another member may be a backup owner. The result of each run is gossiped. Thus every node learns the
// result, and a new owner knows the time of the last run.
//
// The package holds no I/O, no clock and no goroutine. The host passes the current time to each call. It reports events with
// ReceivePeerMessage, SetChecks and CheckEnded, which return no steps. Then it calls Next until there is no further step.
// The same calls with the same seed yield the same steps. A Scheduler is not safe for concurrent use.
//
// docs/design-healthcheck.md lists the alternatives. docs/healthcheck.md is the operators' page.
package healthcheck

import (
	"time"

	"cherrygap/internal/membership"
)

// MagicByte is the first byte of each peer message of this package.
const MagicByte = membership.MagicByte

// NodeID is the number of a node of the fleet.
type NodeID = membership.NodeID

// ErrMalformed is wrapped by every error of ReceivePeerMessage.
var ErrMalformed = membership.ErrMalformed

// Kind is the kind of a check. The values are those on the wire.
type Kind uint8

const (
	// CheckServer is the health check of an app server.
	CheckServer Kind = iota + 1
	// CheckList is not in use. Its value is reserved.
	CheckList
	// CheckCounter is not in use. Its value is reserved.
	CheckCounter

	lastKind = CheckCounter
)

// CheckID identifies a check among those of its kind. For CheckServer it is the server's number.
type CheckID uint64

// Check is a check that the fleet runs periodically, at one node at a time.
type Check struct {
	Kind Kind
	ID   CheckID
}

// Config configures a Scheduler.
type Config struct {
	Self        NodeID        // number of this node
	Nodes       int           // number of nodes in the fleet, including this one; at least 1
	Seed        uint64        // seed of the random draws
	ReceiveRate float64       // messages of all kinds that a node can receive, per second; 0 or less for no known limit
	SendRate    float64       // bytes that this node may send, per second; 0 or less for no limit
	Interval    time.Duration // requested time between two runs of a check; Scheduler.Interval may be longer
}

// StepKind is the kind of a Step.
type StepKind uint8

const (
	// Send asks the host to send Payload to node To.
	Send StepKind = iota + 1
	// Run asks the host to run Check within Timeout, and to report the result with CheckEnded.
	Run
	// Ended notifies the host that another node ran Check. OK is the result.
	Ended
)

// Step is an action for the host to carry out. Only the fields that the description of its Kind mentions are set.
type Step struct {
	Kind    StepKind
	To      NodeID
	Payload []byte // message to send; valid until the next call of any method of the Scheduler
	Check   Check
	Timeout time.Duration
	OK      bool
}

// Counters count events since New.
type Counters struct {
	membership.Counters
	Checks       int64 // runs by this node
	BackupChecks int64 // runs by this node as the backup owner; included in Checks
}
