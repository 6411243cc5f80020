package decision

import (
	"testing"
)

// A large fleet's customers do not fit into one message: the next follows soon and names the others.
func TestFullMessageIsFollowedByAnother(t *testing.T) {
	n := plain(4, Settings{"peers": "true", "peers.take": "100", "plan.0.rate": "1"})
	for id := range RequestID(100) {
		n.AddRequest(Request{ID: id, Customer: 1<<32 + CustomerID(id), Timeout: Second, Units: 3, Spread: 3})
	}
	pull(n, Forward)
	peer := plain(4, Settings{"peers": "true", "peers.take": "100", "node": "1"})
	for now := Second; now < 2*Second; now += 100 {
		n.SetTime(now)
		peer.SetTime(now)
		for _, d := range pull(n, SendPeerMessage) {
			peer.ReceivePeerMessage(0, d.Payload)
		}
	}
	if len(peer.customers.all) != 100 {
		t.Fatalf("%d customers of 100 were named", len(peer.customers.all))
	}
	peer.ReceivePeerMessage(0, []byte{kindUse, 0x80})
	peer.ReceivePeerMessage(9, []byte{kindUse})
	peer.ReceivePeerMessage(0, []byte("other"))
}
