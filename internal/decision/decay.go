package decision

import (
	"math"
)

// decayingMean is a sum and a count that fade with time.
type decayingMean struct {
	sum, count float64
	at         Time
}

func (f *decayingMean) decayTo(now, memory Time) {
	if now > f.at {
		k := math.Exp(-float64(now-f.at) / float64(memory))
		f.sum, f.count, f.at = f.sum*k, f.count*k, now
	}
}

func (f *decayingMean) add(v float64, now, memory Time) {
	f.decayTo(now, memory)
	f.sum, f.count = f.sum+v, f.count+1
}

// perSecond is the faded sum a second.
func (f *decayingMean) perSecond(now, memory Time) float64 {
	f.decayTo(now, memory)
	return f.sum / seconds(memory)
}

// appendRecent appends v to the last k.
func appendRecent(list []float64, v float64, k int) []float64 {
	if len(list) >= k {
		list = append(list[:0], list[1:]...)
	}
	return append(list, v)
}

func seconds(t Time) float64 { return float64(t) / float64(Second) }
