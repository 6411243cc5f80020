package netio

import "time"

// maxArrivalMarks bounds the marks of one connection. Past them bytes count as having come with earlier ones.
const maxArrivalMarks = 32

// ArrivalMarks are when the bytes in a ring buffer were read, so that a request that lay behind others has its own time.
type ArrivalMarks struct{ marks []arrivalMark }

// arrivalMark is when all bytes up to a position, as RingBuffer.Filled counts them, had been read that no earlier mark has.
type arrivalMark struct {
	upTo int
	at   time.Time
}

// Add notes that the bytes up to a position were read now.
func (a *ArrivalMarks) Add(upTo int, now time.Time) {
	last := len(a.marks) - 1
	if last+1 == maxArrivalMarks {
		a.marks[last].upTo = upTo
		return
	}
	a.marks = append(a.marks, arrivalMark{upTo, now})
}

// PutBack notes that all that was read so far had come so much earlier.
func (a *ArrivalMarks) PutBack(wait time.Duration) {
	for i := range a.marks {
		a.marks[i].at = a.marks[i].at.Add(-wait)
	}
}

// Of returns when the byte at a position was read, and forgets what is before it. The zero time is that of no byte.
func (a *ArrivalMarks) Of(position int) time.Time {
	past := 0
	for past < len(a.marks) && a.marks[past].upTo <= position {
		past++
	}
	a.marks = append(a.marks[:0], a.marks[past:]...)
	if len(a.marks) == 0 {
		return time.Time{}
	}
	return a.marks[0].at
}
