package decision

import (
	"math"
	"slices"

	"cherrygap/internal/numeric"
)

// endpointOrder holds the shuffle of the usable servers that all nodes of a group share. A hash determines the order. If
// zones alternate, each zone has an order of its own. A change of one server costs a binary search, and a move of the
// keys behind that server in its zone. The zero value holds no server. The order must be built before a server is placed.
type endpointOrder struct {
	built      bool // the order matches the list, group and zoneLayout
	group      int  // number of the group of nodes that share the shuffle, from 0
	zoneLayout zoneLayout
	zones      [math.MaxUint8 + 1]zoneOrder
	usedZones  []uint8                 // zones that have held a server, in order of first use
	cells      map[uint16][]serverSlot // slots of each cell, ascending
	count      int                     // number of servers in the order
}

// zoneOrder holds the servers of one zone.
type zoneOrder struct {
	keys     []uint64 // sort keys, ascending; the upper half is the hash, the lower half the slot
	nextKey  int      // index of a walk's next key, modulo the number of keys
	position float64  // position of nextKey in the round; +Inf if the zone is empty
}

// key returns a server's sort key.
func (o *endpointOrder) key(s *server, slot serverSlot) uint64 {
	return uint64(hashPair(uint32(s.Server), uint32(o.group)))<<32 | uint64(slot)
}

// place adds, moves or removes a server according to its current entry of the endpoint list.
func (o *endpointOrder) place(s *server, slot serverSlot) {
	moved := s.orderZone != o.zoneOf(s) || s.orderCell != s.Cell
	if s.ordered && (!s.usable() || moved) {
		o.remove(s, slot)
	}
	if s.usable() && !s.ordered {
		o.insert(s, slot)
	}
}

// remove removes a server, which must be in the order.
func (o *endpointOrder) remove(s *server, slot serverSlot) {
	z := &o.zones[s.orderZone]
	if k, ok := slices.BinarySearch(z.keys, o.key(s, slot)); ok {
		z.keys = slices.Delete(z.keys, k, k+1)
		o.count--
	}
	cell := o.cells[s.orderCell]
	if k, ok := slices.BinarySearch(cell, slot); ok {
		o.cells[s.orderCell] = slices.Delete(cell, k, k+1)
	}
	if len(cell) <= 1 {
		delete(o.cells, s.orderCell)
	}
	s.ordered = false
}

// insert adds a server, which must not be in the order.
func (o *endpointOrder) insert(s *server, slot serverSlot) {
	s.ordered, s.orderZone, s.orderCell = true, o.zoneOf(s), s.Cell
	z := o.zone(s.orderZone)
	key := o.key(s, slot)
	k, _ := slices.BinarySearch(z.keys, key)
	z.keys = slices.Insert(z.keys, k, key)
	cell := o.cells[s.Cell]
	k, _ = slices.BinarySearch(cell, slot)
	o.cells[s.Cell] = slices.Insert(cell, k, slot)
	o.count++
}

// zoneOf returns the zone under which the order holds a server.
func (o *endpointOrder) zoneOf(s *server) uint8 {
	if o.zoneLayout == zonesAlternating {
		return s.Zone
	}
	return 0
}

// zone returns the order of one zone, and adds the zone to usedZones.
func (o *endpointOrder) zone(zone uint8) *zoneOrder {
	if !slices.Contains(o.usedZones, zone) {
		o.usedZones = append(o.usedZones, zone)
	}
	return &o.zones[zone]
}

// build replaces the order by one of all usable servers, for a group of nodes and a zone layout.
func (o *endpointOrder) build(servers []server, group int, layout zoneLayout) {
	o.built, o.group, o.zoneLayout = true, group, layout
	o.count, o.cells = 0, map[uint16][]serverSlot{}
	for _, zone := range o.usedZones {
		o.zones[zone].keys = o.zones[zone].keys[:0]
	}
	o.usedZones = o.usedZones[:0]
	for i := range servers {
		s := &servers[i]
		s.ordered = s.usable()
		if !s.ordered {
			continue
		}
		s.orderZone, s.orderCell = o.zoneOf(s), s.Cell
		z := o.zone(s.orderZone)
		z.keys = append(z.keys, o.key(s, serverSlot(i)))
		o.cells[s.Cell] = append(o.cells[s.Cell], serverSlot(i))
		o.count++
	}
	for _, zone := range o.usedZones {
		slices.Sort(o.zones[zone].keys)
	}
}

// walk calls visit for up to count servers, each at most once, from a start position in [0, 1). Each zone's servers have
// evenly spaced positions in a round, offset by a phase. Therefore any stretch of the walk holds each zone's share, to
// within one server.
func (o *endpointOrder) walk(start float64, count int, visit func(slot serverSlot)) {
	for k, zone := range o.usedZones {
		z := &o.zones[zone]
		phase := o.phase(k)
		z.nextKey = numeric.Truncate[int](math.Ceil(start*float64(len(z.keys)) - phase))
		z.advance(phase, 0)
	}
	for range min(count, o.count) {
		var first *zoneOrder
		var phase float64
		for k, zone := range o.usedZones {
			if z := &o.zones[zone]; first == nil || z.position < first.position {
				first, phase = z, o.phase(k)
			}
		}
		visit(serverSlot(uint32(first.keys[first.nextKey%len(first.keys)])))
		first.advance(phase, 1)
	}
}

// phase returns the offset of the k-th used zone, as a fraction of the distance between two of its servers.
func (o *endpointOrder) phase(k int) float64 { return (float64(k) + 0.5) / float64(len(o.usedZones)) }

// advance moves the walk of a zone forward by a number of servers, and sets the position.
func (z *zoneOrder) advance(phase float64, by int) {
	z.nextKey += by
	z.position = math.Inf(1)
	if len(z.keys) > 0 {
		z.position = (float64(z.nextKey) + phase) / float64(len(z.keys))
	}
}
