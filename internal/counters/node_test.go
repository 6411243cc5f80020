package counters

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
)

// counterNames are the counters' fields in the log, in their order: as of commit cf1acfb, and as they are called now.
var counterNames = []struct{ old, now string }{
	{"connections", "connections"},
	{"taken", "requests"},
	{"bad", "requests_malformed"},
	{"completed", "completed"},
	{"bounced", "rejected"},
	{"broken_off", "failed"},
	{"gone", "clients_gone"},
	{"denied", "denied"},
	{"unanswered", "responses_unwritten"},
	{"sent", "attempts"},
	{"dialled", "dials"},
	{"lists", "endpoint_lists"},
	{"lists_bad", "endpoint_lists_malformed"},
	{"told", "peer_messages_sent"},
	{"told_failed", "peer_messages_unsent"},
	{"heard", "peer_messages_received"},
	{"heard_bad", "peer_messages_dropped"},
	{"lines_lost", "log_lines_dropped"},
	{"ended_completed", "attempts_completed"},
	{"ended_errored", "attempts_errored"},
	{"ended_turned_away", "attempts_rejected"},
	{"ended_timed_out", "attempts_timed_out"},
	{"ended_unconnected", "attempts_connect_failed"},
	{"ended_broken", "attempts_connection_reset"},
	{"ended_withdrawn", "attempts_cancelled"},
	{"ended_unsent", "attempts_not_sent"},
	{"ended_spoilt", "attempts_malformed_response"},
	{"", "dials_short_of_resources"}, // since issue 40, as those below
	{"", "violations_sending"},
	{"", "violations_repeating"},
	{"", "violations_closing"},
	{"", "violations_starting"},
}

// The counters in the log: names, order, and that each is written under its own name.
func TestGoldenCounters(t *testing.T) {
	counters := &Node{}
	front, up, disco, peers := &counters.FrontEnd, &counters.Upstream, &counters.Discovery, &counters.Peers
	all := []*atomic.Int64{
		&front.Connections, &front.Requests, &front.MalformedRequests, &front.Completed, &front.Rejected,
		&front.Failed, &front.ClientsGone, &front.Denied, &front.ResponsesUnwritten, &up.Attempts,
		&up.Dials, &disco.EndpointLists, &disco.MalformedLists, &peers.Sent,
		&peers.Unsent, &peers.Received, &peers.Dropped, &counters.LogLinesDropped,
	}
	for outcome := range up.AttemptOutcomes {
		all = append(all, &up.AttemptOutcomes[outcome])
	}
	all = append(all, &up.Shortages, &up.SendViolations, &counters.RepeatViolations, &front.CloseViolations, &front.StartViolations)
	if len(all) != len(counterNames) {
		t.Fatalf("%d counters, %d names", len(all), len(counterNames))
	}
	var want strings.Builder
	for i, counter := range all {
		counter.Store(int64(i) + 1)
		fmt.Fprintf(&want, ",%q:%d", counterNames[i].now, i+1)
	}
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().Object("counters", counters).Msg("counters")
	if got, want := out.String(), `{"level":"info","counters":{`+want.String()[1:]+`},"message":"counters"}`+"\n"; got != want {
		t.Errorf("got\n%s, not\n%s", got, want)
	}
}
