package settings

import "maps"

// List is a numbered list of settings: the request classes, or the plans. Its declared length and the entries that are
// given need not agree; an entry that is not given is the zero E. The zero List is empty. A List may be read from several
// goroutines, and copies of it share their entries.
type List[E any] struct {
	// Count is the declared length.
	Count Number

	entries map[int]E // those that are given, by number
}

// NewList returns a list of the entries, with their number as its declared length.
func NewList[E any](entries ...E) List[E] {
	l := List[E]{Count: IntNumber(len(entries)), entries: map[int]E{}}
	for i, e := range entries {
		l.entries[i] = e
	}
	return l
}

// At returns the entry with the number i.
func (l List[E]) At(i int) E { return l.entries[i] }

// Len returns the length by which the decision engine reads the list: the declared one without its fraction, at least 1.
func (l List[E]) Len() int { return max(1, l.Count.Truncated()) }

// NamedLen returns the length by which names are looked up: the declared one, 0 where that is no decimal integer.
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
