package scale

import (
	"fmt"
	"syscall"
)

const (
	baseDescriptors = 64 // of any process, beside those counted below
	connsPerWatch   = 8  // of one watch at the agent: the client looks for an answer over several
	maxDirectConns  = 512
)

// descriptorNeed is how many descriptors one kind of process needs, and the flag that lowers it.
type descriptorNeed struct {
	process     string
	descriptors int
	flag        string
}

func (c *Config) descriptorNeeds() []descriptorNeed {
	clientConns := c.Real * c.Sockets / 2
	return []descriptorNeed{
		{"the lab (agent and clients)", baseDescriptors + c.Real*(c.Sockets/2+connsPerWatch) + connsPerWatch + maxDirectConns, "--real"},
		{"the simulated app servers", baseDescriptors + c.Servers + c.spareServers() + clientConns + maxDirectConns, "--servers"},
		{"the simulated nodes", baseDescriptors + c.Simulated + c.Real + 1 + connsPerWatch, "--simulated"},
		{"a real node", c.Sockets, "--sockets"},
	}
}

// CheckDescriptors refuses a run whose processes would need more descriptors than they may have (ulimit -n). Go raises
// its own soft limit to the hard one at its start, as do the children; the lab itself raises none.
func (c *Config) CheckDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptor limit: %w", err)
	}
	for _, need := range c.descriptorNeeds() {
		if uint64(need.descriptors) > limit.Cur {
			return &DescriptorError{Process: need.process, Need: need.descriptors, Limit: limit.Cur, Flag: need.flag}
		}
	}
	return nil
}

// DescriptorError is a run that needs more descriptors than a process may have.
type DescriptorError struct {
	Process string // which kind
	Need    int
	Limit   uint64
	Flag    string // that lowers the need
}

func (e *DescriptorError) Error() string {
	return fmt.Sprintf("%s need %d descriptors in one process, which may have %d (ulimit -n): lower %s",
		e.Process, e.Need, e.Limit, e.Flag)
}
