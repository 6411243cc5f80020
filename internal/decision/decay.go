package decision

import "math"

// decayingMean holds an exponentially decaying sum and count of values. Their quotient is the decaying mean.
type decayingMean struct {
	sum, count float64
	at         Time // time to which sum and count have decayed
}

// decayTo decays sum and count to now. After the time constant, 1/e of them is left. A time before m.at has no effect.
func (m *decayingMean) decayTo(now, timeConstant Time) {
	if now > m.at {
		left := math.Exp(-float64(now-m.at) / float64(timeConstant))
		m.sum, m.count, m.at = m.sum*left, m.count*left, now
	}
}

// add adds a value at the time now, after decaying the earlier ones.
func (m *decayingMean) add(v float64, now, timeConstant Time) {
	m.decayTo(now, timeConstant)
	m.sum, m.count = m.sum+v, m.count+1
}

// appendRecent appends a value and keeps the last k of them.
func appendRecent(list []float64, v float64, k int) []float64 {
	if len(list) >= k {
		list = append(list[:0], list[1:]...)
	}
	return append(list, v)
}

// seconds converts a duration to seconds.
func seconds(t Time) float64 { return float64(t) / float64(Second) }
