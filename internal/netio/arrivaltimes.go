package netio

import "time"

// maxArrivalTimes is the maximum number of entries for one connection. Once it is reached, later bytes get the time of the
// last entry.
const maxArrivalTimes = 32

// ArrivalTimes records when the bytes in a RingBuffer were read, so that each pipelined request has its own arrival time.
// The zero value is empty. Only the goroutine that reads the buffer may use it.
type ArrivalTimes struct{ entries []arrivalTime }

// arrivalTime is the time at which the bytes up to a position were read. Positions count the bytes since the buffer was
// created, as RingBuffer.Filled does.
type arrivalTime struct {
	upTo int
	at   time.Time
}

// Add records that the bytes up to position upTo were read at the given time. upTo itself is excluded.
func (a *ArrivalTimes) Add(upTo int, at time.Time) {
	last := len(a.entries) - 1
	if last+1 == maxArrivalTimes {
		a.entries[last].upTo = upTo
		return
	}
	a.entries = append(a.entries, arrivalTime{upTo, at})
}

// Backdate moves all recorded times back by the given duration.
func (a *ArrivalTimes) Backdate(by time.Duration) {
	for i := range a.entries {
		a.entries[i].at = a.entries[i].at.Add(-by)
	}
}

// At returns the time at which the byte at a position was read, or the zero time if no entry covers the byte. It drops the
// entries before the position.
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
