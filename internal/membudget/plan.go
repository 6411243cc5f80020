package membudget

import (
	"math"

	"cherrygap/internal/numeric"
)

// Memory of the process that the Go runtime does not count, in bytes.
const (
	programMemory = 14 << 20 // resident pages of the program's files and of the C library
	threadMemory  = 1 << 20  // stacks of threads, and the C library's heap
)

// reservedByRuntime is memory that the Go runtime counts and the kernel hardly ever backs: its tables for larger heaps, in bytes.
const reservedByRuntime = 4 << 20

// Shares of the memory limit.
const (
	socketDivisor   = 8   // divisor of the memory limit that gives the kernel's socket buffers
	maxRuntimeShare = 0.6 // largest share of the Go runtime in the memory limit
)

// minRuntimeMemory is the lower bound of Plan.Runtime, in bytes. Below it the collector would use most of the core.
const minRuntimeMemory = 8 << 20

// Shares of the Go runtime's memory, without reservedByRuntime. The rest is for the decision engine, the log and the collector's garbage.
const (
	connectionShare = 0.34
	messageShare    = 0.26
	tableShare      = 0.12
)

// Plan divides the memory limit of the process, in bytes. The zero Plan has no limits.
type Plan struct {
	Runtime       int64 // limit of the Go runtime's memory, which includes the parts below except SocketBuffers
	SocketBuffers int64 // the kernel's buffers of all sockets
	Connections   int64 // fixed parts of client connections
	Messages      int64 // heads, bodies and responses: the limit of the Budget
	Tables        int64 // tables whose keys clients choose
}

// NewPlan returns the plan for a memory limit in MiB. Without a limit above 0, it returns the zero Plan.
func NewPlan(limitMiB int) Plan {
	if limitMiB <= 0 {
		return Plan{}
	}
	limit := int64(limitMiB) << 20
	sockets := limit / socketDivisor
	backed := max(min(limit-programMemory-threadMemory-sockets, numeric.Truncate[int64](maxRuntimeShare*float64(limit))), minRuntimeMemory)
	share := func(of float64) int64 { return numeric.Truncate[int64](of * float64(backed)) }
	return Plan{
		Runtime: backed + reservedByRuntime, SocketBuffers: sockets,
		Connections: share(connectionShare), Messages: share(messageShare), Tables: share(tableShare),
	}
}

// Entries returns how many entries of a size in bytes fit into a part of a plan, at least the given minimum. A part of 0 has no
// limit.
func Entries(part, entryBytes int64, least int) int {
	if part <= 0 {
		return math.MaxInt
	}
	return max(int(part/entryBytes), least)
}
