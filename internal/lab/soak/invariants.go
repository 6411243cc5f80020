package soak

import "time"

// Rule names an invariant in a Violation. docs/invariants.md has the invariants, and the platform's pages their bounds.
type Rule string

// The rules. Their texts are in the results of runs.
const (
	ruleAnswer             Rule = "answer"     // a request that was read gets one final response in time
	ruleUnreadClose        Rule = "read"       // a node does not close a connection on which it has read a request
	ruleClientClosed       Rule = "left"       // no attempt begins for a client that has closed its connection
	ruleDeadline           Rule = "deadline"   // an attempt's timeout is not past its client's deadline
	ruleRepeatedEffect     Rule = "repeat"     // no request has its effect twice
	ruleConcurrentAttempts Rule = "together"   // two attempts of a request are not in flight together
	ruleRejection          Rule = "refusal"    // a rejected unsafe request was not executed
	ruleForeignResponse    Rule = "foreign"    // a response belongs to its request
	ruleDraining           Rule = "drain"      // no attempt begins at a draining or removed server
	ruleSlowStart          Rule = "cold"       // all nodes together do not overload a server in slow start
	ruleCeiling            Rule = "ceiling"    // a hard ceiling holds over all nodes and their restarts
	ruleCrash              Rule = "crash"      // no node ends by itself
	ruleReady              Rule = "ready"      // a started node is ready in time
	ruleShutdown           Rule = "end"        // a node ends in time after SIGTERM
	ruleNodeCheck          Rule = "guard"      // the nodes' own invariant checks count no violation
	ruleConnectionRefused  Rule = "refused"    // a node in service accepts connections
	ruleMalformed          Rule = "malformed"  // a malformed request gets an error or a close in time
	ruleUnknownRequest     Rule = "unknown-id" // a server gets only requests that a client has sent
)

// Tolerances of the rules. The platform's pages give the first four. slackAt adds the delays of this process.
const (
	answerSlack       = 500 * time.Millisecond
	clientCloseSlack  = 100 * time.Millisecond
	deadlineSlack     = 150 * time.Millisecond
	graceSlack        = 50 * time.Millisecond  // past the drain grace, and past the window of an idempotency key
	concurrencySlack  = 100 * time.Millisecond // a server may notice the end of a connection that late
	readLateThreshold = 20 * time.Millisecond  // a request that is read later than this after its arrival has no exact times
	harnessSlack      = 30 * time.Millisecond  // part of each tolerance, for the delays of this process
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Request string        `json:"request,omitempty"`
	Node    int           `json:"node"`  // -1: not of one node
	At      time.Duration `json:"at_ns"` // when it was found, since the run's start
	Detail  string        `json:"detail"`
}
