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
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// discovered is a fake discovery that sends on the bytes of each call and answers the next of its answers; where they end
// it holds the call.
func discovered(t *testing.T, answers ...string) (addr string, calls chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls = make(chan string, 99)
	var at atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var raw bytes.Buffer
				br := bufio.NewReader(io.TeeReader(conn, &raw))
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					calls <- raw.String()
					raw.Reset()
					k := int(at.Add(1)) - 1
					if k >= len(answers) {
						continue // held
					}
					if _, err := io.WriteString(conn, answers[k]); err != nil || strings.Contains(answers[k], "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), calls
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
	for name, c := range map[string]struct {
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
			log := zerolog.Nop()
			addr, calls := discovered(t, c.answers...)
			w := &DiscoveryClient{
				Addr: addr, Revision: c.rev, Full: c.rev == 0, Limits: roomy, Log: &log, Counters: &Counters{},
				OnList: func(*protocol.EndpointList) {}, OnFailure: func() {},
			}
			if c.asked > 0 {
				asked := make(chan struct{}, c.asked)
				for range c.asked {
					asked <- struct{}{}
				}
				w.PollRequests = asked
			}
			go w.Run()
			defer w.Stop()
			for _, want := range c.calls {
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
		t.Cleanup(func() { conn.Close() })
		peers, addrs = append(peers, conn), append(addrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	count := &Counters{}
	m, err := OpenPeerSocket(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(addrs[:2], addrs[2]), count)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.conn.Close() })
	long := bytes.Repeat([]byte{0xff, 0, 7}, 86)[:256]
	for _, c := range []struct {
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
		m.Send(c.to, c.text)
		if c.at < 0 {
			continue
		}
		buf := make([]byte, 1<<10)
		peers[c.at].SetReadDeadline(time.Now().Add(5 * time.Second))
		n, from, err := peers[c.at].ReadFromUDPAddrPort(buf)
		if err != nil || !bytes.Equal(buf[:n], c.text) || from.String() != m.conn.LocalAddr().String() {
			t.Errorf("%q to %d came as %q from %v, %v", c.text, c.to, buf[:n], from, err)
		}
	}
	for k, conn := range peers { // nothing more comes to anyone
		conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if n, _, err := conn.ReadFromUDPAddrPort(make([]byte, 1<<10)); err == nil {
			t.Errorf("%d bytes more to peer %d", n, k)
		}
	}
}

// counterNames are the counters' fields in the log, in their order: as of commit cf1acfb, and as they are called now.
var counterNames = []struct{ old, now string }{
	{"connections", "connections"},
	{"taken", "taken"},
	{"bad", "bad"},
	{"completed", "completed"},
	{"bounced", "bounced"},
	{"broken_off", "broken_off"},
	{"gone", "gone"},
	{"denied", "denied"},
	{"unanswered", "unanswered"},
	{"sent", "sent"},
	{"dialled", "dialled"},
	{"lists", "lists"},
	{"lists_bad", "lists_bad"},
	{"told", "told"},
	{"told_failed", "told_failed"},
	{"heard", "heard"},
	{"heard_bad", "heard_bad"},
	{"lines_lost", "lines_lost"},
	{"ended_completed", "ended_completed"},
	{"ended_errored", "ended_errored"},
	{"ended_turned_away", "ended_turned_away"},
	{"ended_timed_out", "ended_timed_out"},
	{"ended_unconnected", "ended_unconnected"},
	{"ended_broken", "ended_broken"},
	{"ended_withdrawn", "ended_withdrawn"},
	{"ended_unsent", "ended_unsent"},
	{"ended_spoilt", "ended_spoilt"},
}

// The counters in the log: names, order, and that each is written under its own name.
func TestGoldenCounters(t *testing.T) {
	c := &Counters{}
	fields := []*atomic.Int64{
		&c.Connections, &c.Requests, &c.MalformedRequests, &c.Completed, &c.Rejected, &c.Failed, &c.ClientsGone, &c.Denied,
		&c.ResponsesUnwritten, &c.Attempts, &c.Dials, &c.EndpointLists, &c.MalformedLists, &c.PeerMessagesSent, &c.PeerMessagesUnsent, &c.PeerMessagesReceived, &c.PeerMessagesDropped, &c.LogLinesDropped,
	}
	for o := range c.AttemptOutcomes {
		fields = append(fields, &c.AttemptOutcomes[o])
	}
	if len(fields) != len(counterNames) {
		t.Fatalf("%d counters, %d names", len(fields), len(counterNames))
	}
	var want strings.Builder
	for k, f := range fields {
		f.Store(int64(k) + 1)
		fmt.Fprintf(&want, ",%q:%d", counterNames[k].now, k+1)
	}
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().Object("counters", c).Msg("counters")
	if got, want := out.String(), `{"level":"info","counters":{`+want.String()[1:]+`},"message":"counters"}`+"\n"; got != want {
		t.Errorf("got\n%s, not\n%s", got, want)
	}
}

// The line of a connection's end, and the codes of why it ended, as of commit cf1acfb and now.
func TestGoldenConnectionEnds(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	logEnd(&log, "server", "10.0.0.1:80", serverLate, time.Now().Add(-time.Hour), 3)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	age, ok := line["age_ms"].(float64)
	if delete(line, "age_ms"); !ok || age < 3.6e6 || age > 3.7e6 {
		t.Errorf("age_ms %v", age)
	}
	if want := map[string]any{
		"level": "info", "side": "server", "peer": "10.0.0.1:80", "reason": "server-late", "tickets": 3.0,
		"message": "connection ended",
	}; !reflect.DeepEqual(line, want) {
		t.Errorf("got %v, not %v", line, want)
	}
	codes := []struct {
		is       reason
		old, now string
	}{
		{clientClosed, "client-closed", "client-closed"},
		{clientGone, "client-gone", "client-gone"},
		{clientLast, "client-last", "client-last"},
		{clientBad, "client-bad", "client-bad"},
		{clientSlow, "client-slow", "client-slow"},
		{clientBroken, "client-broken", "client-broken"},
		{answerBroken, "answer-broken", "answer-broken"},
		{nodeDrains, "node-drains", "node-drains"},
		{nodeTight, "node-tight", "node-tight"},
		{evicted, "evicted", "evicted"},
		{serverClosed, "server-closed", "server-closed"},
		{serverStale, "server-stale", "server-stale"},
		{serverLast, "server-last", "server-last"},
		{serverBroken, "server-broken", "server-broken"},
		{serverBad, "server-bad", "server-bad"},
		{serverLate, "server-late", "server-late"},
		{serverDropped, "server-unlisted", "server-unlisted"},
		{withdrawn, "withdrawn", "withdrawn"},
		{idled, "idle", "idle"},
		{discoveryEnded, "discovery-ended", "discovery-ended"},
	}
	for _, c := range codes {
		if string(c.is) != c.now {
			t.Errorf("%s (was %s) is written as %q", c.now, c.old, c.is)
		}
	}
	slices.SortFunc(codes, func(a, b struct {
		is       reason
		old, now string
	},
	) int {
		return strings.Compare(a.now, b.now)
	})
	for k := 1; k < len(codes); k++ {
		if codes[k].now == codes[k-1].now {
			t.Errorf("two ends are written as %q", codes[k].now)
		}
	}
}
