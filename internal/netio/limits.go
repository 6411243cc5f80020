package netio

import "time"

// Limits are the node's own, from its configuration.
type Limits struct {
	Sockets           int           // file descriptors of all kinds
	GRPC              bool          // a gRPC front end takes connections too
	MemoryMB          int           // of the whole process
	ServerIdleTimeout time.Duration // an app server closes connections that were idle for so long; 0: never
	ConnectTimeout    time.Duration // a connection to an app server not up by then is given up
}

// MaxDiscoveryConns is how many connections to discovery may be open at once, while they race for an answer.
const MaxDiscoveryConns = 6

// Descriptors that are lent to no client and no app server, by what they are for: crowds of clients may take all that
// they can get, and discovery be silent meanwhile.
const (
	reservedForProcess   = 10                    // standard streams, the poller's two, the timer, two listeners, the peers' socket, a file
	reservedForDiscovery = 2 * MaxDiscoveryConns // those of before a change of address may be closing yet
	reservedForServices  = 6                     // the quota store's four, the authorizer's, with one that is made anew
	reservedForAccept    = 4                     // a client accepted before it has a slot, and what is closed beside
	MinReserved          = reservedForProcess + reservedForDiscovery + reservedForServices + reservedForAccept
	maxReserved          = 2 * MinReserved // with spare ones, as for what the process inherits; where they are few a quarter
	minPerSide           = 4
)

// Sizes of one direction's buffer of a connection, in bytes.
const (
	ParserBuffer = 2 << 10 // what a parser may read past a message's end, and give back
	MinBuffer    = 2 * ParserBuffer
	maxBuffer    = 64 << 10
)

// reserved is how many descriptors are lent to no connection of a client or an app server.
func (l Limits) reserved() int { return min(max(MinReserved, l.Sockets/4), maxReserved) }

// PerSide is how many connections there may be to clients, and as many to app servers: half each of what is not reserved.
func (l Limits) PerSide() int { return max(minPerSide, (l.Sockets-l.reserved())/2) }

// GRPCConnections is how many of the clients' connections may be of gRPC, which carry many calls each.
func (l Limits) GRPCConnections() int { return max(1, l.PerSide()/4) }

// HTTPConnections is how many of the clients' connections may be of HTTP.
func (l Limits) HTTPConnections() int {
	if l.GRPC {
		return l.PerSide() - l.GRPCConnections()
	}
	return l.PerSide()
}

// BufferSize is the size of one direction's buffer, in bytes: an eighth of the memory is for all of them.
func (l Limits) BufferSize() int {
	return min(max(l.MemoryMB<<20/8/(2*max(1, l.Sockets))&^1023, MinBuffer), maxBuffer)
}
