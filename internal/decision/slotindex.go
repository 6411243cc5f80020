package decision

// slotIndex maps ids to small numbers, in order of first sight.
type slotIndex[K comparable] struct {
	slots map[K]int32
	free  []int32
	next  int32
}

func newSlotIndex[K comparable]() slotIndex[K] { return slotIndex[K]{slots: map[K]int32{}} }

// find is the number of id, or -1.
func (x *slotIndex[K]) find(id K) int32 {
	if i, ok := x.slots[id]; ok {
		return i
	}
	return -1
}

// add gives id a number; one past the end of the store asks the caller to grow it.
func (x *slotIndex[K]) add(id K) int32 {
	i := x.next
	if k := len(x.free); k > 0 {
		i, x.free = x.free[k-1], x.free[:k-1]
	} else {
		x.next++
	}
	x.slots[id] = i
	return i
}

// drop forgets id and lets its number be used again.
func (x *slotIndex[K]) drop(id K) {
	if i, ok := x.slots[id]; ok {
		delete(x.slots, id)
		x.free = append(x.free, i)
	}
}
