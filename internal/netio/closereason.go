package netio

import (
	"time"

	"github.com/rs/zerolog"
)

// CloseReason is the reason of a closed connection in the log; docs/oncall.md describes each.
type CloseReason string

// Reasons of client connections.
const (
	ReasonClientClosed         CloseReason = "client-closed"          // by the client, with no request in flight
	ReasonClientDisconnected   CloseReason = "client-disconnected"    // by the client, before its response
	ReasonClientRequestedClose CloseReason = "client-requested-close" // after the response, as the request asked
	ReasonClientMalformed      CloseReason = "client-malformed"       // after a request that can't be handled, or too much pipelined input
	ReasonClientTimeout        CloseReason = "client-timeout"         // no byte, or no complete request, within MessageTimeout
	ReasonClientReset          CloseReason = "client-reset"           // reset, or a read or write failed
	ReasonResponseUnwritten    CloseReason = "response-unwritten"     // a response could not be written completely
	ReasonNodeDraining         CloseReason = "node-draining"          // by the node's graceful shutdown
	ReasonNodeNearLimit        CloseReason = "node-near-limit"        // after a response, because many slots are in use
)

// Reasons of connections to app servers.
const (
	ReasonServerClosed         CloseReason = "server-closed"          // by the server, while idle
	ReasonServerStale          CloseReason = "server-stale"           // a used connection broke before a request's last byte
	ReasonServerRequestedClose CloseReason = "server-requested-close" // as a response asked, or after bytes behind a response
	ReasonServerReset          CloseReason = "server-reset"           // reset or closed during an attempt
	ReasonServerMalformed      CloseReason = "server-malformed"       // the response could not be parsed
	ReasonServerTimeout        CloseReason = "server-timeout"         // no complete response by the deadline
	ReasonServerUnlisted       CloseReason = "server-unlisted"        // the server is out of service
	ReasonAttemptCancelled     CloseReason = "attempt-cancelled"      // by the Router, or because the client disconnected
	ReasonWriteDelayed         CloseReason = "write-delayed"          // the last byte was due too late to be written
	ReasonIdle                 CloseReason = "idle"                   // idle for too long
)

// Other reasons.
const (
	ReasonEvicted         CloseReason = "evicted"          // of clients and servers: an idle connection made room for a new one
	ReasonDiscoveryClosed CloseReason = "discovery-closed" // of every connection to discovery
)

// IsNodesChoice reports whether the node closes a client connection for this reason without any action of the client.
func (r CloseReason) IsNodesChoice() bool {
	return r == ReasonNodeDraining || r == ReasonNodeNearLimit || r == ReasonEvicted
}

// ConnSide is the kind of peer of a closed connection in the log.
type ConnSide string

// The kinds of peers.
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
