package scale

import (
	"os"
	"time"
)

// cpuUsage is the CPU time that the run's processes had used at a time. The CPU time of an ended process is 0.
type cpuUsage struct {
	at             time.Time
	realNodes      []time.Duration // processes of the real nodes, by node number
	lab            time.Duration   // the lab's own process
	servers        time.Duration   // worker of the app servers
	simulatedNodes time.Duration   // worker of the simulated nodes
}

// measureCPU returns the CPU time that the run's processes have used until now.
func (r *run) measureCPU() cpuUsage {
	u := cpuUsage{at: time.Now()}
	for _, n := range r.nodes {
		used, _ := cpuTime(n.pid())
		u.realNodes = append(u.realNodes, used)
	}
	u.lab, _ = cpuTime(os.Getpid())
	u.servers, _ = cpuTime(r.serversWorker.pid())
	u.simulatedNodes, _ = cpuTime(r.nodesWorker.pid())
	return u
}

// cpuShares is the CPU use of the run's processes over a span of time, in cores: 1 is one core in full use.
type cpuShares struct {
	meanReal, maxReal            float64 // mean and maximum over the real nodes
	lab, servers, simulatedNodes float64
}

// cpuSharesSince returns the CPU use since an earlier measurement.
func (r *run) cpuSharesSince(earlier cpuUsage) cpuShares {
	var shares cpuShares
	now := r.measureCPU()
	span := now.at.Sub(earlier.at).Seconds()
	for i := range now.realNodes {
		share := (now.realNodes[i] - earlier.realNodes[i]).Seconds() / span
		shares.meanReal += share / float64(len(now.realNodes))
		shares.maxReal = max(shares.maxReal, share)
	}
	shares.lab = (now.lab - earlier.lab).Seconds() / span
	shares.servers = (now.servers - earlier.servers).Seconds() / span
	shares.simulatedNodes = (now.simulatedNodes - earlier.simulatedNodes).Seconds() / span
	return shares
}
