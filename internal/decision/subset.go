package decision

import "cherrygap/internal/numeric"

// subsetChooser chooses the servers that this node uses: its subset, and the tracked servers beyond it.
//
//   - Inputs: the number of ready servers, the settings, the rate of this node's attempts.
//   - State: the decaying rate of attempts.
//   - Rule: groups of nodes share a shuffle of the servers, in which zones alternate. The nodes of a group start at
//     evenly spaced positions in it. The subset grows with this node's rate of attempts, so that each connection is used
//     before its idle timeout. At its least size, minNodesPerShuffle nodes use each server. The tracked servers that
//     follow the subset take the requests that the subset can't.
//   - Protects against: a new connection for every second attempt, and a scan of thousands of servers for each request.
//     It also limits the failing servers at which a node loses attempts.
//   - Trade-off: if a few nodes carry most of the load, their subsets fill. The in-flight cap of selection then moves
//     requests to the other tracked servers.
type subsetChooser struct {
	config       *config
	startedAt    Time
	attemptsSent decayingMean
	ratio        float64 // ready servers for each server of the subset, at least 1
}

const (
	subsetRateTimeConstant  = 5 * controlInterval // time constant of the rate of attempts that sizes the subset
	attemptsPerIdleTimeout  = 60.0                // attempts at each server of the subset in an idle timeout
	minSubsetServers        = 4                   // least size of a subset
	minTrackedServers       = 256                 // least number of tracked servers
	trackedServersPerSubset = 2                   // tracked servers for each server of the subset
	minNodesPerShuffle      = 8                   // least number of nodes that share a shuffle, and that use each server
)

// zoneLayout is the arrangement of zones in a shuffle.
type zoneLayout uint8

const (
	zonesMerged      zoneLayout = iota // zones have no effect
	zonesAlternating                   // any stretch holds an even share of each zone
)

// subsetChoice is the part of a shuffle that a node uses.
type subsetChoice struct {
	group   int // index of the group of nodes that share the shuffle, from 0
	zones   zoneLayout
	start   float64 // position in the shuffle, in [0, 1)
	size    int     // number of servers from start on that form the subset
	tracked int     // number of servers from start on that are tracked
}

// attemptSent counts an attempt for the size of the subset.
func (c *subsetChooser) attemptSent(now Time) { c.attemptsSent.add(1, now, subsetRateTimeConstant) }

// choose chooses among the ready servers and updates the subset ratio.
func (c *subsetChooser) choose(now Time, ready int) subsetChoice {
	nodes := c.config.nodes
	self := max(int(c.config.self), 0)
	groupSize := c.nodesPerShuffle(ready)
	group := self / groupSize
	groupNodes := max(1, min(groupSize, nodes-group*groupSize)) // the last group may be smaller
	sizes := c.sizes(now, ready)
	c.ratio = max(1, float64(ready)/float64(max(1, sizes.subset)))
	zones := zonesMerged
	if ready > minTrackedServers {
		zones = zonesAlternating
	}
	start := float64(self%groupSize) / float64(groupNodes)
	return subsetChoice{group: group, zones: zones, start: start, size: sizes.subset, tracked: sizes.tracked}
}

// nodesPerShuffle returns the number of nodes that share a shuffle. It doubles until the group's subsets of least size
// cover the ready servers.
func (c *subsetChooser) nodesPerShuffle(ready int) int {
	count := minNodesPerShuffle
	for count*minSubsetServers < ready && count < c.config.nodes {
		count *= 2
	}
	return min(count, c.config.nodes)
}

// subsetSizes holds numbers of servers. The tracked servers include the subset.
type subsetSizes struct{ subset, tracked int }

// sizes returns the sizes for a number of ready servers. Without quota owners or an idle timeout, the subset holds every
// tracked server. A fleet without quota owners is small.
func (c *subsetChooser) sizes(now Time, ready int) subsetSizes {
	least := max(minSubsetServers, ready/c.config.nodes*minNodesPerShuffle)
	size := max(minTrackedServers, least)
	tracked := size
	if c.config.usesOwners && c.config.idleTimeout > 0 {
		attempts := c.attemptRate(now) * seconds(c.config.idleTimeout)
		size = max(numeric.Truncate[int](attempts/attemptsPerIdleTimeout), least)
		tracked = max(minTrackedServers, trackedServersPerSubset*size)
	}
	return subsetSizes{subset: min(size, ready), tracked: tracked}
}

// attemptRate returns the recent rate of this node's attempts, in attempts a second.
func (c *subsetChooser) attemptRate(now Time) float64 {
	c.attemptsSent.decayTo(now, subsetRateTimeConstant)
	span := min(subsetRateTimeConstant, max(controlInterval, now-c.startedAt))
	return c.attemptsSent.count / seconds(span)
}
