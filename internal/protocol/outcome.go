package protocol

// Outcome is the outcome of an attempt.
type Outcome uint8

// Outcomes of an attempt. Unless NeverRan reports true for an outcome, the app server may have executed the attempt.
const (
	// Completed is a response with status 200.
	Completed Outcome = iota
	// Errored is any complete response that is neither Completed nor Overloaded.
	Errored
	// Overloaded is a response that proves that the app server rejected the attempt without executing it.
	Overloaded
	// TimedOut is an attempt without a response by its deadline.
	TimedOut
	// ConnectFailed is an attempt whose connection failed or was closed before the last byte of the attempt was written.
	ConnectFailed
	// ConnectionReset is an attempt whose connection was closed after the last byte was written.
	ConnectionReset
	// Cancelled is an attempt that the node cancelled.
	Cancelled
	// NotSent is an attempt that the node gave up before it wrote the last byte.
	NotSent
	// MalformedResponse is an attempt with a response that cannot be parsed.
	MalformedResponse

	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// outcomeNames are the names of the outcomes in the log's counters.
var outcomeNames = [OutcomeCount]string{
	Completed:         "completed",
	Errored:           "errored",
	Overloaded:        "rejected",
	TimedOut:          "timed_out",
	ConnectFailed:     "connect_failed",
	ConnectionReset:   "connection_reset",
	Cancelled:         "cancelled",
	NotSent:           "not_sent",
	MalformedResponse: "malformed_response",
}

// NeverRan reports whether the outcome proves that the app server did not execute the attempt.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == ConnectFailed || o == NotSent }

// String returns the name of the outcome. The log's counters use it with the prefix "attempts_".
func (o Outcome) String() string { return outcomeNames[o] }
