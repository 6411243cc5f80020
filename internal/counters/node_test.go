package counters

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
)

// counterNames lists the counters' log fields in the order of the log line.
var counterNames = []string{
	"connections",
	"requests",
	"requests_malformed",
	"completed",
	"rejected",
	"failed",
	"clients_gone",
	"denied",
	"responses_unwritten",
	"requests_over_memory",
	"halted_closed",
	"overhead_us",
	"rejections_delayed",
	"attempts",
	"dials",
	"endpoint_lists",
	"endpoint_lists_malformed",
	"peer_messages_sent",
	"peer_messages_unsent",
	"peer_messages_received",
	"peer_messages_dropped",
	"log_lines_dropped",
	"attempts_completed",
	"attempts_errored",
	"attempts_rejected",
	"attempts_timed_out",
	"attempts_connect_failed",
	"attempts_connection_reset",
	"attempts_cancelled",
	"attempts_not_sent",
	"attempts_malformed_response",
	"dials_short_of_resources",
	"violations_sending",
	"violations_repeating",
	"violations_closing",
	"violations_starting",
}

// TestCountersLogFormat guards against a counter that is missing from the log, has the name of another, or changes its place.
func TestCountersLogFormat(t *testing.T) {
	counters := &Node{}
	frontEnd, upstreamCounters, discoveryCounters, peers := &counters.FrontEnd, &counters.Upstream, &counters.Discovery, &counters.Peers
	all := []*atomic.Int64{
		&frontEnd.Connections, &frontEnd.Requests, &frontEnd.MalformedRequests, &frontEnd.Completed, &frontEnd.Rejected,
		&frontEnd.Failed, &frontEnd.ClientsGone, &frontEnd.Denied, &frontEnd.ResponsesUnwritten, &frontEnd.RequestsOverMemory, &frontEnd.HaltedClosed,
		&frontEnd.OverheadMicroseconds, &frontEnd.RejectionsDelayed,
		&upstreamCounters.Attempts, &upstreamCounters.Dials, &discoveryCounters.EndpointLists, &discoveryCounters.MalformedLists, &peers.Sent,
		&peers.Unsent, &peers.Received, &peers.Dropped, &counters.LogLinesDropped,
	}
	for outcome := range upstreamCounters.AttemptOutcomes {
		all = append(all, &upstreamCounters.AttemptOutcomes[outcome])
	}
	all = append(all, &upstreamCounters.ResourceExhaustions, &upstreamCounters.SendViolations, &counters.RepeatViolations, &frontEnd.CloseViolations, &frontEnd.StartViolations)
	if len(all) != len(counterNames) {
		t.Fatalf("the test has %d counters and %d counter names, want equal numbers", len(all), len(counterNames))
	}
	var want strings.Builder
	for i, counter := range all {
		counter.Store(int64(i) + 1)
		fmt.Fprintf(&want, ",%q:%d", counterNames[i], i+1)
	}
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().Object("counters", counters).Msg("counters")
	if got, want := out.String(), `{"level":"info","counters":{`+want.String()[1:]+`},"message":"counters"}`+"\n"; got != want {
		t.Errorf("counters log line:\n got %s\nwant %s", got, want)
	}
}
