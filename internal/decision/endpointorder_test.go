package decision

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Single changes lead to the same order as building it at once. Otherwise nodes that received different updates would use
// different orders, and the load of the servers would be uneven. A walk visits each usable server once, and any stretch of
// the walk holds each zone's share, to within one server.
func TestOrderIsTheSameByChangesAndAtOnce(t *testing.T) {
	rng := rand.New(rand.NewSource(34))
	for range 30 {
		zones := 1 + rng.Intn(12)
		var kept endpointOrder
		kept.build(nil, 3, zonesAlternating)
		servers := make([]server, 20+rng.Intn(200))
		for range 5 * len(servers) {
			k := rng.Intn(len(servers))
			s := &servers[k]
			s.Endpoint = Endpoint{Server: ServerID(k * 7919), Zone: uint8(rng.Intn(zones)), Cell: uint16(rng.Intn(9)), State: EndpointState(rng.Intn(2))}
			s.listed = rng.Intn(4) > 0
			kept.place(s, serverSlot(k))
		}
		var built endpointOrder
		copied := slices.Clone(servers)
		built.build(copied, 3, zonesAlternating)
		usable, usableInZone := 0, make([]int, zones)
		for _, s := range servers {
			if s.usable() {
				usable++
				usableInZone[s.Zone]++
			}
		}
		requireSameOrder(t, &kept, &built)
		if kept.count != usable || built.count != usable {
			t.Fatalf("%d servers in %d zones: count = %d after single changes and %d when built at once, want %d",
				len(servers), zones, kept.count, built.count, usable)
		}
		start, visits, visitedInZone := rng.Float64(), map[serverSlot]int{}, make([]int, zones)
		kept.walk(start, len(servers)+1, func(slot serverSlot) {
			visits[slot]++
			visitedInZone[servers[slot].Zone]++
			for zone, k := range visitedInZone {
				share := float64(usableInZone[zone]) * float64(len(visits)) / float64(usable)
				if math.Abs(float64(k)-share) > 1.5 {
					t.Fatalf("after %d of %d usable servers, the walk has visited %d servers of zone %d, want %.2f with a tolerance of 1.5", len(visits), usable, k, zone, share)
				}
			}
		})
		if len(visits) != usable {
			t.Fatalf("the walk visited %d of %d servers in %d zones, want the %d usable ones", len(visits), len(servers), zones, usable)
		}
		for slot, k := range visits {
			if k != 1 || !servers[slot].usable() {
				t.Fatalf("the walk visited slot %d (usable %v) %d times, want one visit of a usable server", slot, servers[slot].usable(), k)
			}
		}
	}
}

// requireSameOrder fails the test unless an order kept by single changes equals one built at once.
func requireSameOrder(t *testing.T, kept, built *endpointOrder) {
	t.Helper()
	if len(kept.cells) != len(built.cells) {
		t.Fatalf("the order has %d cells after single changes, want %d as when built at once", len(kept.cells), len(built.cells))
	}
	for cell, slots := range built.cells {
		if !slices.Equal(kept.cells[cell], slots) {
			t.Fatalf("cell %d holds slots %v after single changes, want %v as when built at once", cell, kept.cells[cell], slots)
		}
	}
	for zone := range kept.zones {
		if !slices.Equal(kept.zones[zone].keys, built.zones[zone].keys) {
			t.Fatalf("zone %d holds keys %x after single changes, want %x as when built at once", zone, kept.zones[zone].keys, built.zones[zone].keys)
		}
	}
}
