package scale

import (
	"slices"
	"testing"
)

// Messages are counted by their first byte, and as "other" if no kind has it.
func TestPeerMessagesAreCountedByKind(t *testing.T) {
	p := newPeerNetwork()
	p.countMessage([]byte{0xC8, 1, 2}, incoming)
	p.countMessage([]byte{0xCB}, outgoing)
	p.countMessage([]byte{0x41, 1}, outgoing)
	got := map[string]peerTraffic{}
	for _, kind := range p.messageCounts() {
		got[kindName(kind.Kind)] = kind
	}
	want := map[string]peerTraffic{
		"use":    {Kind: 0xC8, In: 1, InBytes: 3},
		"grant":  {Kind: 0xC9},
		"doubts": {Kind: 0xCA},
		"ask":    {Kind: 0xCB, Out: 1, OutBytes: 1},
		"other":  {Out: 1, OutBytes: 2},
	}
	for name, kind := range want {
		if got[name] != kind {
			t.Errorf("%s: %+v, want %+v", name, got[name], kind)
		}
	}
	if len(got) != len(want) {
		t.Errorf("kinds %+v", got)
	}
}

// A message that finds the queue full is counted as lost. A queued message is a copy of the sender's buffer.
func TestBroadcastQueueDoesNotBlock(t *testing.T) {
	p := newPeerNetwork()
	payload := []byte{0xC8, 1}
	for range broadcastQueueSize + 3 {
		p.queueBroadcast(5, payload)
	}
	payload[1] = 2
	if first := <-p.broadcasts; first.from != 5 || !slices.Equal(first.payload, []byte{0xC8, 1}) || p.broadcastsLost.Load() != 3 {
		t.Errorf("%+v, %d lost", first, p.broadcastsLost.Load())
	}
}
