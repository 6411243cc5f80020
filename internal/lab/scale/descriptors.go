package scale

import (
	"fmt"
	"syscall"
)

const (
	baseDescriptors = 64  // descriptors of any process, for files and the runtime
	connsPerWatch   = 8   // connections of one watch at the agent, as its client may open several
	maxDirectConns  = 512 // idle connections from the clients to the servers
)

// descriptorNeed is the number of descriptors that one process of a kind needs.
type descriptorNeed struct {
	process     string // plural description of the process, which begins an error message
	descriptors int
	flag        string // flag whose value the user can lower to reduce the number
}

// descriptorNeeds returns the need of each kind of process.
func (c *Config) descriptorNeeds() []descriptorNeed {
	clientConns := c.Real * c.Sockets / 2
	return []descriptorNeed{
		{"the lab's agent and clients", baseDescriptors + c.Real*(c.Sockets/2+connsPerWatch) + connsPerWatch + maxDirectConns, "--real"},
		{"the simulated app servers", baseDescriptors + c.Servers + c.spareServers() + clientConns + maxDirectConns, "--servers"},
		{"the simulated nodes", baseDescriptors + c.Simulated + c.Real + 1 + connsPerWatch, "--simulated"},
		{"the sockets of a real node", c.Sockets, "--sockets"},
	}
}

// CheckDescriptors returns a *DescriptorError if a process of the run needs more descriptors than its limit (ulimit -n).
// The Go runtime of each process raises the soft limit to the hard one; the lab does not change the limits.
func (c *Config) CheckDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("cannot read the descriptor limit: %w", err)
	}
	for _, need := range c.descriptorNeeds() {
		if uint64(need.descriptors) > limit.Cur {
			return &DescriptorError{Process: need.process, Need: need.descriptors, Limit: limit.Cur, Flag: need.flag}
		}
	}
	return nil
}

// DescriptorError is the error of a run that needs more descriptors than a process may have.
type DescriptorError struct {
	Process string // plural description of the process
	Need    int    // number of descriptors that the process needs
	Limit   uint64 // number of descriptors that the process may open
	Flag    string // flag whose value the user can lower to reduce Need
}

// Error names the process, its need, the limit and the flag.
func (e *DescriptorError) Error() string {
	return fmt.Sprintf("%s need %d descriptors in one process, which may have %d (ulimit -n): lower %s",
		e.Process, e.Need, e.Limit, e.Flag)
}
