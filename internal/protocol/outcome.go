package protocol

// Outcome is how an attempt ended, as the platform's table has it.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Completed         Outcome = iota
	Errored                   // the app server answered with an error: it may have run
	Overloaded                // the app server rejected it and has not looked at it
	TimedOut                  // the node stopped waiting: it may have run, or may yet
	ConnectFailed             // no connection, or it broke before the last byte was written
	ConnectionReset           // the connection broke after that: it may have run
	Cancelled                 // the node gave it up
	NotSent                   // the node held it back before its first byte
	MalformedResponse         // the response can't be read, over a connection that stands: it may have run
	OutcomeCount              // how many there are
)

var outcomeNames = [OutcomeCount]string{
	"completed", "errored", "rejected", "timed_out", "connect_failed", "connection_reset", "cancelled", "not_sent",
	"malformed_response",
}

// NeverRan reports whether an attempt that ended so is proven not to have run.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == ConnectFailed || o == NotSent }

// String is the outcome's name, as the counters of the log have it behind "attempts_".
func (o Outcome) String() string { return outcomeNames[o] }
