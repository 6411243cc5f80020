package decision

import (
	"math"
	"slices"
)

// endpointOrder holds the usable servers in an order that all nodes of a group share. It shuffles them by a hash. If zones
// alternate, it shuffles each zone separately. A change of one server costs a binary search, and a move of the keys
// behind it in its zone. The zero value holds no server and is not built.
type endpointOrder struct {
	built      bool // the order matches group and zoneLayout
	group      int  // group of nodes that share the shuffle, from 0
	zoneLayout zoneLayout
	zones      [math.MaxUint8 + 1]zoneOrder
	used       []uint8                 // zones that have held a server, in order of first use
	cells      map[uint16][]serverSlot // slots by cell, ascending
	count      int                     // servers in the order
}

// zoneOrder holds the servers of one zone.
type zoneOrder struct {
	keys     []uint64 // ascending; the hash in the upper half, the slot in the lower
	next     int      // the walk's next index into keys; it wraps around
	position float64  // position of next in the round; +Inf for an empty zone
}

// key returns a server's sort key.
func (o *endpointOrder) key(s *server, slot serverSlot) uint64 {
	return uint64(mix(uint32(s.Server), uint32(o.group)))<<32 | uint64(slot)
}

// place adds, moves or removes a server, as its current entry of the endpoint list requires.
func (o *endpointOrder) place(s *server, slot serverSlot) {
	moved := s.orderZone != o.zoneOf(s) || s.orderCell != s.Cell
	if s.ordered && (!s.usable() || moved) {
		o.remove(s, slot)
	}
	if s.usable() && !s.ordered {
		o.insert(s, slot)
	}
}

// remove removes a server that is in the order.
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

// insert adds a server that is not in the order.
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

// zone returns the order of one zone, and adds it to the used ones.
func (o *endpointOrder) zone(zone uint8) *zoneOrder {
	if !slices.Contains(o.used, zone) {
		o.used = append(o.used, zone)
	}
	return &o.zones[zone]
}

// build builds the order of all usable servers again, for a group of nodes and a layout.
func (o *endpointOrder) build(servers []server, group int, layout zoneLayout) {
	o.built, o.group, o.zoneLayout = true, group, layout
	o.count, o.cells = 0, map[uint16][]serverSlot{}
	for _, zone := range o.used {
		o.zones[zone].keys = o.zones[zone].keys[:0]
	}
	o.used = o.used[:0]
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
	for _, zone := range o.used {
		slices.Sort(o.zones[zone].keys)
	}
}

// walk visits up to count servers, each at most once, from a start position in [0, 1). Each zone's servers have evenly
// spaced positions in a round, offset by a phase. Therefore any stretch holds each zone's share, to within one server.
func (o *endpointOrder) walk(start float64, count int, visit func(slot serverSlot)) {
	for k, zone := range o.used {
		z := &o.zones[zone]
		phase := o.phase(k)
		z.next = int(math.Ceil(start*float64(len(z.keys)) - phase))
		z.advance(phase, 0)
	}
	for range min(count, o.count) {
		var first *zoneOrder
		var phase float64
		for k, zone := range o.used {
			if z := &o.zones[zone]; first == nil || z.position < first.position {
				first, phase = z, o.phase(k)
			}
		}
		visit(serverSlot(uint32(first.keys[first.next%len(first.keys)])))
		first.advance(phase, 1)
	}
}

// phase returns the offset of the k-th used zone in the spacing of its servers.
func (o *endpointOrder) phase(k int) float64 { return (float64(k) + 0.5) / float64(len(o.used)) }

// advance moves the walk of a zone on by a number of servers.
func (z *zoneOrder) advance(phase float64, by int) {
	z.next += by
	z.position = math.Inf(1)
	if len(z.keys) > 0 {
		z.position = (float64(z.next) + phase) / float64(len(z.keys))
	}
}
