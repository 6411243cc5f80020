package scale

import (
	"slices"
	"testing"
)

// Messages are counted by their first byte; what no kind has is counted as other.
func TestPeerMessagesAreCountedByKind(t *testing.T) {
	p := newPeerNetwork()
	p.countMessage([]byte{0xC8, 1, 2}, true)
	p.countMessage([]byte{0xCB}, false)
	p.countMessage([]byte{0x41, 1}, false)
	got := map[string]peerTraffic{}
	for _, kind := range p.counts() {
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

// A full queue loses a message and counts it; one in the queue keeps its bytes whatever becomes of the sender's buffer.
func TestBroadcastQueueNeverWaits(t *testing.T) {
	p := newPeerNetwork()
	payload := []byte{0xC8, 1}
	for range broadcastQueue + 3 {
		p.queueBroadcast(5, payload)
	}
	payload[1] = 2
	if first := <-p.broadcasts; first.from != 5 || !slices.Equal(first.payload, []byte{0xC8, 1}) || p.broadcastsLost.Load() != 3 {
		t.Errorf("%+v, %d lost", first, p.broadcastsLost.Load())
	}
}
