package netio

import "time"

// maxArrivalTimes bounds the entries of one connection. When it is reached, later bytes get the time of the last entry.
const maxArrivalTimes = 32

// ArrivalTimes records when the bytes in a RingBuffer were read, so that each pipelined request has its own arrival time.
// The zero value is empty. It belongs to the goroutine that reads the buffer.
type ArrivalTimes struct{ entries []arrivalTime }

// arrivalTime is when the bytes up to a position were read. Positions count the bytes since the buffer was made, as
// RingBuffer.Filled does.
type arrivalTime struct {
	upTo int
	at   time.Time
}

// Add records that the bytes up to a position were read at a time.
func (a *ArrivalTimes) Add(upTo int, at time.Time) {
	last := len(a.entries) - 1
	if last+1 == maxArrivalTimes {
		a.entries[last].upTo = upTo
		return
	}
	a.entries = append(a.entries, arrivalTime{upTo, at})
}

// Backdate moves all recorded times back by a duration.
func (a *ArrivalTimes) Backdate(by time.Duration) {
	for i := range a.entries {
		a.entries[i].at = a.entries[i].at.Add(-by)
	}
}

// At returns when the byte at a position was read, or the zero time if it was not, and drops the entries before it.
func (a *ArrivalTimes) At(position int) time.Time {
	dropped := 0
	for dropped < len(a.entries) && a.entries[dropped].upTo <= position {
		dropped++
	}
	a.entries = append(a.entries[:0], a.entries[dropped:]...)
	if len(a.entries) == 0 {
		return time.Time{}
	}
	return a.entries[0].at
}
