package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// recordingDiscovery is a fake discovery that sends on the bytes of each call and answers the next of its answers; where
// they end it holds the call.
func recordingDiscovery(t *testing.T, answers ...string) (addr string, calls chan string) {
	t.Helper()
	listener := listen(t)
	calls = make(chan string, 99)
	var answered atomic.Int64
	go serveConns(listener, func(conn net.Conn) {
		var raw bytes.Buffer
		reader := bufio.NewReader(io.TeeReader(conn, &raw))
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			calls <- raw.String()
			raw.Reset()
			next := int(answered.Add(1)) - 1
			if next >= len(answers) {
				continue // held
			}
			_, err := io.WriteString(conn, answers[next])
			if err != nil || strings.Contains(answers[next], "Connection: close") {
				return
			}
		}
	})
	return listener.Addr().String(), calls
}

// listed is an answer of discovery.
func listed(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func closing(answer string) string {
	return strings.Replace(answer, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}

// The calls that discovery gets, by what the node knows and how calls before ended.
func TestGoldenDiscoveryCalls(t *testing.T) {
	const whole, empty = `{"rev":7,"all":true,"targets":[]}`, `{"rev":8,"all":false,"targets":[]}`
	call := func(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: #\r\n\r\n" }
	for name, test := range map[string]struct {
		rev     uint64 // that is known; 0: none
		asked   int    // times the node is told to ask; 0: it needs no word
		answers []string
		calls   []string
	}{
		"nothing is known": {
			answers: []string{listed(whole), listed(empty)},
			calls:   []string{call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"a version is known": {
			rev: 5, answers: []string{listed(empty)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"the largest version": {
			rev: 1<<64 - 1, answers: []string{listed(empty)},
			calls: []string{call("/v1/servers?from=18446744073709551615&hold_ms=1"), call("/v1/servers")},
		},
		"closed in good order": {
			rev: 5, answers: []string{closing(listed(empty))},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"refused": {
			rev: 5, answers: []string{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", listed(whole)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000")},
		},
		"asked for": {
			rev: 5, asked: 1, answers: []string{listed(empty)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"asked for, of nothing known": {
			asked: 1, answers: []string{listed(whole)},
			calls: []string{call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := recordingDiscovery(t, test.answers...)
			client := &DiscoveryClient{Addr: addr, Revision: test.rev, Full: test.rev == 0, OnFailure: func() {}}
			if test.asked > 0 {
				asked := make(chan struct{}, test.asked)
				for range test.asked {
					asked <- struct{}{}
				}
				client.PollRequests = asked
			}
			startDiscoveryClient(t, client)
			for _, want := range test.calls {
				select {
				case got := <-calls:
					if got = strings.Replace(got, "Host: "+addr, "Host: #", 1); got != want {
						t.Errorf("call\n%q, not\n%q", got, want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("no call %q", want)
				}
			}
		})
	}
}

// A peer message is one datagram of its own bytes, and nothing is put before or behind it; one of 256 bytes is the largest.
func TestGoldenDatagrams(t *testing.T) {
	var peers []*net.UDPConn
	var addrs []netip.AddrPort
	for range 3 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeConn(conn) })
		peers, addrs = append(peers, conn), append(addrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	counters := &Counters{}
	socket, err := OpenPeerSocket(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(addrs[:2], addrs[2]), counters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(socket.conn) })
	long := bytes.Repeat([]byte{0xff, 0, 7}, 86)[:256]
	for _, message := range []struct {
		to   int
		text []byte
		at   int // the peer that gets it; -1: nobody
	}{
		{to: 0, text: []byte{1, 0, 255}, at: 0},
		{to: 1, text: []byte("text\r\n"), at: 1},
		{to: -1, text: []byte("all"), at: 2},
		{to: 0, text: append(long, 1), at: -1},
		{to: 2, text: []byte("nobody"), at: -1},
		{to: 1, text: long, at: 1},
	} {
		socket.Send(message.to, message.text)
		if message.at < 0 {
			continue
		}
		buf := make([]byte, 1<<10)
		setReadDeadline(peers[message.at], time.Now().Add(5*time.Second))
		n, from, err := peers[message.at].ReadFromUDPAddrPort(buf)
		if err != nil || !bytes.Equal(buf[:n], message.text) || from.String() != socket.conn.LocalAddr().String() {
			t.Errorf("%q to %d came as %q from %v, %v", message.text, message.to, buf[:n], from, err)
		}
	}
	for peer, conn := range peers { // nothing more comes to anyone
		setReadDeadline(conn, time.Now().Add(20*time.Millisecond))
		if n, _, err := conn.ReadFromUDPAddrPort(make([]byte, 1<<10)); err == nil {
			t.Errorf("%d bytes more to peer %d", n, peer)
		}
	}
}

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
	counters := &Counters{}
	all := []*atomic.Int64{
		&counters.Connections, &counters.Requests, &counters.MalformedRequests, &counters.Completed, &counters.Rejected,
		&counters.Failed, &counters.ClientsGone, &counters.Denied, &counters.ResponsesUnwritten, &counters.Attempts,
		&counters.Dials, &counters.EndpointLists, &counters.MalformedLists, &counters.PeerMessagesSent,
		&counters.PeerMessagesUnsent, &counters.PeerMessagesReceived, &counters.PeerMessagesDropped, &counters.LogLinesDropped,
	}
	for outcome := range counters.AttemptOutcomes {
		all = append(all, &counters.AttemptOutcomes[outcome])
	}
	all = append(all, &counters.Shortages)
	for v := range counters.violations {
		all = append(all, &counters.violations[v])
	}
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

// The line of a connection's end, and the codes of why it ended, as of commit cf1acfb and now.
func TestGoldenConnectionClose(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	logClose(&log, sideServer, "10.0.0.1:80", reasonServerTimeout, time.Now().Add(-time.Hour), 3)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	age, ok := line["age_ms"].(float64)
	if delete(line, "age_ms"); !ok || age < 3.6e6 || age > 3.7e6 {
		t.Errorf("age_ms %v", age)
	}
	if want := map[string]any{
		"level": "info", "side": "server", "peer": "10.0.0.1:80", "reason": "server-timeout", "requests": 3.0,
		"message": "connection closed",
	}; !reflect.DeepEqual(line, want) {
		t.Errorf("got %v, not %v", line, want)
	}
	codes := []struct {
		is       closeReason
		old, now string
	}{
		{reasonClientClosed, "client-closed", "client-closed"},
		{reasonClientDisconnected, "client-gone", "client-disconnected"},
		{reasonClientRequestedClose, "client-last", "client-requested-close"},
		{reasonClientMalformed, "client-bad", "client-malformed"},
		{reasonClientTimeout, "client-slow", "client-timeout"},
		{reasonClientReset, "client-broken", "client-reset"},
		{reasonResponseUnwritten, "answer-broken", "response-unwritten"},
		{reasonNodeDraining, "node-drains", "node-draining"},
		{reasonNodeNearLimit, "node-tight", "node-near-limit"},
		{reasonEvicted, "evicted", "evicted"},
		{reasonServerClosed, "server-closed", "server-closed"},
		{reasonServerStale, "server-stale", "server-stale"},
		{reasonServerRequestedClose, "server-last", "server-requested-close"},
		{reasonServerReset, "server-broken", "server-reset"},
		{reasonServerMalformed, "server-bad", "server-malformed"},
		{reasonServerTimeout, "server-late", "server-timeout"},
		{reasonServerUnlisted, "server-unlisted", "server-unlisted"},
		{reasonAttemptCancelled, "withdrawn", "attempt-cancelled"},
		{reasonIdle, "idle", "idle"},
		{reasonDiscoveryClosed, "discovery-ended", "discovery-closed"},
	}
	seen := map[string]bool{}
	for _, code := range codes {
		if string(code.is) != code.now {
			t.Errorf("%s (was %s) is written as %q", code.now, code.old, code.is)
		}
		if seen[code.now] {
			t.Errorf("two ends are written as %q", code.now)
		}
		seen[code.now] = true
	}
}
