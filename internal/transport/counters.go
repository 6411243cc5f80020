package transport

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// Counters count what the node takes in, sends and answers since its start. Any goroutine may add to them;
// docs/oncall.md says what each counts.
type Counters struct {
	Connections, Requests, MalformedRequests atomic.Int64 // of clients

	// What became of requests. Each request is counted in one of the first four once it is over.
	Completed, Rejected, Failed, ClientsGone, Denied, ResponsesUnwritten atomic.Int64

	Attempts, Dials atomic.Int64 // at app servers
	Shortages       atomic.Int64 // dials that failed as this machine lacked what they take
	AttemptOutcomes [protocol.OutcomeCount]atomic.Int64

	EndpointLists, MalformedLists                                                   atomic.Int64
	PeerMessagesSent, PeerMessagesUnsent, PeerMessagesReceived, PeerMessagesDropped atomic.Int64
	LogLinesDropped                                                                 atomic.Int64

	violations [violationCount]atomic.Int64 // of promises, by guard
}

// outcomeFields are the fields of AttemptOutcomes.
var outcomeFields = [protocol.OutcomeCount]string{
	protocol.Completed:         "attempts_completed",
	protocol.Errored:           "attempts_errored",
	protocol.Overloaded:        "attempts_rejected",
	protocol.TimedOut:          "attempts_timed_out",
	protocol.ConnectFailed:     "attempts_connect_failed",
	protocol.ConnectionReset:   "attempts_connection_reset",
	protocol.Cancelled:         "attempts_cancelled",
	protocol.NotSent:           "attempts_not_sent",
	protocol.MalformedResponse: "attempts_malformed_response",
}

// MarshalZerologObject writes all counters.
func (c *Counters) MarshalZerologObject(event *zerolog.Event) {
	for _, field := range []struct {
		name    string
		counter *atomic.Int64
	}{
		{"connections", &c.Connections},
		{"requests", &c.Requests},
		{"requests_malformed", &c.MalformedRequests},
		{"completed", &c.Completed},
		{"rejected", &c.Rejected},
		{"failed", &c.Failed},
		{"clients_gone", &c.ClientsGone},
		{"denied", &c.Denied},
		{"responses_unwritten", &c.ResponsesUnwritten},
		{"attempts", &c.Attempts},
		{"dials", &c.Dials},
		{"endpoint_lists", &c.EndpointLists},
		{"endpoint_lists_malformed", &c.MalformedLists},
		{"peer_messages_sent", &c.PeerMessagesSent},
		{"peer_messages_unsent", &c.PeerMessagesUnsent},
		{"peer_messages_received", &c.PeerMessagesReceived},
		{"peer_messages_dropped", &c.PeerMessagesDropped},
		{"log_lines_dropped", &c.LogLinesDropped},
	} {
		event.Int64(field.name, field.counter.Load())
	}
	for outcome, field := range outcomeFields {
		event.Int64(field, c.AttemptOutcomes[outcome].Load())
	}
	event.Int64("dials_short_of_resources", c.Shortages.Load())
	for v := range c.violations {
		event.Int64(violationField(Violation(v)), c.violations[v].Load())
	}
}
