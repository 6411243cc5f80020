package decision

// SetTime sets the time.
func (n *Engine) SetTime(now Time) {
	if gap := now - n.now; gap > n.shortestObjective/4 && n.timerAt > 0 {
		n.pause, n.pauseEndedAt = gap, now
	}
	n.now = now
}

// HealthChecked notes the answer of a probe.
func (n *Engine) HealthChecked(id uint32, o Outcome, load []float64) {
	if i := n.serverSlots.find(id); i >= 0 && o == Succeeded {
		for k := range n.servers[i].byClass {
			n.servers[i].byClass[k].answeredAt = n.now
		}
	}
}

// TimerFired notes that a wake came; the time is all it tells.
func (n *Engine) TimerFired() {}
