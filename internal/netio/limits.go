package netio

import "time"

// Limits are the node's limits on sockets and memory, from its configuration.
type Limits struct {
	Sockets           int           // file descriptors of all kinds
	GRPC              bool          // a gRPC front end shares the client connections
	MemoryMB          int           // memory of the whole process, in MiB
	ServerIdleTimeout time.Duration // app servers close connections that are idle for this long; 0: never
	ConnectTimeout    time.Duration // bounds the dial of an app server
}

// MaxDiscoveryConns bounds the connections to discovery that are open at once while the client races connections.
const MaxDiscoveryConns = 6

// Descriptors reserved for other uses than clients and app servers, so that a crowd of clients can't take them all.
const (
	// reservedForProcess: three standard streams, two of the poller, the timer, two listeners, the peer socket, one file.
	reservedForProcess = 10
	// reservedForDiscovery: after a change of address the earlier connections may still be closing.
	reservedForDiscovery = 2 * MaxDiscoveryConns
	// reservedForServices: four of the quota store, one of the authorizer and its replacement.
	reservedForServices = 6
	// reservedForAccept: accepted connections without a slot, and connections that are being closed.
	reservedForAccept = 4

	// MinReserved is the number of descriptors that are reserved at least.
	MinReserved = reservedForProcess + reservedForDiscovery + reservedForServices + reservedForAccept
	// maxReserved is the number of descriptors that are reserved at most. Those beyond MinReserved are spare.
	maxReserved = 2 * MinReserved
)

// minConnsPerSide is the lower bound of Limits.MaxConnsPerSide.
const minConnsPerSide = 4

const (
	bufferMemoryDivisor = 8       // all buffers together take at most the memory divided by it
	buffersPerSocket    = 2       // one for each direction
	bufferGranularity   = 1 << 10 // bytes; a buffer's size is a multiple
)

// reserved returns the number of descriptors that no connection of a client or an app server may use: a quarter of all,
// within MinReserved and maxReserved.
func (l Limits) reserved() int { return min(max(MinReserved, l.Sockets/4), maxReserved) }

// MaxConnsPerSide returns the maximum number of client connections, which is also that of connections to app servers.
func (l Limits) MaxConnsPerSide() int { return max(minConnsPerSide, (l.Sockets-l.reserved())/2) }

// GRPCConnections returns the maximum number of gRPC client connections. They carry many requests each, so a quarter of the
// client connections is enough.
func (l Limits) GRPCConnections() int { return max(1, l.MaxConnsPerSide()/4) }

// HTTPConnections returns the maximum number of HTTP client connections.
func (l Limits) HTTPConnections() int {
	if l.GRPC {
		return l.MaxConnsPerSide() - l.GRPCConnections()
	}
	return l.MaxConnsPerSide()
}

// BufferSize returns the size of one direction's buffer in bytes, from MinBuffer to maxBuffer.
func (l Limits) BufferSize() int {
	memory := l.MemoryMB << 20 / bufferMemoryDivisor
	size := memory / (buffersPerSocket * max(1, l.Sockets))
	size -= size % bufferGranularity
	return min(max(size, MinBuffer), maxBuffer)
}
