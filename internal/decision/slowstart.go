package decision

// slowStartWeight is the least share of its capacity that a fresh server has by now.
func (n *Engine) slowStartWeight(s *server) float64 {
	if s.Started <= 0 || n.slowStartSpan <= 0 || n.now >= s.Started+n.slowStartSpan {
		return 1
	}
	return n.slowStartShare + (1-n.slowStartShare)*max(0, float64(n.now-s.Started)/float64(n.slowStartSpan))
}

// slowStartCapacity keeps the cold budget alone: this node's share, and few open at once. A share below one is a rate:
// what counts as sent starts at a chance part of one, so that many nodes spread their first ones.
func (n *Engine) slowStartCapacity(s *server) bool {
	share := n.slowStartWeight(s)
	if share >= 1 {
		return true
	}
	n.drainSlowStart(s)
	return s.inSubset && s.inFlight < 1+int(share*2) && s.slowStartSent+1 <= max(1, n.slowStartBudget(s))
}

// slowStartBudget is how many executions a cold server may get from this node in a span.
func (n *Engine) slowStartBudget(s *server) float64 {
	least := 1 / (float64(n.nodes) * seconds(n.shortestObjective)) // so that an all cold fleet warms
	warm := n.relativeSize(s) * max(n.warmServerRate, least)
	share := slowStartMargin * n.slowStartWeight(s) * n.subsetRatio // of the nodes, one in reach uses it
	return share * n.settings.Number("fall.multiple") * warm * seconds(n.settings.Duration("fall.span"))
}
