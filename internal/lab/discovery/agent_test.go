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

// discoveryCall makes a call to the agent over a new connection.
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

// testAgent starts an agent with four servers, three of them listed, and two watches.
func testAgent(t *testing.T) *Agent {
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

// checkList compares a response with the expected one. want has the UID and the state of each endpoint.
func checkList(t *testing.T, what string, list protocol.EndpointList, err error, full bool, revision uint64, want ...string) {
	t.Helper()
	got := []string{}
	for _, e := range list.Endpoints {
		got = append(got, fmt.Sprintf("%s %d", e.UID, e.State))
	}
	if err != nil || list.Full != full || list.Revision != revision || !slices.Equal(got, want) {
		t.Errorf("%s: full %v, revision %d, %v, %v; want full %v, revision %d, %v",
			what, list.Full, list.Revision, got, err, full, revision, want)
	}
}

// The agent sends the full list, then each change, and no changes at the end of a call's hold time.
func TestAgentSendsChanges(t *testing.T) {
	agent := testAgent(t)
	addr := agent.Addr(1)
	inService := func(uid string) string { return fmt.Sprintf("%s %d", uid, protocol.InService) }
	list, err := discoveryCall(addr, true, 0, 0)
	checkList(t, "at first", list, err, true, 1, inService("s0"), inService("s1"), inService("s2"))
	list, err = discoveryCall(addr, false, 1, time.Millisecond)
	checkList(t, "nothing new", list, err, false, 1)
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
	checkList(t, "a change", got.list, got.err, false, revision, fmt.Sprintf("s2 %d", protocol.Terminating))
	agent.Publish(func(*Endpoint) {}, 3)
	list, err = discoveryCall(addr, false, revision, 0)
	checkList(t, "a server that is added", list, err, false, revision+1, inService("s3"))
}

// A change is applied at a node once the node calls again with its revision, and at no other node.
func TestChangeIsAppliedWithTheNextCall(t *testing.T) {
	agent := testAgent(t)
	addr := agent.Addr(1)
	revision, at := agent.Publish(func(e *Endpoint) { e.State = protocol.Terminating }, 2)
	if _, err := discoveryCall(addr, false, 1, 3*time.Second); err != nil {
		t.Fatal(err)
	}
	if !agent.AppliedAt(1, revision, at).IsZero() || !agent.AppliedAt(0, revision, at).IsZero() {
		t.Error("applied before the node calls again")
	}
	if _, err := discoveryCall(addr, false, revision, 0); err != nil {
		t.Fatal(err)
	}
	if agent.AppliedAt(1, revision, at).IsZero() || !agent.AppliedAt(0, revision, at).IsZero() {
		t.Error("not applied once the node calls again, or at another node")
	}
}

// While watches are disconnected no call gets a response. After that every call gets the full list.
func TestDisconnectedWatchesGetFullListLater(t *testing.T) {
	agent := testAgent(t)
	addr := agent.Addr(1)
	agent.Publish(func(e *Endpoint) { e.State = protocol.Terminating }, 2)
	agent.Publish(func(*Endpoint) {}, 3)
	agent.DisconnectAll()
	if l, err := discoveryCall(addr, false, 2, 0); err == nil {
		t.Errorf("response while disconnected: %+v", l)
	}
	agent.Reconnect()
	if l, err := discoveryCall(addr, false, 3, 0); err != nil || !l.Full || len(l.Endpoints) != 4 {
		t.Errorf("after Reconnect: %+v, %v", l, err)
	}
}
