package node

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"cherrygap/internal/routing"
)

// logCounters logs the counters of the node and of its optional parts, as one line.
func (s *server) logCounters(message string) {
	line := s.log.Info().Object("counters", s.counters)
	if s.config.shadowSettings != nil {
		line = line.Object("shadow", shadowCounters{s.router})
	}
	if s.healthChecks != nil {
		line = line.Object("health_checks", s.healthChecks)
	}
	if s.authorizer != nil {
		line = line.Object("authz", s.authorizer)
	}
	if s.quotas != nil {
		line = line.Object("quota", s.quotas)
	}
	line.Msg(message)
}

// shadowCounters are the counts of the shadow evaluation: decisions compared, and by kind those that other settings would
// have made differently.
type shadowCounters struct{ router *routing.Router }

// MarshalZerologObject writes the counts.
func (c shadowCounters) MarshalZerologObject(event *zerolog.Event) {
	compared, differing := c.router.ShadowCounts()
	event.Int64("decisions", compared)
	for _, kind := range slices.Sorted(maps.Keys(differing)) {
		event.Int64(kind, differing[kind])
	}
}
