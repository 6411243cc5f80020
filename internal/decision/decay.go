package decision

import "math"

// decayingMean is a sum and a count that decay exponentially with time.
type decayingMean struct {
	sum, count float64
	at         Time // as of which they hold
}

// decayTo brings the mean up to date. Memory is the time after which 1/e is left.
func (m *decayingMean) decayTo(now, memory Time) {
	if now > m.at {
		left := math.Exp(-float64(now-m.at) / float64(memory))
		m.sum, m.count, m.at = m.sum*left, m.count*left, now
	}
}

// add takes in one value.
func (m *decayingMean) add(v float64, now, memory Time) {
	m.decayTo(now, memory)
	m.sum, m.count = m.sum+v, m.count+1
}

// appendRecent appends v to the last k values.
func appendRecent(list []float64, v float64, k int) []float64 {
	if len(list) >= k {
		list = append(list[:0], list[1:]...)
	}
	return append(list, v)
}

func seconds(t Time) float64 { return float64(t) / float64(Second) }
