package netio

import (
	"time"

	"cherrygap/internal/membudget"
)

// Limits are the node's limits on file descriptors and memory, from its configuration.
type Limits struct {
	MaxDescriptors    int           // maximum number of file descriptors of all kinds
	GRPC              bool          // true if a gRPC front end shares the client connections
	MemoryMiB         int           // memory limit of the whole process, in MiB
	ServerIdleTimeout time.Duration // idle time after which app servers close connections; 0 means never
	ConnectTimeout    time.Duration // maximum duration of a dial to an app server
}

// MaxDiscoveryConns is the maximum number of connections to discovery that are open at once while the client races
// connections.
const MaxDiscoveryConns = 6

// File descriptors reserved for uses other than clients and app servers, so that many clients can't take all descriptors.
const (
	// reservedForProcess covers three standard streams, two descriptors of the poller, the timer, two listeners, the peer
	// socket and one file.
	reservedForProcess = 10
	// reservedForDiscovery covers two sets of connections, because the previous ones may still be closing after a change of
	// address.
	reservedForDiscovery = 2 * MaxDiscoveryConns
	// reservedForServices covers four connections of the quota store, one of the authorizer, and its replacement.
	reservedForServices = 6
	// reservedForAccept covers accepted connections without a slot, and connections that are being closed.
	reservedForAccept = 4

	// MinReserved is the minimum number of reserved descriptors.
	MinReserved = reservedForProcess + reservedForDiscovery + reservedForServices + reservedForAccept
	// maxReserved is the maximum number of reserved descriptors. Those beyond MinReserved are spare.
	maxReserved = 2 * MinReserved
)

// minConnsPerSide is the lower bound of Limits.MaxConnsPerSide.
const minConnsPerSide = 4

// clientConnMemory is the memory of a client connection with a partly read request, apart from what a membudget.Budget counts, in
// bytes: the stack of its goroutine, a buffer of minimum size, a parser, and the connection's state.
const clientConnMemory = 13 << 10

const (
	bufferMemoryDivisor = 8       // divisor of MemoryMiB that gives the maximum memory of all buffers
	buffersPerSocket    = 2       // one buffer for each direction
	bufferGranularity   = 1 << 10 // buffer sizes are multiples of this number of bytes
)

// reserved returns the number of file descriptors that no client or app server connection may use. It is a quarter of all
// descriptors, but at least MinReserved and at most maxReserved.
func (l Limits) reserved() int { return min(max(MinReserved, l.MaxDescriptors/4), maxReserved) }

// MaxConnsPerSide returns the maximum number of connections to app servers. It is also the maximum number of client connections,
// unless the memory allows fewer.
func (l Limits) MaxConnsPerSide() int { return max(minConnsPerSide, (l.MaxDescriptors-l.reserved())/2) }

// MemoryPlan returns the division of the memory limit.
func (l Limits) MemoryPlan() membudget.Plan { return membudget.NewPlan(l.MemoryMiB) }

// clientConnections returns the maximum number of client connections.
func (l Limits) clientConnections() int {
	return min(l.MaxConnsPerSide(), membudget.Entries(l.MemoryPlan().Connections, clientConnMemory, minConnsPerSide))
}

// GRPCConnections returns the maximum number of gRPC client connections. Each carries many requests, so a quarter of the
// client connections is enough.
func (l Limits) GRPCConnections() int { return max(1, l.clientConnections()/4) }

// HTTPConnections returns the maximum number of HTTP client connections.
func (l Limits) HTTPConnections() int {
	if l.GRPC {
		return l.clientConnections() - l.GRPCConnections()
	}
	return l.clientConnections()
}

// Bounds of ReceiveBuffer in bytes. A large message takes many waits below the minimum.
const (
	minReceiveBuffer = 2 << 10
	maxReceiveBuffer = 64 << 10
)

// receiveBufferShare is the share of the socket buffers' memory for received bytes that were not read. The rest is for written bytes
// that were not acknowledged.
const receiveBufferShare = 0.5

// kernelOverhead is the ratio of a receive buffer's memory to the size that is set for it; see SO_RCVBUF in socket(7).
const kernelOverhead = 2

// ReceiveBuffer returns the size of the kernel's receive buffer of one connection in bytes, or 0 for the kernel's default. It bounds
// what a client or an app server makes the kernel hold for this process.
func (l Limits) ReceiveBuffer() int {
	plan := l.MemoryPlan()
	if plan.SocketBuffers == 0 {
		return 0
	}
	connections := l.clientConnections() + l.MaxConnsPerSide()
	size := int(receiveBufferShare * float64(plan.SocketBuffers) / float64(kernelOverhead*connections))
	return min(max(size, minReceiveBuffer), maxReceiveBuffer)
}

// BufferSize returns the size of the buffer for one direction of a connection, in bytes, from MinBuffer to maxBuffer.
func (l Limits) BufferSize() int {
	memory := l.MemoryMiB << 20 / bufferMemoryDivisor
	size := memory / (buffersPerSocket * max(1, l.MaxDescriptors))
	size -= size % bufferGranularity
	return min(max(size, MinBuffer), maxBuffer)
}
