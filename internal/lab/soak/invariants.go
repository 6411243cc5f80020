package soak

import "time"

// Rule names the invariant that a Violation concerns. docs/invariants.md describes the invariants, and the platform's
// documentation defines their bounds.
type Rule string

// The rules. Results of runs contain their texts.
const (
	ruleResponse           Rule = "answer"     // a request that a node has read gets one final response in time
	ruleCloseAfterRead     Rule = "read"       // a node that has read a request does not close its connection without a response
	ruleClientClosed       Rule = "left"       // no attempt begins for a client that has closed its connection
	ruleDeadline           Rule = "deadline"   // an attempt's timeout does not end after its client's deadline
	ruleRepeatedEffect     Rule = "repeat"     // no request takes effect twice
	ruleConcurrentAttempts Rule = "together"   // two attempts of a request are not in flight at the same time
	ruleRejection          Rule = "refusal"    // an unsafe request that a node rejects was not executed
	ruleForeignResponse    Rule = "foreign"    // a response belongs to its request
	ruleDraining           Rule = "drain"      // no attempt begins at a draining or removed server
	ruleSlowStart          Rule = "cold"       // all nodes together do not overload a server in slow start
	ruleCeiling            Rule = "ceiling"    // a customer's hard ceiling holds over all nodes and their restarts
	ruleCrash              Rule = "crash"      // no node exits unless the run sent SIGTERM or SIGKILL to it
	ruleReady              Rule = "ready"      // a started node becomes ready in time
	ruleShutdown           Rule = "end"        // a node exits in time after SIGTERM
	ruleNodeCheck          Rule = "guard"      // the nodes' own invariant checks count no violation
	ruleConnectionRefused  Rule = "refused"    // a node in service accepts connections
	ruleMalformed          Rule = "malformed"  // a node closes the connection of a malformed request in time
	ruleMemory             Rule = "memory"     // a node and its socket buffers keep to the memory limit
	ruleUnknownRequest     Rule = "unknown-id" // a server receives only requests that a client has sent
)

// Tolerances of the rules. The platform's documentation defines the first four. toleranceAt adds harnessTolerance and the delays of
// this process.
const (
	lateResponseTolerance = 500 * time.Millisecond
	clientCloseTolerance  = 100 * time.Millisecond
	deadlineTolerance     = 150 * time.Millisecond
	graceTolerance        = 50 * time.Millisecond  // tolerance after the drain grace, and after the window of an idempotency key
	concurrencyTolerance  = 100 * time.Millisecond // longest time after which a server notices the end of a connection
	readLateThreshold     = 20 * time.Millisecond  // time after its arrival from which an attempt counts as read late
	harnessTolerance      = 30 * time.Millisecond  // part of each tolerance that allows for small delays of this process
)

// Violation describes one violation of an invariant.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Request string        `json:"request,omitempty"` // ID of the request; empty if the violation concerns no single request
	Node    int           `json:"node"`              // number of the node; -1 if the violation concerns no single node
	At      time.Duration `json:"at_ns"`             // time from the run's start until the violation was found
	Detail  string        `json:"detail"`
}
