package decision

import (
	"math"
	"slices"
)

// endpointOrder keeps the usable servers in an order that all nodes of a group share: a shuffle by a hash, by zone where
// that is asked for. It is kept up by changes: one server that comes or goes costs a search and a move of eight bytes
// for each server of its zone behind it. It decides nothing.
type endpointOrder struct {
	group  int  // whose shuffle it is, from 1; 0: none yet
	byZone bool // zones are kept apart; else all servers are in one
	zones  [math.MaxUint8 + 1]zoneOrder
	used   []uint8                 // zones that have held a server, in order of first sight
	cells  map[uint16][]serverSlot // slots by cell, rising
	count  int
}

// zoneOrder is a zone's servers: hash above, slot below.
type zoneOrder struct {
	keys     []uint64
	next     int     // the walk's next one,
	position float64 // and its place
}

func (o *endpointOrder) key(s *server, slot serverSlot) uint64 {
	return uint64(mix(uint32(s.Server), uint32(o.group-1)))<<32 | uint64(slot)
}

// place keeps up whether, and in which zone, a server stands in the order: as its listing has it now.
func (o *endpointOrder) place(s *server, slot serverSlot) {
	if s.ordered && (!s.usable() || s.orderZone != o.zoneOf(s) || s.orderCell != s.Cell) {
		z := &o.zones[s.orderZone]
		if k, ok := slices.BinarySearch(z.keys, o.key(s, slot)); ok {
			z.keys = slices.Delete(z.keys, k, k+1)
			o.count--
		}
		cell := o.cells[s.orderCell]
		if k, ok := slices.BinarySearch(cell, slot); ok {
			o.cells[s.orderCell] = slices.Delete(cell, k, k+1)
		}
		if s.ordered = false; len(cell) <= 1 {
			delete(o.cells, s.orderCell)
		}
	}
	if s.usable() && !s.ordered {
		z := o.zone(o.zoneOf(s))
		k, _ := slices.BinarySearch(z.keys, o.key(s, slot))
		z.keys = slices.Insert(z.keys, k, o.key(s, slot))
		cell := o.cells[s.Cell]
		k, _ = slices.BinarySearch(cell, slot)
		o.cells[s.Cell] = slices.Insert(cell, k, slot)
		s.ordered, s.orderZone, s.orderCell = true, o.zoneOf(s), s.Cell
		o.count++
	}
}

func (o *endpointOrder) zoneOf(s *server) uint8 {
	if o.byZone {
		return s.Zone
	}
	return 0
}

func (o *endpointOrder) zone(zone uint8) *zoneOrder {
	if !slices.Contains(o.used, zone) {
		o.used = append(o.used, zone)
	}
	return &o.zones[zone]
}

// build makes the order anew, for a group's shuffle, as after a whole list.
func (o *endpointOrder) build(servers []server, group int, apart bool) {
	o.group, o.byZone, o.count, o.cells = group, apart, 0, map[uint16][]serverSlot{}
	for _, zone := range o.used {
		o.zones[zone].keys = o.zones[zone].keys[:0]
	}
	o.used = o.used[:0]
	for i := range servers {
		s := &servers[i]
		if s.ordered = s.usable(); s.ordered {
			s.orderZone, s.orderCell = o.zoneOf(s), s.Cell
			z := o.zone(s.orderZone)
			z.keys = append(z.keys, o.key(s, serverSlot(i)))
			o.cells[s.Cell] = append(o.cells[s.Cell], serverSlot(i))
			o.count++
		}
	}
	for _, zone := range o.used {
		slices.Sort(o.zones[zone].keys)
	}
}

// walk visits so many servers, each at most once, from a place on, in [0, 1): each zone's servers stand at even places
// of a round, zones by turns, so that any stretch of it holds each zone's part, to one server.
func (o *endpointOrder) walk(from float64, count int, visit func(slot serverSlot)) {
	for k, zone := range o.used {
		z := &o.zones[zone]
		phase := (float64(k) + 0.5) / float64(len(o.used))
		z.next = int(math.Ceil(from*float64(len(z.keys)) - phase))
		z.step(phase, 0)
	}
	for range min(count, o.count) {
		var first *zoneOrder
		var phase float64
		for k, zone := range o.used {
			if z := &o.zones[zone]; first == nil || z.position < first.position {
				first, phase = z, (float64(k)+0.5)/float64(len(o.used))
			}
		}
		visit(serverSlot(uint32(first.keys[first.next%len(first.keys)])))
		first.step(phase, 1)
	}
}

// step goes so many servers on.
func (z *zoneOrder) step(phase float64, by int) {
	if z.next, z.position = z.next+by, math.Inf(1); len(z.keys) > 0 {
		z.position = (float64(z.next) + phase) / float64(len(z.keys))
	}
}
