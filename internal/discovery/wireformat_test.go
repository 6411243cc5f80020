package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/nettest"
)

// jsonListResponse returns a response with the JSON text of a list and its content type.
func jsonListResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// withConnectionClose adds Connection: close to a response.
func withConnectionClose(response string) string {
	return strings.Replace(response, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}

// Another form of a call would break the client's contract with discovery. The calls have the expected bytes, which depend on
// the known revision and on the responses to earlier calls.
func TestDiscoveryCallWireFormat(t *testing.T) {
	const fullList, noChanges = `{"rev":7,"all":true,"targets":[]}`, `{"rev":8,"all":false,"targets":[]}`
	call := func(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: #\r\n\r\n" }
	for name, test := range map[string]struct {
		revision     uint64 // known revision; 0 if no list is known
		pollRequests int    // number of poll requests of the decision engine; 0 in watch mode
		responses    []string
		calls        []string
	}{
		"no list is known": {
			responses: []string{jsonListResponse(fullList), jsonListResponse(noChanges)},
			calls:     []string{call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"a revision is known": {
			revision: 5, responses: []string{jsonListResponse(noChanges)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"revision is lower after the largest one": {
			revision: 1<<64 - 1, responses: []string{jsonListResponse(noChanges)},
			calls: []string{call("/v1/servers?from=18446744073709551615&hold_ms=1"), call("/v1/servers")},
		},
		"connection closed after a response": {
			revision: 5, responses: []string{withConnectionClose(jsonListResponse(noChanges))},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"call rejected": {
			revision: 5, responses: []string{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", jsonListResponse(fullList)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000")},
		},
		"poll request with a known revision": {
			revision: 5, pollRequests: 1, responses: []string{jsonListResponse(noChanges)},
			calls: []string{call("/v1/servers?from=5&hold_ms=1"), call("/v1/servers?from=8&hold_ms=1000")},
		},
		"poll request without a known list": {
			pollRequests: 1, responses: []string{jsonListResponse(fullList)},
			calls: []string{call("/v1/servers"), call("/v1/servers?from=7&hold_ms=1000")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := nettest.RecordCalls(t, test.responses...)
			client := &Client{Addr: addr, Revision: test.revision, NeedsFullList: test.revision == 0, OnFailure: func() {}}
			if test.pollRequests > 0 {
				pollRequests := make(chan struct{}, test.pollRequests)
				for range test.pollRequests {
					pollRequests <- struct{}{}
				}
				client.PollRequests = pollRequests
			}
			startDiscoveryClient(t, client)
			for _, want := range test.calls {
				select {
				case got := <-calls:
					if got = strings.Replace(got, "Host: "+addr, "Host: #", 1); got != want {
						t.Errorf("the client sent the call\n%q, want\n%q", got, want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("the client sent no call within 5 s, want %q", want)
				}
			}
		})
	}
}
