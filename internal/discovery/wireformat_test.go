package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/nettest"
)

// listed is a response of discovery.
func listed(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// closing adds Connection: close to a response.
func closing(answer string) string {
	return strings.Replace(answer, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}

// The bytes of calls to discovery, by the known revision and the ends of earlier calls.
func TestDiscoveryCallWireFormat(t *testing.T) {
	const whole, empty = `{"rev":7,"all":true,"targets":[]}`, `{"rev":8,"all":false,"targets":[]}`
	call := func(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: #\r\n\r\n" }
	for name, test := range map[string]struct {
		rev     uint64 // the known revision; 0: none
		asked   int    // poll requests of the engine; 0: watch mode
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
			addr, calls := nettest.RecordCalls(t, test.answers...)
			client := &Client{Addr: addr, Revision: test.rev, NeedsFullList: test.rev == 0, OnFailure: func() {}}
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
