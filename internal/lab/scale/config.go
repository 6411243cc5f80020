// Package scale plays the target size on one machine: a few real edge nodes (processes of this program), many hollow ones
// that share a process (the real module through internal/routing, real datagrams, no client sockets), many hollow app
// servers that share another, a stand-in for discovery's agent, and open-loop clients. It measures what the size costs a
// node and what a client notices. Everything binds to loopback; what is and isn't imitated stands in docs/lab.md.
package scale

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// The scripted troubles, in the order in which they are played.
const (
	Changes = "changes" // one server after another drains, goes, comes or changes
	Roll    = "roll"    // a rolling restart of all nodes
	Zone    = "zone"    // a zone is lost, told of later, and comes back cold
	Watch   = "watch"   // discovery's agent breaks all watches at once and tells everything anew
)

// Troubles lists them all.
var Troubles = []string{Changes, Roll, Zone, Watch}

// Config is one run.
type Config struct {
	Program    string        // this program, started anew for each child
	Dir        string        // for configuration files and children's logs
	Nodes      int           // edge nodes that the settings tell of
	Real       int           // of these, processes with sockets
	Hollow     int           // and routers that share a process; below 0: all others
	Servers    int           // app servers
	Tenants    int           // customers
	Rate       float64       // requests/s at a real node, mean
	HollowRate float64       // requests/s at a hollow node, mean
	Straight   float64       // part of the real nodes' completed requests that is sent once more, straight to the same server
	Take       float64       // messages/s that a node takes in, as the settings tell
	For        time.Duration // the run's length, from the first request on
	Hard       time.Duration // everything is ended after so long, whatever is under way
	Seed       uint64
	Troubles   []string // which; nil for all
	Sockets    int      // of each real node
	MemoryMB   int      // of each real node

	Log *zerolog.Logger `json:"-"` // a line for each section; nil for none
}

// Default is the target size.
func Default() Config {
	return Config{
		Nodes: 830, Real: 3, Hollow: -1, Servers: 13000, Tenants: 43000, Rate: 85, HollowRate: 2, Straight: 0.2,
		Take: 100, For: time.Minute, Seed: 1, Sockets: 1024, MemoryMB: 192,
	}
}

const (
	regions     = 2
	zones       = 6  // a region
	spareOf     = 50 // one server more for each so many, not listed at first: changes bring them in
	ownNeeds    = 64 // descriptors of any process beside those counted below
	perWatch    = 8  // connections of one watch at the agent: it looks for an answer over several
	straightMax = 512
)

// grace is how long after its drain was told a server may be sent requests, and slack what the count allows on top.
const (
	grace = 500 * time.Millisecond
	slack = 50 * time.Millisecond
)

// Check fills in what is left to default and tells of figures that can't be played.
func (c *Config) Check() error {
	if c.Hollow < 0 {
		c.Hollow = max(0, c.Nodes-c.Real)
	}
	if c.Hard <= 0 {
		c.Hard = c.For + firstList + time.Minute
	}
	if c.Troubles == nil {
		c.Troubles = Troubles
	}
	if c.Log == nil {
		none := zerolog.Nop()
		c.Log = &none
	}
	for _, t := range c.Troubles {
		if !slices.Contains(Troubles, t) {
			return fmt.Errorf("trouble %q: one of %s", t, strings.Join(Troubles, ", "))
		}
	}
	switch {
	case c.Program == "":
		return errors.New("no program to start")
	case c.Real < 1 || c.Real > 64:
		return errors.New("real: 1 to 64 nodes")
	case c.Nodes < c.Real+c.Hollow || c.Nodes > 1<<15:
		return errors.New("nodes: real and hollow ones at least, 32768 at most")
	case c.Servers < 1 || c.Servers > 1<<17:
		return errors.New("servers: 1 to 131072")
	case c.Tenants < 1 || c.Tenants > 1<<20:
		return errors.New("tenants: 1 to 1048576")
	case !(c.Rate > 0 && c.Rate <= 1e4) || !(c.HollowRate >= 0 && c.HollowRate <= 1e4) || !(c.Straight >= 0 && c.Straight <= 1):
		return errors.New("rate: above 0 to 10000 requests/s, hollow-rate: 0 to 10000, straight: 0 to 1")
	case c.For < time.Second || c.Hard < c.For:
		return errors.New("for: a second at least, and not more than the hard stop")
	case c.Sockets < 64 || c.MemoryMB < 16:
		return errors.New("sockets: 64 at least, memory-mb: 16 at least")
	}
	return nil
}

// spare is how many servers there are beside those listed at first.
func (c *Config) spare() int { return max(2, c.Servers/spareOf) }

// need is how many descriptors each kind of process needs.
func (c *Config) need() []need {
	return []need{
		{"the lab (agent and clients)", ownNeeds + c.Real*(c.Sockets/2+perWatch) + perWatch + straightMax, "--real"},
		{"the hollow app servers", ownNeeds + c.Servers + c.spare() + c.Real*c.Sockets/2 + straightMax, "--servers"},
		{"the hollow nodes", ownNeeds + c.Hollow + c.Real + 1 + perWatch, "--hollow"},
		{"a real node", c.Sockets, "--sockets"},
	}
}

type need struct {
	who  string
	many int
	flag string
}

// CheckDescriptors refuses a run whose processes would need more descriptors than they may have (ulimit -n). Go raises its
// own soft limit to the hard one at its start, as do the children; the lab raises none.
func (c *Config) CheckDescriptors() error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	for _, n := range c.need() {
		if uint64(n.many) > l.Cur {
			return fmt.Errorf("%s need %d descriptors in one process, which may have %d (ulimit -n): lower %s",
				n.who, n.many, l.Cur, n.flag)
		}
	}
	return nil
}

// cores is how many cores the hollow nodes may take: the real nodes have one each, and the app servers and the lab one.
func (c *Config) cores() int { return max(1, runtime.NumCPU()-c.Real-1) }
