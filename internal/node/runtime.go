package node

import (
	"runtime"
	"runtime/debug"
)

const (
	heapShare = 0.6 // of the memory limit; stacks, the kernel's buffers and the program need the rest
	gcPercent = 400 // the live heap is small, and a larger one saves collections
)

// LimitRuntime keeps the Go runtime within the cores and the memory that the platform gives the node. It holds for the whole
// process.
func LimitRuntime(c *Config) {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
}
