package scale

import (
	"os"
	"time"
)

// cpuUsage is the CPU time that the run's processes have used up to a moment. A process that is gone has 0.
type cpuUsage struct {
	at                  time.Time
	real                []time.Duration // by real node
	lab, servers, nodes time.Duration   // the lab itself, and its workers
}

func (r *run) measureCPU() cpuUsage {
	u := cpuUsage{at: time.Now()}
	for _, n := range r.nodes {
		used, _ := cpuTime(n.pid())
		u.real = append(u.real, used)
	}
	u.lab, _ = cpuTime(os.Getpid())
	u.servers, _ = cpuTime(r.serversWorker.pid())
	u.nodes, _ = cpuTime(r.nodesWorker.pid())
	return u
}

// cpuShares is how many cores the run's processes have used since an earlier measurement.
type cpuShares struct {
	meanReal, maxReal   float64 // of the real nodes
	lab, servers, nodes float64
}

func (r *run) cpuSharesSince(earlier cpuUsage) (shares cpuShares) {
	now := r.measureCPU()
	span := now.at.Sub(earlier.at).Seconds()
	for i := range now.real {
		share := (now.real[i] - earlier.real[i]).Seconds() / span
		shares.meanReal += share / float64(len(now.real))
		shares.maxReal = max(shares.maxReal, share)
	}
	shares.lab = (now.lab - earlier.lab).Seconds() / span
	shares.servers = (now.servers - earlier.servers).Seconds() / span
	shares.nodes = (now.nodes - earlier.nodes).Seconds() / span
	return shares
}
