// Package counters gathers the counters of a node's parts and writes them to the log.
package counters

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"cherrygap/internal/discovery"
	"cherrygap/internal/frontend"
	"cherrygap/internal/invariant"
	"cherrygap/internal/peersocket"
	"cherrygap/internal/protocol"
	"cherrygap/internal/upstream"
)

// Node holds the counters of one node's parts since the node's start. It is safe for concurrent use. docs/oncall.md describes
// each counter.
type Node struct {
	FrontEnd         frontend.Counters
	Upstream         upstream.Counters
	Discovery        discovery.Counters
	Peers            peersocket.Counters
	LogLinesDropped  atomic.Int64
	RepeatViolations atomic.Int64 // violations of invariant.Repeating
}

// outcomePrefix is the prefix of the log fields of upstream.Counters.AttemptOutcomes. The outcome's name follows.
const outcomePrefix = "attempts_"

// field is a counter with the name of its log field.
type field struct {
	name    string
	counter *atomic.Int64
}

// MarshalZerologObject writes all counters, in a fixed order.
func (n *Node) MarshalZerologObject(event *zerolog.Event) {
	for _, f := range n.fields() {
		event.Int64(f.name, f.counter.Load())
	}
}

// fields returns all counters in the order of the log line.
func (n *Node) fields() []field {
	frontEnd, upstreamCounters, discoveryCounters, peers := &n.FrontEnd, &n.Upstream, &n.Discovery, &n.Peers
	fields := []field{
		{"connections", &frontEnd.Connections},
		{"requests", &frontEnd.Requests},
		{"requests_malformed", &frontEnd.MalformedRequests},
		{"completed", &frontEnd.Completed},
		{"rejected", &frontEnd.Rejected},
		{"failed", &frontEnd.Failed},
		{"clients_gone", &frontEnd.ClientsGone},
		{"denied", &frontEnd.Denied},
		{"responses_unwritten", &frontEnd.ResponsesUnwritten},
		{"requests_over_memory", &frontEnd.RequestsOverMemory},
		{"halted_closed", &frontEnd.HaltedClosed},
		{"overhead_us", &frontEnd.OverheadMicroseconds},
		{"rejections_delayed", &frontEnd.RejectionsDelayed},
		{"attempts", &upstreamCounters.Attempts},
		{"dials", &upstreamCounters.Dials},
		{"endpoint_lists", &discoveryCounters.EndpointLists},
		{"endpoint_lists_malformed", &discoveryCounters.MalformedLists},
		{"peer_messages_sent", &peers.Sent},
		{"peer_messages_unsent", &peers.Unsent},
		{"peer_messages_received", &peers.Received},
		{"peer_messages_dropped", &peers.Dropped},
		{"log_lines_dropped", &n.LogLinesDropped},
	}
	for outcome := range protocol.OutcomeCount {
		fields = append(fields, field{outcomePrefix + outcome.String(), &upstreamCounters.AttemptOutcomes[outcome]})
	}
	return append(
		fields,
		field{"dials_short_of_resources", &upstreamCounters.ResourceExhaustions},
		field{invariant.CounterField(invariant.Sending), &upstreamCounters.SendViolations},
		field{invariant.CounterField(invariant.Repeating), &n.RepeatViolations},
		field{invariant.CounterField(invariant.Closing), &frontEnd.CloseViolations},
		field{invariant.CounterField(invariant.Starting), &frontEnd.StartViolations},
	)
}
