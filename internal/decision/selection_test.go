package decision

import (
	"testing"
)

// A node that uses few servers takes the one with the least out for its weight: by its turn alone it would add to a
// larger server's queue, under that one's cap yet, while a smaller one stands idle.
func TestOwnServerWithTheLeastOutComesFirst(t *testing.T) {
	n := plain(2, Settings{"nodes": "60", "peers": "true", "peers.take": "40"})
	n.endpoints.servers[1].Weight, n.endpoints.servers[1].inFlight, n.endpoints.servers[1].rotationCredit = 4, 1, 100
	n.AddRequest(Request{ID: 1, Timeout: Second, Units: 1, Spread: 1})
	if got := n.pick(&n.requests.all[0]); got != 0 {
		t.Fatalf("server %d was taken, with one out and the other idle", got)
	}
}
