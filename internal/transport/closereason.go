// Package transport is the node's sockets: listeners, connections, the pool of connections to app servers,
// discovery's watch and the peers' datagrams. It carries out what the facade picks and decides nothing.
package transport

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// reason is the code with which a connection's end is logged; docs/oncall.md says what each means.
type reason string

const (
	clientClosed   reason = "client-closed"
	clientGone     reason = "client-gone"
	clientLast     reason = "client-last"
	clientBad      reason = "client-bad"
	clientSlow     reason = "client-slow"
	clientBroken   reason = "client-broken"
	answerBroken   reason = "answer-broken"
	nodeDrains     reason = "node-drains"
	nodeTight      reason = "node-tight"
	evicted        reason = "evicted"
	serverClosed   reason = "server-closed"
	serverStale    reason = "server-stale"
	serverLast     reason = "server-last"
	serverBroken   reason = "server-broken"
	serverBad      reason = "server-bad"
	serverLate     reason = "server-late"
	serverDropped  reason = "server-unlisted"
	withdrawn      reason = "withdrawn"
	idled          reason = "idle"
	discoveryEnded reason = "discovery-ended"
)

// Limits are the node's own, from its configuration.
type Limits struct {
	Sockets           int  // descriptors of all kinds
	GRPC              bool // a front of that protocol takes connections too
	MemoryMB          int
	ServerIdleTimeout time.Duration // an app server closes connections that stood idle for so long
	ConnectTimeout    time.Duration // a connection not up by then is given up
}

const againSoon = 10 * time.Millisecond // after a socket's error that is none of our own making

// Descriptors that are lent to no client and no app server, by what they are for: crowds may take all that they can get,
// and discovery be silent meanwhile.
const (
	keptProcess   = 10            // standard streams, the poller's two, the alarm, two listeners, the peers' socket, a file
	keptDiscovery = 2 * mostLooks // those of before a move may be closing yet
	keptServices  = 6             // the quota store's four, the authoriser's, with one that is made anew
	keptAccept    = 4             // a client taken in before it has a slot, and what is closed beside
	keptLeast     = keptProcess + keptDiscovery + keptServices + keptAccept
	keptBack      = 2 * keptLeast // with spare ones, as for what the process inherits; where they are few a quarter
	leastSide     = 4
)

// kept is how many descriptors are kept back.
func (l Limits) kept() int { return min(max(keptLeast, l.Sockets/4), keptBack) }

// side is how many connections there may be to clients, and as many to app servers: half each of what is not kept back.
func (l Limits) side() int { return max(leastSide, (l.Sockets-l.kept())/2) }

// channels is how many of the clients' connections may be of gRPC, which carry many calls each; clients is how many may be
// of HTTP.
func (l Limits) channels() int { return max(1, l.side()/4) }

func (l Limits) clients() int {
	if l.GRPC {
		return l.side() - l.channels()
	}
	return l.side()
}

// ring is the size of one direction's buffer: an eighth of the memory is for all of them.
func (l Limits) ring() int {
	return min(max(l.MemoryMB<<20/8/(2*max(1, l.Sockets))&^1023, leastRing), mostRing)
}

// Counters count what the node takes in, sends and answers.
type Counters struct {
	Connections, Requests, MalformedRequests, Completed, Rejected, Failed, ClientsGone, ResponsesUnwritten                          atomic.Int64
	Denied                                                                                                                          atomic.Int64
	Attempts, Dials                                                                                                                 atomic.Int64
	AttemptOutcomes                                                                                                                 [protocol.OutcomeCount]atomic.Int64
	EndpointLists, MalformedLists, PeerMessagesSent, PeerMessagesUnsent, PeerMessagesReceived, PeerMessagesDropped, LogLinesDropped atomic.Int64
}

// MarshalZerologObject writes all counters.
func (c *Counters) MarshalZerologObject(e *zerolog.Event) {
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"connections", &c.Connections},
		{"taken", &c.Requests},
		{"bad", &c.MalformedRequests},
		{"completed", &c.Completed},
		{"bounced", &c.Rejected},
		{"broken_off", &c.Failed},
		{"gone", &c.ClientsGone},
		{"denied", &c.Denied},
		{"unanswered", &c.ResponsesUnwritten},
		{"sent", &c.Attempts},
		{"dialled", &c.Dials},
		{"lists", &c.EndpointLists},
		{"lists_bad", &c.MalformedLists},
		{"told", &c.PeerMessagesSent},
		{"told_failed", &c.PeerMessagesUnsent},
		{"heard", &c.PeerMessagesReceived},
		{"heard_bad", &c.PeerMessagesDropped},
		{"lines_lost", &c.LogLinesDropped},
	} {
		e.Int64(f.name, f.n.Load())
	}
	for o := range c.AttemptOutcomes {
		e.Int64("ended_"+protocol.Outcome(o).String(), c.AttemptOutcomes[o].Load())
	}
}

// logEnd leaves the one line of a connection that ended.
func logEnd(log *zerolog.Logger, side, peer string, why reason, since time.Time, tickets int) {
	log.Info().Str("side", side).Str("peer", peer).Str("reason", string(why)).Int("tickets", tickets).
		Dur("age_ms", time.Since(since)).Msg("connection ended")
}
