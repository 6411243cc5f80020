package transport

import (
	"time"

	"github.com/rs/zerolog"
)

// closeReason is the code with which a connection's close is logged; docs/oncall.md says what each means.
type closeReason string

const (
	reasonClientClosed         closeReason = "client-closed"
	reasonClientDisconnected   closeReason = "client-disconnected"
	reasonClientRequestedClose closeReason = "client-requested-close"
	reasonClientMalformed      closeReason = "client-malformed"
	reasonClientTimeout        closeReason = "client-timeout"
	reasonClientReset          closeReason = "client-reset"
	reasonResponseUnwritten    closeReason = "response-unwritten"
	reasonNodeDraining         closeReason = "node-draining"
	reasonNodeNearLimit        closeReason = "node-near-limit"
	reasonEvicted              closeReason = "evicted"
	reasonServerClosed         closeReason = "server-closed"
	reasonServerStale          closeReason = "server-stale"
	reasonServerRequestedClose closeReason = "server-requested-close"
	reasonServerReset          closeReason = "server-reset"
	reasonServerMalformed      closeReason = "server-malformed"
	reasonServerTimeout        closeReason = "server-timeout"
	reasonServerUnlisted       closeReason = "server-unlisted"
	reasonAttemptCancelled     closeReason = "attempt-cancelled"
	reasonHeldUp               closeReason = "held-up"
	reasonIdle                 closeReason = "idle"
	reasonDiscoveryClosed      closeReason = "discovery-closed"
)

// isNodesChoice reports whether the node closes a client's connection for this reason without any sign of the client's.
func (r closeReason) isNodesChoice() bool {
	return r == reasonNodeDraining || r == reasonNodeNearLimit || r == reasonEvicted
}

// connSide is what kind of peer a closed connection led to, as it is logged.
type connSide string

const (
	sideClient    connSide = "client"
	sideServer    connSide = "server"
	sideDiscovery connSide = "discovery"
)

// logClose writes the one line of a connection that was closed, with how many requests it carried and its age.
func logClose(log *zerolog.Logger, side connSide, peer string, reason closeReason, openedAt time.Time, requests int) {
	log.Info().Str("side", string(side)).Str("peer", peer).Str("reason", string(reason)).Int("requests", requests).
		Dur("age_ms", time.Since(openedAt)).Msg("connection closed")
}
