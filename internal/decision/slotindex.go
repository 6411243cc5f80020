package decision

// slotIndex maps ids to slots, which are indices into a slice of the caller. A dropped id's slot is reused.
type slotIndex[ID comparable, Slot ~int32] struct {
	slots map[ID]Slot
	free  []Slot
	next  Slot
}

// newSlotIndex returns an empty index.
func newSlotIndex[ID comparable, Slot ~int32]() slotIndex[ID, Slot] {
	return slotIndex[ID, Slot]{slots: map[ID]Slot{}}
}

// find returns the slot of an id, or -1 if the id has none.
func (x *slotIndex[ID, Slot]) find(id ID) Slot {
	if i, ok := x.slots[id]; ok {
		return i
	}
	return -1
}

// add assigns a slot to an id that has none. If the slot is one past the end of the caller's slice, the caller must
// extend the slice.
func (x *slotIndex[ID, Slot]) add(id ID) Slot {
	i := x.next
	if k := len(x.free); k > 0 {
		i, x.free = x.free[k-1], x.free[:k-1]
	} else {
		x.next++
	}
	x.slots[id] = i
	return i
}

// drop removes an id, if it is present.
func (x *slotIndex[ID, Slot]) drop(id ID) {
	if i, ok := x.slots[id]; ok {
		delete(x.slots, id)
		x.free = append(x.free, i)
	}
}
