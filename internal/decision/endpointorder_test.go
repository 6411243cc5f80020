package decision

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Single changes lead to the same order as building it at once. A walk visits each usable server once, and any stretch
// of it holds each zone's share, to within one server.
func TestOrderIsTheSameByChangesAndAtOnce(t *testing.T) {
	r := rand.New(rand.NewSource(34))
	for range 30 {
		zones := 1 + r.Intn(12)
		var kept endpointOrder
		kept.build(nil, 3, zonesAlternating)
		servers := make([]server, 20+r.Intn(200))
		for range 5 * len(servers) {
			k := r.Intn(len(servers))
			s := &servers[k]
			s.Endpoint = Endpoint{Server: ServerID(k * 7919), Zone: uint8(r.Intn(zones)), Cell: uint16(r.Intn(9)), State: EndpointState(r.Intn(2))}
			s.listed = r.Intn(4) > 0
			kept.place(s, serverSlot(k))
		}
		var built endpointOrder
		other := slices.Clone(servers)
		built.build(other, 3, zonesAlternating)
		usable, ofZone := 0, make([]int, zones)
		for _, s := range servers {
			if s.usable() {
				usable++
				ofZone[s.Zone]++
			}
		}
		sameOrder(t, &kept, &built)
		if kept.count != usable || built.count != usable {
			t.Fatalf("%d and %d of %d servers", kept.count, built.count, usable)
		}
		from, seen, count := r.Float64(), map[serverSlot]int{}, make([]int, zones)
		kept.walk(from, len(servers)+1, func(slot serverSlot) {
			seen[slot]++
			count[servers[slot].Zone]++
			for zone, k := range count {
				part := float64(ofZone[zone]) * float64(len(seen)) / float64(usable)
				if math.Abs(float64(k)-part) > 1.5 {
					t.Fatalf("after %d of %d servers, %d of zone %d, its share is %.1f", len(seen), usable, k, zone, part)
				}
			}
		})
		if len(seen) != usable {
			t.Fatalf("a walk visits %d of %d servers", len(seen), usable)
		}
		for slot, k := range seen {
			if k != 1 || !servers[slot].usable() {
				t.Fatalf("server %d was visited %d times", slot, k)
			}
		}
	}
}

func sameOrder(t *testing.T, kept, built *endpointOrder) {
	t.Helper()
	if len(kept.cells) != len(built.cells) {
		t.Fatalf("%d cells by changes, %d at once", len(kept.cells), len(built.cells))
	}
	for cell, slots := range built.cells {
		if !slices.Equal(kept.cells[cell], slots) {
			t.Fatalf("cell %d: %v by changes, %v at once", cell, kept.cells[cell], slots)
		}
	}
	for zone := range kept.zones {
		if !slices.Equal(kept.zones[zone].keys, built.zones[zone].keys) {
			t.Fatalf("zone %d: %d servers by changes, %d at once", zone, len(kept.zones[zone].keys), len(built.zones[zone].keys))
		}
	}
}
