package settings

import "maps"

// List is a numbered list of settings: the request classes, or the plans. The declared length may differ from the number of
// given entries. An entry that is not given is the zero E. The zero List is empty. Several goroutines may read a List, and
// copies of it share their entries.
type List[E any] struct {
	// Count is the declared length.
	Count Number

	entries map[int]E // the given entries, by number
}

// NewList returns a list of the entries, with their number as its declared length.
func NewList[E any](entries ...E) List[E] {
	l := List[E]{Count: IntNumber(len(entries)), entries: map[int]E{}}
	for i, e := range entries {
		l.entries[i] = e
	}
	return l
}

// At returns the entry with the number i, or the zero E if it is not given.
func (l List[E]) At(i int) E { return l.entries[i] }

// Len returns the number of entries in use: the declared length, rounded towards 0, and at least 1. The zero List thus has
// one zero entry in use.
func (l List[E]) Len() int { return max(1, l.Count.Truncated()) }

// NamedLen returns the number of entries that can be looked up by name: the declared length, or 0 if that is not a decimal
// integer. It differs from Len for lengths such as "" and "2.5".
func (l List[E]) NamedLen() int {
	n, _ := l.Count.Whole()
	return n
}

// With returns a copy of the list whose entry with the number i is e. The declared length stays.
func (l List[E]) With(i int, e E) List[E] {
	entries := maps.Clone(l.entries)
	if entries == nil {
		entries = map[int]E{}
	}
	entries[i] = e
	return List[E]{Count: l.Count, entries: entries}
}
