package netio

import (
	"time"

	"github.com/rs/zerolog"
)

// CloseReason is the code with which a connection's close is logged; docs/oncall.md says what each means.
type CloseReason string

// The reasons.
const (
	ReasonClientClosed         CloseReason = "client-closed"
	ReasonClientDisconnected   CloseReason = "client-disconnected"
	ReasonClientRequestedClose CloseReason = "client-requested-close"
	ReasonClientMalformed      CloseReason = "client-malformed"
	ReasonClientTimeout        CloseReason = "client-timeout"
	ReasonClientReset          CloseReason = "client-reset"
	ReasonResponseUnwritten    CloseReason = "response-unwritten"
	ReasonNodeDraining         CloseReason = "node-draining"
	ReasonNodeNearLimit        CloseReason = "node-near-limit"
	ReasonEvicted              CloseReason = "evicted"
	ReasonServerClosed         CloseReason = "server-closed"
	ReasonServerStale          CloseReason = "server-stale"
	ReasonServerRequestedClose CloseReason = "server-requested-close"
	ReasonServerReset          CloseReason = "server-reset"
	ReasonServerMalformed      CloseReason = "server-malformed"
	ReasonServerTimeout        CloseReason = "server-timeout"
	ReasonServerUnlisted       CloseReason = "server-unlisted"
	ReasonAttemptCancelled     CloseReason = "attempt-cancelled"
	ReasonHeldUp               CloseReason = "held-up"
	ReasonIdle                 CloseReason = "idle"
	ReasonDiscoveryClosed      CloseReason = "discovery-closed"
)

// IsNodesChoice reports whether the node closes a client's connection for this reason without any sign of the client's.
func (r CloseReason) IsNodesChoice() bool {
	return r == ReasonNodeDraining || r == ReasonNodeNearLimit || r == ReasonEvicted
}

// ConnSide is what kind of peer a closed connection led to, as it is logged.
type ConnSide string

// The sides.
const (
	SideClient    ConnSide = "client"
	SideServer    ConnSide = "server"
	SideDiscovery ConnSide = "discovery"
)

// LogClose writes the one line of a connection that was closed, with how many requests it carried and its age.
func LogClose(log *zerolog.Logger, side ConnSide, peer string, reason CloseReason, openedAt time.Time, requests int) {
	log.Info().Str("side", string(side)).Str("peer", peer).Str("reason", string(reason)).Int("requests", requests).
		Dur("age_ms", time.Since(openedAt)).Msg("connection closed")
}
