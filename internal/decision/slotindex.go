package decision

// slotIndex maps ids to slots: small numbers, used again once their id is dropped.
type slotIndex[ID comparable, Slot ~int32] struct {
	slots map[ID]Slot
	free  []Slot
	next  Slot
}

func newSlotIndex[ID comparable, Slot ~int32]() slotIndex[ID, Slot] {
	return slotIndex[ID, Slot]{slots: map[ID]Slot{}}
}

// find is the slot of id, or -1.
func (x *slotIndex[ID, Slot]) find(id ID) Slot {
	if i, ok := x.slots[id]; ok {
		return i
	}
	return -1
}

// add gives id a slot; one past the end of what the caller stores asks it to grow that.
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

// drop forgets id and lets its slot be used again.
func (x *slotIndex[ID, Slot]) drop(id ID) {
	if i, ok := x.slots[id]; ok {
		delete(x.slots, id)
		x.free = append(x.free, i)
	}
}
