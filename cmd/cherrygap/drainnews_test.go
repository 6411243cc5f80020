package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	labdiscovery "cherrygap/internal/lab/discovery"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

const (
	drainRounds     = 5
	drainRequests   = 40                     // requests that come during each pause, over connections of their own
	drainPause      = 300 * time.Millisecond // longer than the grace of a drain
	drainTimeout    = 3 * time.Second        // timeout of a request
	drainingServers = 2                      // app servers that drain during the pause, of three
)

// countingServer is an app server that counts its requests.
type countingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func startCountingServer(t *testing.T) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.listener = nodetest.ServeHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		s.requests.Add(1)
		_, _ = fmt.Fprint(w, nodetest.RequestBody) // fails if the node has closed the connection
	})
	return s
}

// endpoint returns the server's entry in discovery's list.
func (s *countingServer) endpoint() labdiscovery.Endpoint {
	address := s.listener.Addr().String()
	return labdiscovery.Endpoint{
		Endpoint: protocol.Endpoint{UID: address, Addr: netip.MustParseAddrPort(address), State: protocol.InService, Weight: 1}, Listed: true,
	}
}

// Protects against requests to servers that drain since a pause of the process: what discovery has sent meanwhile is applied before
// the requests that came meanwhile are sent (review/9).
func TestDrainDuringAPauseIsAppliedBeforeFurtherRequests(t *testing.T) {
	var servers []*countingServer
	var endpoints []labdiscovery.Endpoint
	var listeners []net.Listener
	var draining []int
	for i := range drainingServers + 1 {
		s := startCountingServer(t)
		servers, endpoints, listeners = append(servers, s), append(endpoints, s.endpoint()), append(listeners, s.listener)
		if i < drainingServers {
			draining = append(draining, i)
		}
	}
	agent, err := labdiscovery.Start(endpoints, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	p := startNodeProcess(t, agent.Addr(0), leastDescriptors, listeners...)
	publish := func(state protocol.EndpointState) (uint64, time.Time) {
		return agent.Publish(func(e *labdiscovery.Endpoint) { e.State = state }, draining...)
	}
	var clients []net.Conn
	for i := range drainRequests {
		conn := nodetest.SendRequest(t, p.address, fmt.Sprint("warm-up-", i), drainTimeout)
		readAnswer(t, conn)
		clients = append(clients, conn)
	}
	for round := range drainRounds {
		revision, at := publish(protocol.InService)
		p.eventually(t, "the servers to be in service", func() bool { return !agent.AppliedAt(0, revision, at).IsZero() })
		p.pause(t)
		publish(protocol.Terminating)
		for i, conn := range clients {
			if _, err := fmt.Fprint(conn, nodetest.RequestText(fmt.Sprintf("paused-%d-%d", round, i), drainTimeout)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(drainPause)
		drainingBefore, servingBefore := servers[0].requests.Load()+servers[1].requests.Load(), servers[drainingServers].requests.Load()
		p.resume(t)
		for _, conn := range clients {
			readAnswer(t, conn)
		}
		toDraining := servers[0].requests.Load() + servers[1].requests.Load() - drainingBefore
		toServing := servers[drainingServers].requests.Load() - servingBefore
		if toDraining > 0 || toServing == 0 {
			t.Errorf("round %d: %d requests went to servers that drain since before the end of the pause and %d to the other, want none and some",
				round, toDraining, toServing)
		}
	}
}

// readAnswer reads a response and fails the test unless the request was served or rejected.
func readAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // drops the short body with the reader's buffer
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d or %d", response.StatusCode, http.StatusOK, http.StatusServiceUnavailable)
	}
}
