// Package invariant names the node's invariants and logs violations of them. docs/invariants.md states the invariants.
package invariant

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Invariant is one of the node's invariants, by its name in the log. The type that owns the state concerned holds back an
// action that would violate the invariant. An action that was carried out all the same is counted and logged as a violation.
// Of Repeating each action that was held back is counted, because the decision engine should never decide on one.
type Invariant string

// The invariants.
const (
	// Sending: an attempt is written before its deadline, for a connected client, to a server in service or within its drain
	// grace. The attempt timeout in it is at most the time left to the client, plus a slack.
	Sending Invariant = "sending"
	// Repeating: no attempt starts while an earlier one of its request is in flight or may have run.
	Repeating Invariant = "repeating"
	// Closing: the node closes no client connection on its own initiative while a request that it read is unanswered.
	Closing Invariant = "closing"
	// Starting: a request starts only after the handler's last one has ended, and gets a final response before its deadline
	// unless its client disconnects.
	Starting Invariant = "starting"
)

// ViolatedMessage is the message of the log line of a violation.
const ViolatedMessage = "invariant violated"

// Violated counts a violation and returns its log line, to which the caller adds fields and the message.
func Violated(counter *atomic.Int64, log *zerolog.Logger, violated Invariant) *zerolog.Event {
	counter.Add(1)
	return log.Error().Str("invariant", string(violated))
}

// CounterField returns the name of an invariant's violation counter in the log.
func CounterField(i Invariant) string { return "violations_" + string(i) }
