package transport

import "github.com/rs/zerolog"

// Violation is a promise that one of the node's guards found broken. Each guard sits in the type that owns the state which
// the promise is about, and holds back what would break it; what it counts got past it, as when the node was held up
// between a look and the write behind it. docs/invariants.md has the promises, docs/oncall.md the counters.
type Violation int

// The violations, by guard.
const (
	// ViolationSending: an attempt was written for a client that had left, past its time, with more time told than was left,
	// or after the grace of a server out of service (sendGuard).
	ViolationSending Violation = iota
	// ViolationRepeating: the engine wanted another attempt though an earlier one may have run or was out (routing's
	// repeatGuard, which holds it back).
	ViolationRepeating
	// ViolationClosing: the node closed a client's connection over a request that it had read (closeGuard).
	ViolationClosing
	// ViolationStarting: a request was begun while another was open on its handler, or ended without a final answer
	// (RequestHandler), or it was answered past its time and the platform's slack (clientConn).
	ViolationStarting
	violationCount
)

var violationNames = [violationCount]string{"sending", "repeating", "closing", "starting"}

// Violated counts a broken promise, and returns the log line to add to and send.
func (c *Counters) Violated(log *zerolog.Logger, v Violation) *zerolog.Event {
	c.violations[v].Add(1)
	return log.Error().Str("guard", violationNames[v])
}

// violatedMessage is the log's message on a broken promise.
const violatedMessage = "promise broken"

// violationField is a guard's counter in the log.
func violationField(v Violation) string { return "violations_" + violationNames[v] }
