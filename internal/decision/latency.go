package decision

// classState holds the measured latency of a request class. All mechanisms that need the usual latency of a class
// use this one.
type classState struct {
	latency decayingMean // durations of completed attempts, in units of Time
}

const (
	usualLatencyTimeConstant = 5 * controlInterval // time constant of the decaying mean of a class's latencies
	firstLatencyDivisor      = 4                   // divisor of the latency objective, for the first usual latency
)

// usualLatency returns the mean latency of a class's recent completed attempts, in units of Time. Before the first one
// completes, it returns the latency objective divided by firstLatencyDivisor.
func (e *Engine) usualLatency(class ClassID) float64 {
	c := &e.classes[class]
	if c.latency.count < 1 {
		return float64(e.config.classes[class].latencyObjective) / firstLatencyDivisor
	}
	return c.latency.sum / c.latency.count
}

// recordCompletion adds the duration of an attempt that completed at the time now.
func (c *classState) recordCompletion(duration, now Time) {
	c.latency.add(float64(duration), now, usualLatencyTimeConstant)
}
