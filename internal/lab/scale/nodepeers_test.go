package scale

import (
	"slices"
	"testing"
)

// TestPeerMessagesAreCountedByKind guards against traffic that appears under the wrong kind in the result. The first byte
// determines the kind; messages with an unknown first byte are counted as "other".
func TestPeerMessagesAreCountedByKind(t *testing.T) {
	p := newPeerNetwork()
	p.countMessage([]byte{0xC8, 1, 2}, incoming)
	p.countMessage([]byte{0xCB}, outgoing)
	p.countMessage([]byte{0x41, 1}, outgoing)
	got := map[string]peerTraffic{}
	for _, traffic := range p.messageCounts() {
		got[kindName(traffic.Kind)] = traffic
	}
	want := map[string]peerTraffic{
		"use":    {Kind: 0xC8, In: 1, InBytes: 3},
		"grant":  {Kind: 0xC9},
		"doubts": {Kind: 0xCA},
		"ask":    {Kind: 0xCB, Out: 1, OutBytes: 1},
		"other":  {Out: 1, OutBytes: 2},
	}
	for name, traffic := range want {
		if got[name] != traffic {
			t.Errorf("messageCounts: traffic of kind %q is %+v, want %+v", name, got[name], traffic)
		}
	}
	if len(got) != len(want) {
		t.Errorf("messageCounts returned %d kinds, want %d: %+v", len(got), len(want), got)
	}
}

// TestBroadcastQueueDoesNotBlock guards against a sender that waits for slow receivers, and against queued messages that
// change when the sender reuses its buffer. A message that finds the queue full is counted as lost.
func TestBroadcastQueueDoesNotBlock(t *testing.T) {
	p := newPeerNetwork()
	payload := []byte{0xC8, 1}
	for range broadcastQueueSize + 3 {
		p.queueBroadcast(5, payload)
	}
	payload[1] = 2
	if first := <-p.broadcasts; first.from != 5 || !slices.Equal(first.payload, []byte{0xC8, 1}) || p.broadcastsLost.Load() != 3 {
		t.Errorf("first queued message is %+v with %d messages lost, want {from:5 payload:[200 1]} with 3 lost",
			first, p.broadcastsLost.Load())
	}
}
