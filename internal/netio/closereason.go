package netio

import (
	"time"

	"github.com/rs/zerolog"
)

// CloseReason is the reason of a closed connection in the log; docs/oncall.md describes each.
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
	ReasonWriteDelayed         CloseReason = "write-delayed"
	ReasonIdle                 CloseReason = "idle"
	ReasonDiscoveryClosed      CloseReason = "discovery-closed"
)

// IsNodesChoice reports whether the node closes a client connection for this reason without any action of the client.
func (r CloseReason) IsNodesChoice() bool {
	return r == ReasonNodeDraining || r == ReasonNodeNearLimit || r == ReasonEvicted
}

// ConnSide is the kind of peer of a closed connection in the log.
type ConnSide string

// The sides.
const (
	SideClient    ConnSide = "client"
	SideServer    ConnSide = "server"
	SideDiscovery ConnSide = "discovery"
)

// LogClose writes the log line of a closed connection. requests is how many the connection carried.
func LogClose(log *zerolog.Logger, side ConnSide, peer string, reason CloseReason, openedAt time.Time, requests int) {
	log.Info().Str("side", string(side)).Str("peer", peer).Str("reason", string(reason)).Int("requests", requests).
		Dur("age_ms", time.Since(openedAt)).Msg("connection closed")
}
