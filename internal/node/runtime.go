package node

import (
	"runtime"
	"runtime/debug"

	"cherrygap/internal/membudget"
	"cherrygap/internal/numeric"
)

const (
	gcPercent = 400 // the live heap is small, so a high value costs little memory and makes collections rarer
)

// LimitRuntime limits the Go runtime to the cores and a share of the memory that the platform gives the node, and sets how
// often it collects garbage. The values apply to the whole process.
func LimitRuntime(c *Config) {
	runtime.GOMAXPROCS(max(1, numeric.Truncate[int](c.Limits.Cores)))
	debug.SetMemoryLimit(membudget.NewPlan(c.Limits.MemoryMB).Runtime)
	debug.SetGCPercent(gcPercent)
}
