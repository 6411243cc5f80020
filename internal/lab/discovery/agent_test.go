package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

// discoveryCall makes a call to the agent over a new connection and returns the response.
func discoveryCall(addr string, full bool, revision uint64, hold time.Duration) (protocol.EndpointList, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return protocol.EndpointList{}, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return protocol.EndpointList{}, err
	}
	call := protocol.DiscoveryCall{Full: full, Revision: revision, Hold: hold}
	if _, err := conn.Write(protocol.AppendDiscoveryCall(nil, addr, call)); err != nil {
		return protocol.EndpointList{}, err
	}
	list, _, err := protocol.ReadEndpointList(bufio.NewReader(conn))
	return list, err
}

// startTestAgent starts an agent with four servers, three of them listed, and two watches.
func startTestAgent(t *testing.T) *Agent {
	t.Helper()
	list := make([]Endpoint, 4)
	for i := range list {
		list[i] = Endpoint{Endpoint: protocol.Endpoint{
			UID: fmt.Sprint("s", i), Addr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)), State: protocol.InService,
		}, Listed: i < 3}
	}
	agent, err := Start(list, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return agent
}

// checkList compares a response with the expected one. want has the UID and the state of each endpoint. call describes the
// call in the message.
func checkList(t *testing.T, call string, list protocol.EndpointList, err error, full bool, revision uint64, want ...string) {
	t.Helper()
	got := []string{}
	for _, e := range list.Endpoints {
		got = append(got, fmt.Sprintf("%s %d", e.UID, e.State))
	}
	if err != nil || list.Full != full || list.Revision != revision || !slices.Equal(got, want) {
		t.Errorf("%s: got error %v and a list with full %v, revision %d, endpoints %v; want no error, full %v, revision %d, endpoints %v "+
			"(states: %d in service, %d terminating)",
			call, err, list.Full, list.Revision, got, full, revision, want, protocol.InService, protocol.Terminating)
	}
}

// Guards against an agent that sends a wrong revision, the full list instead of changes, or changes that a node already has.
// Without a change a call waits until the end of its hold time, and then gets an empty list.
func TestAgentSendsChanges(t *testing.T) {
	agent := startTestAgent(t)
	addr := agent.Addr(1)
	inService := func(uid string) string { return fmt.Sprintf("%s %d", uid, protocol.InService) }
	list, err := discoveryCall(addr, true, 0, 0)
	checkList(t, "first call", list, err, true, 1, inService("s0"), inService("s1"), inService("s2"))
	list, err = discoveryCall(addr, false, 1, time.Millisecond)
	checkList(t, "call without a change", list, err, false, 1)
	type response struct {
		list protocol.EndpointList
		err  error
	}
	responses := make(chan response, 1)
	go func() {
		list, err := discoveryCall(addr, false, 1, 3*time.Second)
		responses <- response{list, err}
	}()
	revision, _ := agent.Publish(func(e *Endpoint) { e.State = protocol.Terminating }, 2)
	got := <-responses
	checkList(t, "call that waits for a change", got.list, got.err, false, revision, fmt.Sprintf("s2 %d", protocol.Terminating))
	agent.Publish(func(*Endpoint) {}, 3)
	list, err = discoveryCall(addr, false, revision, 0)
	checkList(t, "call after a server was added", list, err, false, revision+1, inService("s3"))
}

// Guards against a change that counts as applied too early. A node has applied a change once it calls again with the change's
// revision. The response alone does not prove that, and neither does a call of another node.
func TestChangeIsAppliedWithTheNextCall(t *testing.T) {
	agent := startTestAgent(t)
	addr := agent.Addr(1)
	revision, at := agent.Publish(func(e *Endpoint) { e.State = protocol.Terminating }, 2)
	if _, err := discoveryCall(addr, false, 1, 3*time.Second); err != nil {
		t.Fatalf("call that gets the change: %v", err)
	}
	if !agent.AppliedAt(1, revision, at).IsZero() || !agent.AppliedAt(0, revision, at).IsZero() {
		t.Errorf("before the node's next call: AppliedAt(1) = %v, AppliedAt(0) = %v, want zero times",
			agent.AppliedAt(1, revision, at), agent.AppliedAt(0, revision, at))
	}
	if _, err := discoveryCall(addr, false, revision, 0); err != nil {
		t.Fatalf("call that acknowledges the change: %v", err)
	}
	if agent.AppliedAt(1, revision, at).IsZero() || !agent.AppliedAt(0, revision, at).IsZero() {
		t.Errorf("after the next call of node 1: AppliedAt(1) = %v, AppliedAt(0) = %v, want a time and the zero time",
			agent.AppliedAt(1, revision, at), agent.AppliedAt(0, revision, at))
	}
}

// Guards against a disconnected watch that misses changes. While the watches are disconnected no call gets a response. After
// Reconnect a call for changes gets the full list.
func TestDisconnectedWatchesGetFullListLater(t *testing.T) {
	agent := startTestAgent(t)
	addr := agent.Addr(1)
	agent.Publish(func(e *Endpoint) { e.State = protocol.Terminating }, 2)
	agent.Publish(func(*Endpoint) {}, 3)
	agent.DisconnectAll()
	if l, err := discoveryCall(addr, false, 2, 0); err == nil {
		t.Errorf("call while disconnected: got response %+v, want an error", l)
	}
	agent.Reconnect()
	if l, err := discoveryCall(addr, false, 3, 0); err != nil || !l.Full || len(l.Endpoints) != 4 {
		t.Errorf("call after Reconnect: got list %+v, error %v, want a full list of 4 endpoints and no error", l, err)
	}
}
