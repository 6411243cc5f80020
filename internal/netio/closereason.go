package netio

import (
	"time"

	"github.com/rs/zerolog"
)

// CloseReason is the logged reason for closing a connection. docs/oncall.md describes each reason.
type CloseReason string

// Reasons for closing client connections.
const (
	ReasonClientClosed         CloseReason = "client-closed"          // The client closed it with no request in flight.
	ReasonClientDisconnected   CloseReason = "client-disconnected"    // The client closed it before the response.
	ReasonClientRequestedClose CloseReason = "client-requested-close" // The request asked for a close after the response.
	ReasonClientMalformed      CloseReason = "client-malformed"       // A request can't be handled, or there was too much pipelined input.
	ReasonClientTimeout        CloseReason = "client-timeout"         // No byte, or no complete request, arrived within MessageTimeout.
	ReasonClientReset          CloseReason = "client-reset"           // The client reset it, or a read or write failed.
	ReasonResponseUnwritten    CloseReason = "response-unwritten"     // A response could not be written completely.
	ReasonNodeDraining         CloseReason = "node-draining"          // The node is shutting down gracefully.
	ReasonNodeNearLimit        CloseReason = "node-near-limit"        // Many slots are in use; closed after a response.
)

// Reasons for closing connections to app servers.
const (
	ReasonServerClosed         CloseReason = "server-closed"          // The server closed it or sent bytes while it was idle.
	ReasonServerStale          CloseReason = "server-stale"           // A used connection broke or had input before a request's last byte.
	ReasonServerRequestedClose CloseReason = "server-requested-close" // A response asked for it, or bytes followed a response.
	ReasonServerReset          CloseReason = "server-reset"           // The server reset or closed it during an attempt or a health check.
	ReasonServerMalformed      CloseReason = "server-malformed"       // The response could not be parsed.
	ReasonServerTimeout        CloseReason = "server-timeout"         // No complete response arrived by the deadline.
	ReasonServerUnlisted       CloseReason = "server-unlisted"        // The server is out of service.
	ReasonAttemptCancelled     CloseReason = "attempt-cancelled"      // The Router cancelled the attempt, or the client disconnected.
	ReasonWriteDelayed         CloseReason = "write-delayed"          // It became too late to write the request's last byte.
	ReasonIdle                 CloseReason = "idle"                   // The connection was idle for too long.
)

// Other reasons for closing connections.
const (
	ReasonOverMemory      CloseReason = "over-memory"      // The node needed the memory that a message held, or had none for it.
	ReasonEvicted         CloseReason = "evicted"          // An idle client or server connection made room for a new one.
	ReasonDiscoveryClosed CloseReason = "discovery-closed" // A connection to discovery closed, for any reason.
)

// IsNodeInitiated reports whether the node closes a client connection for this reason without any action of the client.
func (r CloseReason) IsNodeInitiated() bool {
	return r == ReasonNodeDraining || r == ReasonNodeNearLimit || r == ReasonEvicted
}

// ConnSide is the kind of peer of a closed connection in the log.
type ConnSide string

// The kinds of peers in the log.
const (
	SideClient    ConnSide = "client"
	SideServer    ConnSide = "server"
	SideDiscovery ConnSide = "discovery"
)

// LogClose writes the log line of a closed connection. requests is the number of requests that the connection carried.
func LogClose(log *zerolog.Logger, side ConnSide, peer string, reason CloseReason, openedAt time.Time, requests int) {
	log.Info().Str("side", string(side)).Str("peer", peer).Str("reason", string(reason)).Int("requests", requests).
		Dur("age_ms", time.Since(openedAt)).Msg("connection closed")
}
