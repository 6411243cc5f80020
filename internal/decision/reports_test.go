package decision

import (
	"slices"
	"testing"

	"cherrygap/internal/settings"
)

// Reports that do not fit into one message are sent in further ones soon after.
func TestFullMessageIsFollowedByAnother(t *testing.T) {
	n := plain(4, Settings{
		settings.Peers: settings.On, settings.PeerRate: "100", settings.PlanKey(0, settings.PlanRate): "1",
	})
	for id := range RequestID(100) {
		n.AddRequest(Request{ID: id, Customer: 1<<32 + CustomerID(id), Timeout: Second, Units: 3, Spread: 3})
	}
	pull(n, Forward)
	peer := plain(4, Settings{settings.Peers: settings.On, settings.PeerRate: "100", settings.Node: "1"})
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

// Without owners one message is sent even if empty, customers below half of their even share are left out, and excess
// reports wait. With owners, each report is sent to its owner.
func TestReports(t *testing.T) {
	busy := decayingMean{sum: 99 * seconds(demandTimeConstant), at: Second}
	customers := []customer{{id: 1, spread: 4, demand: busy}, {id: 2, spread: 4}, {id: 3, spread: 4, demand: busy}}
	for _, c := range []struct {
		name   string
		owners bool
		rate   float64
		many   int
		to     []NodeID
		left   int
	}{
		{"nothing new", false, 100, 0, []NodeID{AllPeers}, 0},
		{"busy and idle ones", false, 100, 3, []NodeID{AllPeers}, 0},
		{"owners", true, 100, 3, []NodeID{2, 3}, 0}, // node 1 owns the first itself
		{"little room", false, 0, 60, []NodeID{AllPeers, AllPeers}, 45},
		{"half the peer rate", false, 35, 60, []NodeID{AllPeers, AllPeers, AllPeers}, 33},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.usesOwners, cfg.peerRate = c.owners, c.rate
			u, out, all := usageReports{config: cfg}, outbox{}, slices.Clone(customers)
			for len(all) < c.many {
				all = append(all, customer{id: CustomerID(1<<40 + len(all)), spread: 4, demand: busy})
			}
			for i := range c.many {
				u.add(&all[i], customerSlot(i), 2, 1)
				u.add(&all[i], customerSlot(i), 3, 1)
			}
			u.write(&out, all, &quotaOwner{config: cfg}, &tenantQuota{config: cfg}, Second)
			to := []NodeID{}
			for _, m := range out.messages {
				to = append(to, m.to)
				if decoded, ok := decodeMessage(m.payload, 1, 4); !ok || decoded.kind != kindUse || len(m.payload) > maxMessageBytes {
					t.Errorf("message %x", m.payload)
				} else if len(decoded.reports) > 0 && (decoded.reports[0].demand != 5 || decoded.reports[0].use != 2) {
					t.Errorf("reported %+v", decoded.reports[0])
				}
			}
			if !slices.Equal(to, c.to) || len(u.pending) != c.left {
				t.Errorf("to %v, %d wait", to, len(u.pending))
			}
		})
	}
}
