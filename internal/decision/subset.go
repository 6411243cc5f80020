package decision

// subsetChooser chooses which servers this node uses while they can take its requests (the subset): as many
// as it meets several times before an idle connection there is closed, and so many that each server is used
// by some nodes. The next ones of the same round (the view) take what those can't; the rest of the fleet is
// nothing to a request or a change. Eight nodes at a time share a shuffle of the servers, by a hash, and
// begin at even places of it, so that all servers get about alike; in it zones come by turns, so that none
// that fails takes all of a node's.
//
// It guards against many nodes that each meet all servers: they open a connection for every second attempt,
// spend their own requests on every failing server of the fleet, and look at thousands of servers for each
// request. It could harm where a few nodes bring most of the traffic to a few servers: then the cap on what
// is in flight (selection) sends the rest to all in view.
type subsetChooser struct {
	config       *config
	startedAt    Time
	attemptsSent decayingMean
	ratio        float64 // ready servers for each that this node uses
}

// choose chooses among so many ready servers.
func (c *subsetChooser) choose(now Time, ready int) subsetChoice {
	nodes, share := c.config.nodes, nodesPerShuffle
	for share*minSubset < ready && share < nodes {
		share *= 2
	}
	self, share := max(int(c.config.self), 0), min(share, nodes)
	each := max(minSubset, ready/nodes*nodesPerShuffle)
	size := max(minView, each)
	view := size
	if idle := c.config.idleTimeout; c.config.owners && idle > 0 {
		c.attemptsSent.decayTo(now, paceMemory)
		rate := c.attemptsSent.count / seconds(min(paceMemory, max(interval, now-c.startedAt)))
		size = max(int(rate*seconds(idle)/meetsPerIdle), each)
		view = max(minView, viewRatio*size)
	}
	size = min(size, ready)
	c.ratio = max(1, float64(ready)/float64(max(1, size)))
	inGroup := max(1, min(share, nodes-self/share*share))
	return subsetChoice{self / share, ready > minView, float64(self%share) / float64(inGroup), size, view}
}
