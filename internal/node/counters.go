package node

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"cherrygap/internal/routing"
)

// LogCounters logs the counters of the node and of its optional parts in one line with the given message.
func (n *Node) LogCounters(message string) {
	line := n.log.Info().Object("counters", n.counters)
	if n.config.shadowSettings != nil {
		line = line.Object("shadow", shadowCounters{n.router})
	}
	if n.healthChecks != nil {
		line = line.Object("health_checks", n.healthChecks)
	}
	if n.authorizer != nil {
		line = line.Object("authz", n.authorizer)
	}
	if n.quotas != nil {
		line = line.Object("quota", n.quotas)
	}
	line.Msg(message)
}

// shadowCounters logs the counts of the shadow evaluation: the compared decisions, and the differing ones by kind of
// difference.
type shadowCounters struct{ router *routing.Router }

// MarshalZerologObject writes the counts of the differing decisions in alphabetical order of their kinds.
func (c shadowCounters) MarshalZerologObject(event *zerolog.Event) {
	compared, differing := c.router.ShadowCounts()
	event.Int64("decisions", compared)
	for _, kind := range slices.Sorted(maps.Keys(differing)) {
		event.Int64(kind, differing[kind])
	}
}
