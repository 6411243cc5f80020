// Package invariant names the node's invariants and logs their violations. docs/invariants.md states the invariants.
package invariant

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Invariant is the name of one of the node's invariants in the log. The type that owns the state concerned holds back an
// action that would violate the invariant. If the action was carried out nevertheless, it is counted and logged as a
// violation. For Repeating, each action that was held back is counted, because the decision engine should never decide on
// such an action.
type Invariant string

// The invariants.
const (
	// Sending means that an attempt is written before the client's deadline, and a keyed retry also within its window. The client
	// is connected, and the server is in service or within its drain grace period. The attempt timeout in the request is at
	// most the client's remaining time plus a slack.
	Sending Invariant = "sending"
	// Repeating means that no attempt starts while an earlier attempt of the same request is in flight or may have run.
	Repeating Invariant = "repeating"
	// Closing means that the node closes no client connection on its own initiative while a request that it read is unanswered.
	Closing Invariant = "closing"
	// Starting means that a request starts only after the handler's previous request has ended. The request gets a final
	// response before its deadline unless its client disconnects.
	Starting Invariant = "starting"
)

// ViolatedMessage is the message of the log line of a violation.
const ViolatedMessage = "invariant violated"

// Violated counts a violation and returns its log event, to which the caller adds fields and ViolatedMessage.
func Violated(counter *atomic.Int64, log *zerolog.Logger, violated Invariant) *zerolog.Event {
	counter.Add(1)
	return log.Error().Str("invariant", string(violated))
}

// CounterField returns the name of an invariant's violation counter in the log.
func CounterField(i Invariant) string { return "violations_" + string(i) }
