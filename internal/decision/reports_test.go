package decision

import (
	"slices"
	"testing"

	"cherrygap/internal/settings"
)

// Reports that do not fit into one message are sent in further messages soon after. Otherwise peers would underestimate the
// demand of the customers that the first message leaves out. Malformed messages must not cause a panic.
func TestFullMessageIsFollowedByAnother(t *testing.T) {
	engine := newTestEngine(4, Settings{
		settings.Peers: settings.On, settings.PeerRate: "100", settings.PlanKey(0, settings.PlanRate): "1",
	})
	for id := range RequestID(100) {
		engine.AddRequest(Request{ID: id, Customer: 1<<32 + CustomerID(id), Timeout: Second, Units: 3, Spread: 3})
	}
	takeDecisions(engine, Forward)
	peer := newTestEngine(4, Settings{settings.Peers: settings.On, settings.PeerRate: "100", settings.Node: "1"})
	for now := Second; now < 2*Second; now += 100 {
		engine.SetTime(now)
		peer.SetTime(now)
		for _, d := range takeDecisions(engine, SendPeerMessage) {
			peer.ReceivePeerMessage(0, d.Payload)
		}
	}
	if len(peer.customers.all) != 100 {
		t.Fatalf("reports named %d customers within 1 s, want 100", len(peer.customers.all))
	}
	peer.ReceivePeerMessage(0, []byte{kindUse, 0x80})
	peer.ReceivePeerMessage(9, []byte{kindUse})
	peer.ReceivePeerMessage(0, []byte("other"))
}

// Without owners, one message is sent even if it is empty: peers would otherwise take this node for silent. Customers below
// half of their even share are left out, and excess reports wait: all at once would exceed the peer message rate. With
// owners, each report is sent to its customer's owner.
func TestReports(t *testing.T) {
	busy := decayingMean{sum: 99 * seconds(demandTimeConstant), at: Second}
	customers := []customer{{id: 1, spread: 4, demand: busy}, {id: 2, spread: 4}, {id: 3, spread: 4, demand: busy}}
	for _, c := range []struct {
		name          string
		usesOwners    bool
		peerRate      float64  // peer message rate, in messages a second
		pending       int      // customers with a report
		wantReceivers []NodeID // expected receivers of the messages
		wantWaiting   int      // expected number of reports that wait
	}{
		{"no pending report", false, 100, 0, []NodeID{AllPeers}, 0},
		{"customers with and without demand", false, 100, 3, []NodeID{AllPeers}, 0},
		{"reports to owners", true, 100, 3, []NodeID{2, 3}, 0}, // this node, number 1, owns the first customer
		{"no peer message rate", false, 0, 60, []NodeID{AllPeers, AllPeers}, 45},
		{"half the peer rate", false, 35, 60, []NodeID{AllPeers, AllPeers, AllPeers}, 33},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.usesOwners, cfg.peerRate = c.usesOwners, c.peerRate
			reports, out, allCustomers := usageReports{config: cfg}, outbox{}, slices.Clone(customers)
			for len(allCustomers) < c.pending {
				allCustomers = append(allCustomers, customer{id: CustomerID(1<<40 + len(allCustomers)), spread: 4, demand: busy})
			}
			for i := range c.pending {
				reports.add(&allCustomers[i], customerSlot(i), 2, 1)
				reports.add(&allCustomers[i], customerSlot(i), 3, 1)
			}
			reports.write(&out, allCustomers, &quotaOwner{config: cfg}, &tenantQuota{config: cfg}, Second)
			receivers := []NodeID{}
			for _, m := range out.messages {
				receivers = append(receivers, m.to)
				if decoded, ok := decodeMessage(m.payload, 1, 4); !ok || decoded.kind != kindUse || len(m.payload) > maxMessageBytes {
					t.Errorf("message %x is decoded as kind %#x, valid %v, length %d; want kind %#x, valid, at most %d bytes",
						m.payload, decoded.kind, ok, len(m.payload), kindUse, maxMessageBytes)
				} else if len(decoded.reports) > 0 && (decoded.reports[0].demand != 5 || decoded.reports[0].use != 2) {
					t.Errorf("first report = %+v, want demand 5 and use 2", decoded.reports[0])
				}
			}
			if !slices.Equal(receivers, c.wantReceivers) || len(reports.pending) != c.wantWaiting {
				t.Errorf("messages went to nodes %v (%d for all peers) and %d reports wait, want %v and %d",
					receivers, AllPeers, len(reports.pending), c.wantReceivers, c.wantWaiting)
			}
		})
	}
}
