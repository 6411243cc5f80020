package decision

// chooseSubset sets which servers this node uses while they can take its requests (own): as many as it meets
// several times before an idle connection there is closed, and so many that each server is used by some
// nodes. The next ones of the same round (view) take what those can't; the rest of the fleet is nothing to a
// request or a change. Eight nodes at a time share a shuffle of the servers, by a hash, and begin at even
// places of it, so that all servers get about alike; in it zones come by turns, so that none that fails
// takes all of a node's. It guards against many nodes that each meet all servers: they open a connection for
// every second attempt, spend their own requests on every failing server of the fleet, and look at thousands
// of servers for each request. It could harm where a few nodes bring most of the traffic to a few servers:
// then the cap on what is out (pick) sends the rest to all in view.
func (n *Engine) chooseSubset() {
	share := nodesPerShuffle
	for share*minSubset < n.ready && share < n.nodes {
		share *= 2
	}
	me, share := max(n.self, 0), min(share, n.nodes)
	n.arrangeOrder(me/share, n.ready > minView)
	each := max(minSubset, n.ready/n.nodes*nodesPerShuffle)
	most := max(minView, each)
	view := most
	if idle := n.settings.Duration("idle"); n.ownersEnabled && idle > 0 {
		n.attemptsSent.decayTo(n.now, paceMemory)
		rate := n.attemptsSent.count / seconds(min(paceMemory, max(interval, n.now-n.startedAt)))
		most = max(int(rate*seconds(idle)/meetsPerIdle), each)
		view = max(minView, viewRatio*most)
	}
	most = min(most, n.ready)
	n.setView(float64(me%share)/float64(max(1, min(share, n.nodes-me/share*share))), most, view)
	n.subsetRatio = max(1, float64(n.ready)/float64(max(1, most)))
}
